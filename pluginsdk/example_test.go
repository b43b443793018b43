//go:build wasip1

package pluginsdk_test

import (
	"errors"
	"time"

	"mastusher/pluginsdk"
)

// Sets a header for one class of messages, and logs a refusal.
func ExampleMessage_SetHeader() {
	pluginsdk.OnArrival(func(m pluginsdk.Message) {
		if m.Class() != "match-event" {
			return
		}
		err := m.SetHeader("X-Desk", pluginsdk.Config())
		if errors.Is(err, pluginsdk.ErrUnclean) {
			pluginsdk.Log("the settings are not a valid header: " + err.Error())
		}
	})
}

// Rejects a message that can't be delivered, before the relay accepts it.
func ExampleMessage_Reject() {
	pluginsdk.OnArrival(func(m pluginsdk.Message) {
		if len(m.Body()) == 0 {
			if err := m.Reject(422, "the message is empty"); err != nil {
				pluginsdk.Log("reject: " + err.Error())
			}
		}
	})
}

// Waits if a destination requests that in the body and not in a header.
func ExampleAnswer_Wait() {
	pluginsdk.OnAnswer(func(a pluginsdk.Answer) {
		if a.Status() == 503 && string(a.Sample()) == "busy" {
			if err := a.Wait(10 * time.Second); err != nil {
				pluginsdk.Log("wait: " + err.Error())
			}
		}
	})
}

// Logs an alert at most once a minute, in all instances together.
func ExampleSet() {
	pluginsdk.OnEnd(func(e pluginsdk.Ended) {
		if e.How() != "given_up" {
			return
		}
		if _, logged := pluginsdk.Get("logged"); logged {
			return
		}
		pluginsdk.Log("alert: a message was given up: " + e.ID())
		if err := pluginsdk.Set("logged", []byte{1}, time.Minute); err != nil {
			pluginsdk.Log("store: " + err.Error())
		}
	})
}
