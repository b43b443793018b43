//go:build wasip1

// A plug-in for a newspaper group that files what it gets by desk: each message must carry X-Desk, which depends on
// the sport that the body names. The settings are {"desks": {"football": "fb-12"}, "otherwise": "sports"}.
package main

import (
	"github.com/tidwall/gjson"

	"mastusher/pluginsdk"
)

func init() {
	pluginsdk.OnArrival(func(m pluginsdk.Message) {
		settings := gjson.Parse(pluginsdk.Config())
		desk := settings.Get("otherwise").String()
		if sport := gjson.GetBytes(m.Body(), "sport").String(); sport != "" {
			if d := settings.Get("desks").Get(gjson.Escape(sport)); d.Exists() {
				desk = d.String()
			}
		}
		if desk == "" {
			return
		}
		if err := m.SetHeader("X-Desk", desk); err != nil {
			pluginsdk.Log("X-Desk: " + err.Error())
		}
	})
}

func main() {}
