package simulator

import (
	"time"

	"mastusher/control"
)

// submit submits message m to relay i, or to the next one that is up.
func (r *Run) submit(m, i int32) {
	msg := &r.messages[m]
	if msg.finished {
		return
	}
	if r.now >= msg.deadline {
		r.finishMessage(m, outcomeExpired)
		return
	}
	for range r.relays {
		if !r.relays[i].down {
			break
		}
		i = (i + 1) % int32(len(r.relays))
	}
	if r.relays[i].down {
		r.resubmit(m, i, 0)
		return
	}
	msg.submissions++
	r.submissions = append(r.submissions, submission{message: m, relay: i})
	ev := control.Event{Kind: control.Arrived, ID: uint64(len(r.submissions)), Destination: int(msg.partner), Class: int(msg.class), Deadline: msg.deadline, Resubmitted: msg.submissions > 1}
	if msg.mayHaveRun { // the client learnt this from an earlier relay
		ev.MayHaveRun, ev.RanAt = true, msg.mayHaveRunAt
	}
	r.notify(i, ev)
}

// resubmit schedules the next submission of message m after relay i refused it, or abandons the message after the last one.
func (r *Run) resubmit(m, i int32, retryAfter time.Duration) {
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
	r.schedule(r.now+max(wait, time.Millisecond), eventSubmission, m, (i+1)%int32(len(r.relays)))
}

// finishSubmission handles a relay's Refuse or Fail action; the client resubmits a refused message.
func (r *Run) finishSubmission(i int32, a *control.Action) {
	if a.ID == 0 || a.ID > uint64(len(r.submissions)) {
		return
	}
	sub := &r.submissions[a.ID-1]
	if !r.Checker.checkFinish(i, a, sub) {
		return
	}
	if a.Kind == control.Fail {
		r.finishMessage(sub.message, outcomeAbandoned)
		return
	}
	r.Stats.recordRefusal()
	r.resubmit(sub.message, i, a.Duration)
}

// finishMessage records the outcome of message m for its client; later outcomes of the message are ignored.
func (r *Run) finishMessage(m int32, how outcome) {
	msg := &r.messages[m]
	if msg.finished {
		return
	}
	msg.finished = true
	r.Stats.recordOutcome(&r.World.Classes[msg.class], msg, r.now, how)
	r.fleet.recordOutcome(r, msg, how)
}
