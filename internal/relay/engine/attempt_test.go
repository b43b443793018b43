package engine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/control"
	"mastusher/internal/relay/journal"
)

// TestAttempt_SendsOfOneTurn_ShareCall: sends of one turn to one destination share a call, as in the simulator, and each item has its own
// outcome.
func TestAttempt_SendsOfOneTurn_ShareCall(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.front.notifiesDeliveries = true
	var in []event
	for _, id := range []string{"a", "b", "c", "d"} {
		a, _ := relay.arrival(id, 1, 7, 20*time.Second)
		in = append(in, a)
	}
	relay.turnAfter(0, in...)
	attempt := <-relay.front.attempts
	if len(attempt.Items) != 3 {
		t.Fatalf("%d messages in the call, want the 3 that its kind carries", len(attempt.Items))
	}
	if relay.core.joins(&Attempt{To: attempt.To}, &message{entry: &journal.Entry{Body: make([]byte, 60<<10)}}) {
		t.Error("a message joins a call whose body in Base64 would become too large")
	}
	relay.front.accepts <- true
	relay.answer(Outcome{Result: control.Delivered}, Outcome{Result: control.NotProcessed, Final: true},
		Outcome{Result: control.Throttled, RetryAfter: 10 * time.Second})
	if got := <-relay.front.notices; len(got) != 1 || got[0].ID != attempt.Items[0].ID || !got[0].Delivered {
		t.Errorf("notices %+v, want one for the delivery", got)
	}
	if relay.core.messagesByID["platform "+attempt.Items[1].ID] != nil || relay.core.messagesByID["platform "+attempt.Items[2].ID] == nil {
		t.Error("want the finished message forgotten and the throttled one pending")
	}
}

// TestAttempt_RecalledBeforeFirstByte_WritesNothing: a call's connection is established only after its destination has throttled the relay
// or started to drain. Nothing of the call may be written any more.
func TestAttempt_RecalledBeforeFirstByte_WritesNothing(t *testing.T) {
	for name, trigger := range map[string]func(relay *harness, first, second *Attempt){
		"destination throttles": func(relay *harness, first, _ *Attempt) {
			relay.turnAfter(0, attemptEnded{first, []Outcome{{Result: control.Throttled, RetryAfter: time.Second}}})
		},
		"destination drains": func(relay *harness, _, _ *Attempt) {
			relay.turnAfter(0, listChanged{relay.core.frontsInOrder[0], relay.core.frontsInOrder[0].listReportedBy,
				EndpointList{Destinations: []Destination{
					{Name: "s-1", Zone: "a", Kind: "news-groups", Partner: 7, State: control.Draining}}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newHarness(t, t.TempDir(), time.Now())
			var attempts []*Attempt
			for _, id := range []string{"a", "b"} {
				a, _ := relay.arrival(id, 1, 7, 20*time.Second)
				relay.turnAfter(5*time.Millisecond, a)
				attempts = append(attempts, <-relay.front.attempts)
			}
			if !attempts[0].MayWrite() {
				t.Fatal("MayWrite of the first call is false")
			}
			if trigger(relay, attempts[0], attempts[1]); attempts[1].MayWrite() || attempts[0].progress.Load() != attemptStarted {
				t.Error("want only the second call recalled")
			}
		})
	}
	if late := (&Attempt{WriteBefore: time.Now()}); late.MayWrite() {
		t.Error("MayWrite is true after WriteBefore")
	}
}

// TestAttempt_DifferentHeaders_ShareNoCall: a call has one set of headers, so messages with different headers do not share a call.
func TestAttempt_DifferentHeaders_ShareNoCall(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	var in []event
	for i, desk := range []string{"a", "b", "a"} {
		a, _ := relay.arrival(string(rune('x'+i)), 1, 7, 20*time.Second)
		a.msg.ExtraHeaders = []string{"X-Desk", desk}
		in = append(in, a)
	}
	relay.turnAfter(0, in...)
	for n := len(relay.core.inFlight); n > 0; n-- {
		select {
		case s := <-relay.front.attempts:
			for _, it := range s.Items {
				if d := cmp.Diff(s.Items[0].Headers, it.Headers); d != "" {
					t.Errorf("messages of one call have different headers: %s", d)
				}
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no further call within 20 s, though attempts are in flight")
		}
	}
}
