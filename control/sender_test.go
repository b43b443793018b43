package control

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestStep_UnknownEvents_AreIgnored(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1})
	acts := harness.step(outcome(99, 0, 1, Errored), Event{Kind: Withdrawn, ID: 98}, Event{Kind: Arrived, ID: 5, Class: 77},
		Event{Kind: EventKind(200)})
	if len(acts) != 0 {
		t.Errorf("actions for unknown messages: %v", acts)
	}
	harness.deliver(2, 100*ms)
	before := harness.sender.now
	harness.sender.Step(before-time.Hour, nil, nil)
	if harness.sender.now != before {
		t.Error("the clock went back")
	}
}

// A Step only visits destinations with queued messages or calls in flight, not all that are listed: with hundreds of endpoints,
// visiting all of them was so slow that the simulation of a day was cut off.
func TestStep_IdleDestinations_AreNotVisited(t *testing.T) {
	var eps []Endpoint
	for i := range 800 {
		eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i / 2})
	}
	harness := newHarness(t, settings(), eps...)
	ev := harness.arrive(1, 2)
	ev.Destination = 7
	sent := actionsOf(harness.step(ev), Send)
	harness.wait(100 * ms)
	if n := len(harness.sender.active); n != 1 || len(sent) != 1 {
		t.Fatalf("%d destinations visited with one call in flight (%v), want 1", n, sent)
	}
	harness.step(outcome(1, 0, sent[0].Endpoint, Delivered))
	harness.wait(100 * ms)
	if n := len(harness.sender.active); n != 0 {
		t.Errorf("%d destinations visited with nothing queued or in flight", n)
	}
}

func TestStep_SameEvents_GiveSameActions(t *testing.T) {
	a, b := runRandomEvents(t, 42, 4000), runRandomEvents(t, 42, 4000)
	if !reflect.DeepEqual(a, b) {
		t.Error("the same events gave different actions")
	}
	if c := runRandomEvents(t, 43, 4000); reflect.DeepEqual(a, c) {
		t.Error("different events gave the same actions: events have no effect")
	}
}

// BenchmarkStep measures the cost of one message, from arrival to delivery, with many destinations.
func BenchmarkStep(b *testing.B) {
	for _, dests := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("%d destinations", dests), func(b *testing.B) {
			set := settings()
			set.Slots, set.MaxOpen = 64, 1000
			s, err := New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			list := Event{Kind: Listed, Complete: true}
			for i := range 2 * dests {
				list.Endpoints = append(list.Endpoints, Endpoint{ID: uint32(i + 1), Destination: i / 2})
			}
			now, evs, sent := time.Hour, []Event{list}, 0
			var out []Action
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 5 * ms
				evs = append(evs, Event{Kind: Arrived, ID: uint64(i + 1), Destination: i % dests, Deadline: now + 8*time.Second})
				out = s.Step(now, evs, out[:0])
				evs = evs[:0]
				for _, a := range out {
					if a.Kind == Send {
						sent++
						evs = append(evs, outcome(a.ID, 0, a.Endpoint, Delivered))
					}
				}
			}
			if sent < b.N*9/10 {
				b.Errorf("%d of %d sent", sent, b.N)
			}
		})
	}
}
