//go:build wasip1

// Command rejected-field is a plug-in for a club site that accepts no "minute" above 120 and fails for messages with the field
// "attendance". The plug-in rejects the former with a reason, and removes the field "attendance" from the latter if the front allows a
// new body. After a 503 whose body contains "maintenance" it requests a wait of ten seconds.
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

// checkFields rejects a message with an invalid minute, and removes the field "attendance".
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
		pluginsdk.Log("attendance not removed: " + err.Error())
	}
}

// without returns the text of a JSON object without a field. The other fields are copied as they were written.
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

// waitForMaintenance requests a wait if the answer announces maintenance in its body, but no wait that is long enough.
func waitForMaintenance(a pluginsdk.Answer) {
	maintenance := a.Status() == 503 && bytes.Contains(a.Sample(), []byte("maintenance"))
	if !maintenance || a.Told() >= maintenanceWait {
		return
	}
	if err := a.Wait(maintenanceWait); err != nil {
		pluginsdk.Log("wait: " + err.Error())
	}
}
