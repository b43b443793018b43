package simulator

import (
	"time"

	"mastusher/control"
)

// submit submits message m to relay at, or to the next one that is up.
func (r *Run) submit(m, at int32) {
	msg := &r.messages[m]
	if msg.finished {
		return
	}
	if r.now >= msg.deadline {
		r.finishMessage(m, outcomeExpired)
		return
	}
	for range r.relays {
		if !r.relays[at].down {
			break
		}
		at = (at + 1) % int32(len(r.relays))
	}
	if r.relays[at].down {
		r.resubmit(m, at, 0)
		return
	}
	msg.submissions++
	r.submissions = append(r.submissions, submission{message: m, relay: at})
	ev := control.Event{Kind: control.Arrived, ID: uint64(len(r.submissions)), Destination: int(msg.partner), Class: int(msg.class), Deadline: msg.deadline, Resubmitted: msg.submissions > 1}
	if msg.mayHaveRun { // as a relay notified the client
		ev.MayHaveRun, ev.RanAt = true, msg.mayHaveRunAt
	}
	r.notify(at, ev)
}

// resubmit schedules the next submission after relay at refused with retryAfter, or abandons the message.
func (r *Run) resubmit(m, at int32, retryAfter time.Duration) {
	msg, c := &r.messages[m], &r.World.Clients
	if int(msg.submissions) >= c.MaxAttempts {
		r.finishMessage(m, outcomeAbandoned)
		return
	}
	wait := time.Duration(c.Backoff)
	if c.Exponential {
		wait <<= min(msg.submissions, 10)
	}
	if retryAfter > 0 && r.rng.Float64() < c.RetryAfterCompliance {
		wait = retryAfter
	}
	wait = time.Duration(float64(wait) * (0.5 + r.rng.Float64()))
	r.Stats.recordResubmission()
	r.schedule(r.now+max(wait, time.Millisecond), eventSubmission, m, (at+1)%int32(len(r.relays)))
}

// finishSubmission handles a relay's Refuse or Fail: the client resubmits what was refused.
func (r *Run) finishSubmission(i int32, a *control.Action) {
	if a.ID == 0 || a.ID > uint64(len(r.submissions)) {
		return
	}
	t := &r.submissions[a.ID-1]
	if !r.Checker.checkFinish(i, a, t) {
		return
	}
	if a.Kind == control.Fail {
		r.finishMessage(t.message, outcomeAbandoned)
		return
	}
	r.Stats.recordRefusal()
	r.resubmit(t.message, i, a.For)
}

// finishMessage records how message m ended for its client; only the first outcome counts.
func (r *Run) finishMessage(m int32, how outcome) {
	msg := &r.messages[m]
	if msg.finished {
		return
	}
	msg.finished = true
	r.Stats.recordOutcome(&r.World.Classes[msg.class], msg, r.now, how)
	r.fleet.recordOutcome(r, msg, how)
}
