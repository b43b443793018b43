//go:build wasip1

// Command required-header is a plug-in for a newspaper group that sorts messages by editorial desk. It sets the header X-Desk of each
// message according to the sport named in the body. Example settings: {"desks": {"football": "fb-12"}, "otherwise": "sports"}.
package main

import (
	"github.com/tidwall/gjson"

	"mastusher/pluginsdk"
)

func init() {
	pluginsdk.OnArrival(setDesk)
}

func main() {}

// setDesk sets the header X-Desk, if the settings have a desk for the message.
func setDesk(m pluginsdk.Message) {
	sport := gjson.GetBytes(m.Body(), "sport").String()
	desk := deskOf(sport, gjson.Parse(pluginsdk.Config()))
	if desk == "" {
		return
	}
	if err := m.SetHeader("X-Desk", desk); err != nil {
		pluginsdk.Log("X-Desk: " + err.Error())
	}
}

// deskOf returns the desk for a sport, or the default desk; "": the settings have neither.
func deskOf(sport string, settings gjson.Result) string {
	if sport != "" {
		if desk := settings.Get("desks").Get(gjson.Escape(sport)); desk.Exists() {
			return desk.String()
		}
	}
	return settings.Get("otherwise").String()
}
