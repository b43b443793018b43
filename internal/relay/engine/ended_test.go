package engine

import (
	"testing"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/journal"
)

// submitAndAnswer submits a message for partner 8 and gives its first attempt an outcome.
func (r *harness) submitAndAnswer(id string, outcome Outcome) {
	a, reply := r.arrival(id, 0, 8, 10*time.Second)
	r.turnAfter(0, a)
	<-reply
	<-r.front.attempts
	r.answer(outcome)
}

// TestSubmit_IDEndedWithNotice_RepeatsThatEnd: a duplicate of a message that has ended with a notice is answered with that end, before and
// after the notice is accepted. Its client may not know that the message was accepted, and would wait for another notice.
func TestSubmit_IDEndedWithNotice_RepeatsThatEnd(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.core.limits.EndedRetention, relay.core.limits.MaxEnded = 5*time.Second, 9
	relay.submitAndAnswer("m", Outcome{Result: control.Rejected})
	for _, noticeAccepted := range []bool{false, true} {
		if noticeAccepted {
			relay.front.accepts <- true
			relay.turnAfter(5*time.Millisecond, <-relay.core.queue)
		}
		b, second := relay.arrival("m", 0, 8, 10*time.Second)
		relay.turnAfter(5*time.Millisecond, b)
		if got := <-second; got.Verdict != Failed || len(relay.front.attempts) != 0 {
			t.Errorf("given up, notice accepted %v: the duplicate is answered %+v, want Failed and no call", noticeAccepted, got)
		}
	}
}

// TestSubmit_IDEndedLately_IsNoNewMessage: shortly after a message has ended, whatever the end, a submission under its id is a duplicate;
// after EndedRetention it is a new message.
func TestSubmit_IDEndedLately_IsNoNewMessage(t *testing.T) {
	for _, outcome := range []Outcome{{Result: control.Delivered}, {Result: control.NotProcessed, Final: true}} {
		relay := newHarness(t, t.TempDir(), time.Now())
		relay.core.limits.EndedRetention, relay.core.limits.MaxEnded = 5*time.Second, 2
		relay.submitAndAnswer("m", outcome)
		resubmit := func(after time.Duration) bool {
			b, second := relay.arrival("m", 0, 8, 10*time.Second)
			b.submittedAt = relay.now.Add(after)
			relay.turnAfter(after, b)
			return (<-second).Verdict == Accepted && len(relay.core.messages) == 0
		}
		if !resubmit(time.Second) || len(relay.front.attempts) != 0 {
			t.Errorf("right after the end %v the same id is a new message", outcome)
		}
		relay.core.remember(&message{front: relay.core.frontsInOrder[0], entry: &journal.Entry{ID: "other"}}, Accepted, relay.now.Add(6*time.Second))
		if resubmit(time.Second) {
			t.Error("the id is still remembered after EndedRetention")
		}
		if n := len(relay.core.ended.oldestFirst); n != 1 || len(relay.core.ended.verdicts) != 1 {
			t.Errorf("%d ids are remembered, want 1", n)
		}
	}
}
