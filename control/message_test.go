package control

import (
	"testing"
	"time"
)

// A message whose attempt times out at its deadline still gets exactly one final answer.
func TestMessage_TimedOutAtDeadline_GetsOneAnswer(t *testing.T) {
	for class, want := range map[int]ActionKind{0: Refuse, 2: Fail} {
		harness := newHarness(t, settings(), Endpoint{ID: 1})
		sent := actionsOf(harness.step(harness.arrive(1, class)), Send)
		if len(sent) != 1 || sent[0].Duration != settings().Classes[class].Deadline {
			t.Fatalf("sent %v, want one attempt until the deadline while call times aren't known", sent)
		}
		harness.wait(settings().Classes[class].Deadline)
		acts := harness.step(outcome(1, 0, 1, TimedOut))
		if len(actionsOf(acts, want)) != 1 || len(actionsOf(acts, Send)) != 0 {
			t.Errorf("class %d: %v, want one final answer of kind %d", class, acts, want)
		}
		if acts := harness.wait(time.Second); len(actionsOf(acts, Refuse))+len(actionsOf(acts, Fail)) != 0 {
			t.Errorf("class %d: second final answer: %v", class, acts)
		}
	}
}

// A client may set a shorter deadline than its class. Such a message keeps its value until its deadline when it is first submitted.
func TestMessage_ShortDeadline_KeepsItsValue(t *testing.T) {
	set := settings()
	for _, c := range []struct{ marksResubmitted, resubmitted, late bool }{{true, false, false}, {true, true, true}, {false, false, true}} {
		set.MarksResubmitted = c.marksResubmitted
		harness := newHarness(t, set)
		ev := harness.arrive(1, 2)
		ev.Deadline, ev.Resubmitted = harness.now+900*ms, c.resubmitted
		harness.step(ev)
		if got := harness.sender.messages[1].valueAt(harness.now+800*ms, false); (got < 4) != c.late {
			t.Errorf("%+v: value %.2f of 4 before its deadline", c, got)
		}
	}
}

// A message with less time left than the median call is refused immediately without being sent, with the time after which to submit it
// again.
func TestMessage_TooLittleTimeLeft_IsRefusedAtOnce(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1})
	harness.deliver(8, 900*ms)
	ev := harness.arrive(1, 2)
	ev.Deadline = harness.now + 500*ms
	acts := harness.step(ev)
	if got := actionsOf(acts, Refuse); len(got) != 1 || got[0].Duration <= 0 || len(actionsOf(acts, Send)) != 0 {
		t.Errorf("actions %v, want only a Refuse with a positive For", acts)
	}
}
