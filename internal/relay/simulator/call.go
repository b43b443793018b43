package simulator

import (
	"time"

	"mastusher/control"
)

// call is one attempt to deliver a message. Slots of Run.calls are reused, so queued events carry the generation of their call.
type call struct {
	generation   int32 // number of calls that have used this slot, including this one
	message      int32
	submissionID uint64
	relay        int32
	endpoint     int32
	attempt      int32
	state        uint8
	result       control.Result
	retryAfter   time.Duration
	sentAt       time.Duration
}

// The states of a call.
const (
	callFree uint8 = iota // the slot is on Run.freeCalls
	callInFlight
	callAbandoned  // its relay no longer waits for it, but it may still run
	callUnanswered // no response will come; only its relay can end it
)

// networkDelay returns the one-way delay between a relay and endpoint e, with a random jitter if jitter is set.
func (r *Run) networkDelay(relay, e int32, jitter bool) time.Duration {
	d := time.Duration(r.World.Net.Cross)
	if int(relay)%r.World.Net.Zones == int(r.endpoints[e].zone) {
		d = time.Duration(r.World.Net.Same)
	}
	if jitter {
		d = time.Duration(float64(d) * (1 + r.World.Net.Jitter*r.rng.Float64()))
	}
	return d
}

// send sends the call that relay i ordered, and schedules its timeout.
func (r *Run) send(i int32, a *control.Action) {
	if a.ID == 0 || a.ID > uint64(len(r.submissions)) || a.Endpoint == 0 || int(a.Endpoint) > len(r.endpoints) {
		r.Checker.report(ruleKnownTargets, i, -1, "a Send action names an unknown message or endpoint")
		return
	}
	sub, e := &r.submissions[a.ID-1], int32(a.Endpoint-1)
	msg := &r.messages[sub.message]
	r.Checker.checkSend(i, a, sub, msg)
	n := int32(len(r.calls))
	if k := len(r.freeCalls); k > 0 {
		n, r.freeCalls = r.freeCalls[k-1], r.freeCalls[:k-1]
	} else {
		r.calls = append(r.calls, call{})
	}
	c := &r.calls[n]
	*c = call{generation: c.generation + 1, message: sub.message, submissionID: a.ID, relay: i, endpoint: e, attempt: sub.attempts, state: callInFlight, sentAt: r.now}
	sub.attempts++
	msg.inFlight++
	r.relays[i].inFlight[a.ID] = n
	r.Stats.recordCall()
	r.schedule(r.now+r.networkDelay(i, e, true), eventCallArrival, n, 0)
	r.schedule(r.now+a.Duration, eventCallTimeout, n, c.generation)
}

// respond sends the response to call n to its relay, which receives it one network delay later.
func (r *Run) respond(n int32, result control.Result, wait time.Duration) {
	c := &r.calls[n]
	if c.state != callInFlight { // its relay no longer waits for it
		r.release(n)
		return
	}
	c.result, c.retryAfter = result, wait
	r.schedule(r.now+r.networkDelay(c.relay, c.endpoint, true), eventResponse, n, 0)
}

// release frees the slot of call n.
func (r *Run) release(n int32) {
	r.calls[n].state = callFree
	r.freeCalls = append(r.freeCalls, n)
}

// arriveAtEndpoint handles the arrival of a call at its endpoint: depending on its faults and capacity, the endpoint throttles, fails,
// serves or queues the call, or lets it hang.
func (r *Run) arriveAtEndpoint(n int32) {
	c := &r.calls[n]
	target := &r.endpoints[c.endpoint]
	partner := &r.World.Partners[target.group]
	r.fleet.recordCall(r, target)
	switch {
	case c.state != callInFlight: // its relay has closed the connection
		r.release(n)
	case target.removed || target.down > 0 || int(c.relay) < target.partitionedRelays:
		r.respond(n, control.NoConnection, 0)
	case target.throttling > 0:
		r.respond(n, control.Throttled, time.Duration(target.retryAfter))
	case target.failing > 0:
		r.respond(n, control.Errored, 0)
	case target.hanging > 0:
		if r.rng.IntN(2) == 0 { // half of the hanging calls take effect
			r.execute(n)
		}
		c.state = callUnanswered
	case partner.RateLimit > 0 && !r.takeToken(target, partner):
		wait := time.Duration(0)
		if partner.SendsRetryAfter {
			wait = time.Duration((1 - target.tokens) / r.limit(target) * float64(time.Second))
		}
		r.respond(n, control.Throttled, wait)
	case len(target.serving) < r.capacity(target):
		r.execute(n)
		r.serve(n)
	case len(target.queued) < partner.QueueCapacity:
		r.execute(n) // takes effect here, as deduplication windows count between arrivals
		target.queued = append(target.queued, n)
		r.noteOverload(c.endpoint)
	default:
		wait := time.Duration(0)
		if partner.SendsRetryAfter {
			wait = time.Duration(float64(partner.Median) * float64(1+len(target.queued)/max(r.capacity(target), 1)))
		}
		r.respond(n, control.Throttled, wait)
		r.noteOverload(c.endpoint)
	}
}

// execute lets the message of call n take effect, unless its key took effect within the deduplication window.
func (r *Run) execute(n int32) {
	c := &r.calls[n]
	msg := &r.messages[c.message]
	class := &r.World.Classes[msg.class]
	if msg.firstExecutedAt != 0 && class.Effect == "keyed" && r.now-msg.firstExecutedAt <= time.Duration(class.DedupWindow) {
		return
	}
	if msg.executions++; msg.executions == 1 {
		msg.firstExecutedAt = r.now
	} else if class.Effect != "safe" {
		r.Checker.report(ruleEffectOnce, c.relay, c.message, "it took effect again")
	}
}

// handleResponse handles the arrival of a response at its relay; the response to an abandoned call is dropped.
func (r *Run) handleResponse(n int32) {
	c := &r.calls[n]
	if c.state != callInFlight {
		r.release(n)
		return
	}
	result, wait := c.result, c.retryAfter
	c.state = callUnanswered // so that resolve releases the slot
	r.resolve(n, result, wait)
}

// resolve ends call n at its relay and notifies the relay of the result.
func (r *Run) resolve(n int32, result control.Result, retryAfter time.Duration) {
	c := &r.calls[n]
	msg := &r.messages[c.message]
	re := &r.relays[c.relay]
	delete(re.inFlight, c.submissionID)
	msg.inFlight--
	if !result.NeverRan() && !msg.mayHaveRun {
		msg.mayHaveRun, msg.mayHaveRunAt = true, c.sentAt
	}
	r.Stats.recordResult(result)
	ev := control.Event{Kind: control.Resolved, ID: c.submissionID, Attempt: int(c.attempt), Endpoint: uint32(c.endpoint + 1), Result: result, RetryAfter: retryAfter,
		Elapsed: r.now - c.sentAt}
	if p := &r.World.Partners[r.endpoints[c.endpoint].group]; p.RateLimit > 0 && (result == control.Delivered || result == control.Throttled) {
		e := &r.endpoints[c.endpoint]
		ev.Reported, ev.Limit = true, r.limit(e)
		ev.Remaining = max(0, min(1, e.tokens/r.bucketSize(e)))
	}
	if result == control.Delivered {
		r.Checker.checkDelivered(&r.submissions[c.submissionID-1])
		r.finishMessage(c.message, outcomeDelivered)
	}
	if c.state == callUnanswered {
		r.release(n)
	} else {
		c.state = callAbandoned
	}
	r.notify(c.relay, ev)
}
