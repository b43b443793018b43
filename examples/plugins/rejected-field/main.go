//go:build wasip1

// Command rejected-field is a plug-in for a club site that takes no field "minute" beyond 120 and chokes on
// "attendance": the first is turned away with a reason, the second, where the front lets a body be rewritten, left out. A
// 503 whose body says "maintenance" is taken for a wait of ten seconds.
package main

import (
	"bytes"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/pluginsdk"
)

const (
	maxMinute       = 120
	maintenanceWait = 10 * time.Second
)

func init() {
	pluginsdk.OnArrival(checkFields)
	pluginsdk.OnAnswer(waitForMaintenance)
}

func main() {}

// checkFields turns away what the site would not take, or leaves it out.
func checkFields(m pluginsdk.Message) {
	object := gjson.ParseBytes(m.Body())
	if minute := object.Get("minute"); minute.Exists() && (minute.Num < 0 || minute.Num > maxMinute) {
		if err := m.Reject(422, "minute: want 0 to 120"); err != nil {
			pluginsdk.Log("reject: " + err.Error())
		}
		return
	}
	if m.Front() != "activitypub" || !object.IsObject() || !object.Get("attendance").Exists() {
		return
	}
	if err := m.SetBody(without(object, "attendance")); err != nil {
		pluginsdk.Log("attendance stays: " + err.Error())
	}
}

// without is a JSON object without a field; the others stay as they were written.
func without(object gjson.Result, field string) []byte {
	rest := []byte{'{'}
	object.ForEach(func(key, value gjson.Result) bool {
		if key.String() == field {
			return true
		}
		if len(rest) > 1 {
			rest = append(rest, ',')
		}
		rest = append(rest, key.Raw...)
		rest = append(rest, ':')
		rest = append(rest, value.Raw...)
		return true
	})
	return append(rest, '}')
}

// waitForMaintenance asks for a wait where the answer says so in words only.
func waitForMaintenance(a pluginsdk.Answer) {
	maintenance := a.Status() == 503 && bytes.Contains(a.Sample(), []byte("maintenance"))
	if !maintenance || a.Told() >= maintenanceWait {
		return
	}
	if err := a.Wait(maintenanceWait); err != nil {
		pluginsdk.Log("wait: " + err.Error())
	}
}
