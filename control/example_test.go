package control_test

import (
	"fmt"
	"time"

	"mastusher/control"
)

// A caller passes events to the sender and carries out the actions that it returns.
func Example() {
	sender, err := control.New(control.Settings{
		Peers: 1, Slots: 4, MaxAttempts: 3, MaxRetryAfter: time.Second,
		Kinds: []control.Kind{{MaxMessagesPerCall: 1}},
		Classes: []control.Class{{Name: "notice", Effect: control.Safe, LatencyTarget: time.Second,
			Deadline: 5 * time.Second, Value: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute // any clock that does not go back
	events := []control.Event{
		{Kind: control.Listed, Complete: true, Endpoints: []control.Endpoint{{ID: 10, Destination: 3}}},
		{Kind: control.Arrived, ID: 1, Destination: 3, Deadline: now + 5*time.Second},
	}
	for _, a := range sender.Step(now, events, nil) {
		switch a.Kind {
		case control.Send:
			fmt.Printf("send message %d to endpoint %d, wait %v\n", a.ID, a.Endpoint, a.Duration)
		case control.Wake:
			fmt.Printf("call Step again in %v\n", a.At-now)
		}
	}
	now += 120 * time.Millisecond
	events = []control.Event{{Kind: control.Resolved, ID: 1, Endpoint: 10, Result: control.Delivered, Final: true}}
	fmt.Println(len(sender.Step(now, events, nil)), "actions after the delivery")
	// Output:
	// send message 1 to endpoint 10, wait 5s
	// call Step again in 25ms
	// 0 actions after the delivery
}
