//go:build wasip1

// A plug-in for a club site that takes no field "minute" beyond 120 and chokes on "attendance": the first is turned
// away with a reason, the second, where the front lets a body be rewritten, left out. A 503 whose body says
// "maintenance" is taken for a wait of ten seconds.
package main

import (
	"bytes"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/pluginsdk"
)

func init() {
	pluginsdk.OnArrival(func(m pluginsdk.Message) {
		body := m.Body()
		object := gjson.ParseBytes(body)
		if minute := object.Get("minute"); minute.Exists() && (minute.Num < 0 || minute.Num > 120) {
			m.Reject(422, "minute: want 0 to 120")
			return
		}
		if m.Front() != "activitypub" || !object.IsObject() || !object.Get("attendance").Exists() {
			return
		}
		var left []byte
		object.ForEach(func(k, v gjson.Result) bool {
			if k.String() != "attendance" {
				left = append(append(append(append(left, ','), k.Raw...), ':'), v.Raw...)
			}
			return true
		})
		left = append(append([]byte{'{'}, bytes.TrimPrefix(left, []byte{','})...), '}')
		if err := m.SetBody(left); err != nil {
			pluginsdk.Log("attendance stays: " + err.Error())
		}
	})
	pluginsdk.OnAnswer(func(a pluginsdk.Answer) {
		if a.Status() == 503 && bytes.Contains(a.Sample(), []byte("maintenance")) && a.Told() < 10*time.Second {
			if err := a.Wait(10 * time.Second); err != nil {
				pluginsdk.Log("wait: " + err.Error())
			}
		}
	})
}

func main() {}
