package simulator

import (
	"math"
	"slices"
	"time"

	"mastusher/control"
)

// endpoint is one endpoint as it truly is.
type endpoint struct {
	partner, group int32
	zone           int8
	listed         control.State // what the list says, before it has come to relays
	removed        bool          // for good

	serving []int32 // calls
	queued  []int32

	throttling, hanging, failing, down int      // troubles that it has
	retryAfter                         Duration // told while it refuses
	slowFactor                         float64  // factor
	slowRelays, partitionedRelays      int      // relays that this is for; 0: all, or none
	coldSince                          time.Duration
	overloadedSince                    time.Duration
	tokens                             float64
	limitFactor                        float64 // factor on its limit; 0: none
	callsBySecond                      []int32 // calls, by second
	allowedBySecond                    []float64
	tokensUpdatedAt                    time.Duration
}

func (r *Run) newEndpoint(partner, group int32) int32 {
	n := int32(len(r.endpoints))
	r.endpoints = append(r.endpoints, endpoint{partner: partner, group: group, zone: int8(int(n) % r.World.Net.Zones), slowFactor: 1, tokensUpdatedAt: r.now})
	return n
}

// capacity is how many calls an endpoint serves at once: less while it is cold.
func (r *Run) capacity(e *endpoint) int {
	p := &r.World.Partners[e.group]
	if e.coldSince == 0 || p.WarmUp == 0 {
		return p.Workers
	}
	t := float64(r.now-e.coldSince) / float64(p.WarmUp)
	if t >= 1 {
		e.coldSince, e.overloadedSince = 0, 0
		return p.Workers
	}
	return max(int(math.Round(float64(p.Workers)*(slowStartShare+(1-slowStartShare)*t))), 1)
}

// truth is what a TruthObserver is shown.
func (r *Run) truth(id uint32) (free int, up bool) {
	if id == 0 || int(id) > len(r.endpoints) {
		return 0, false
	}
	e := &r.endpoints[id-1]
	up = !e.removed && e.down == 0 && e.throttling == 0 && e.hanging == 0 && e.failing == 0 && e.listed == control.Ready
	free = r.capacity(e) - len(e.serving) - len(e.queued)
	if limit := r.limit(e); limit > 0 { // what its limit lets in at once
		free = min(free, int(math.Floor(min(e.tokens+limit*(r.now-e.tokensUpdatedAt).Seconds(), r.bucketSize(e)))))
	}
	return free, up
}

// networkDelay is how long it takes from a relay to an endpoint.
func (r *Run) networkDelay(relay, e int32, drawn bool) time.Duration {
	d := time.Duration(r.World.Net.Cross)
	if int(relay)%r.World.Net.Zones == int(r.endpoints[e].zone) {
		d = time.Duration(r.World.Net.Same)
	}
	if drawn {
		d = time.Duration(float64(d) * (1 + r.World.Net.Jitter*r.rng.Float64()))
	}
	return d
}

// send lets a call go out.
func (r *Run) send(i int32, a *control.Action) {
	if a.ID == 0 || a.ID > uint64(len(r.submissions)) || a.Endpoint == 0 || int(a.Endpoint) > len(r.endpoints) {
		r.Checker.report(ruleOrder, i, -1, "sends a message or to an endpoint that it was never told of")
		return
	}
	t, e := &r.submissions[a.ID-1], int32(a.Endpoint-1)
	msg := &r.messages[t.message]
	r.Checker.checkSend(i, a, t, msg)
	n := int32(len(r.calls))
	if k := len(r.freeCalls); k > 0 {
		n, r.freeCalls = r.freeCalls[k-1], r.freeCalls[:k-1]
	} else {
		r.calls = append(r.calls, call{})
	}
	c := &r.calls[n]
	*c = call{generation: c.generation + 1, message: t.message, submissionID: a.ID, relay: i, endpoint: e, attempt: t.attempts, state: callInFlight, sentAt: r.now}
	t.attempts++
	msg.inFlight++
	r.relays[i].inFlight[a.ID] = n
	r.Stats.recordCall()
	r.queue.push(r.now+r.networkDelay(i, e, true), eventCallArrival, n, 0)
	r.queue.push(r.now+a.For, eventCallTimeout, n, c.generation)
}

// respond has a call answered, a way later.
func (r *Run) respond(n int32, result control.Result, wait time.Duration) {
	c := &r.calls[n]
	if c.state != callInFlight { // nobody waits for it
		r.release(n)
		return
	}
	c.result, c.retryAfter = result, wait
	r.queue.push(r.now+r.networkDelay(c.relay, c.endpoint, true), eventResponse, n, 0)
}

func (r *Run) release(n int32) {
	r.calls[n].state = callFree
	r.freeCalls = append(r.freeCalls, n)
}

// arriveAtEndpoint is where a call comes to its endpoint.
func (r *Run) arriveAtEndpoint(n int32) {
	c := &r.calls[n]
	e := &r.endpoints[c.endpoint]
	p := &r.World.Partners[e.group]
	r.fleet.recordCall(r, e)
	switch {
	case c.state != callInFlight: // its connection is closed
		r.release(n)
	case e.removed || e.down > 0 || int(c.relay) < e.partitionedRelays:
		r.respond(n, control.NoConnection, 0)
	case e.throttling > 0:
		r.respond(n, control.Throttled, time.Duration(e.retryAfter))
	case e.failing > 0:
		r.respond(n, control.Errored, 0)
	case e.hanging > 0:
		if r.rng.IntN(2) == 0 { // some of these take effect
			r.execute(n)
		}
		c.state = callUnanswered
	case p.RateLimit > 0 && !r.takeToken(e, p):
		wait := time.Duration(0)
		if p.SendsRetryAfter {
			wait = time.Duration((1 - e.tokens) / r.limit(e) * float64(time.Second))
		}
		r.respond(n, control.Throttled, wait)
	case len(e.serving) < r.capacity(e):
		r.execute(n)
		r.serve(n)
	case len(e.queued) < p.QueueCapacity:
		r.execute(n) // a window counts between arrivals
		e.queued = append(e.queued, n)
		r.noteOverload(c.endpoint)
	default:
		wait := time.Duration(0)
		if p.SendsRetryAfter {
			wait = time.Duration(float64(p.Median) * float64(1+len(e.queued)/max(r.capacity(e), 1)))
		}
		r.respond(n, control.Throttled, wait)
		r.noteOverload(c.endpoint)
	}
}

func (r *Run) takeToken(e *endpoint, p *Partner) bool {
	limit := r.limit(e)
	e.tokens = min(e.tokens+limit*(r.now-e.tokensUpdatedAt).Seconds(), r.bucketSize(e))
	e.tokensUpdatedAt = r.now
	let := e.tokens >= 1
	if let || p.ChargesThrottled {
		e.tokens = max(e.tokens-1, -limit*time.Duration(p.MaxDebt).Seconds())
	}
	return let
}

// limit is how many calls a second an endpoint lets in now; 0: any number.
func (r *Run) limit(e *endpoint) float64 {
	limit := r.World.Partners[e.group].RateLimit
	if e.limitFactor > 0 {
		limit *= e.limitFactor
	}
	return limit
}

// bucketSize is how many calls an endpoint lets in at once when none has come for a while.
func (r *Run) bucketSize(e *endpoint) float64 {
	return max(r.limit(e)*time.Duration(r.World.Partners[e.group].Burst).Seconds(), 1)
}

// serve begins to serve a call.
func (r *Run) serve(n int32) {
	c := &r.calls[n]
	e := &r.endpoints[c.endpoint]
	p := &r.World.Partners[e.group]
	e.serving = append(e.serving, n)
	took := float64(p.Median) * math.Exp(p.Spread*r.rng.NormFloat64())
	if p.TailShare > 0 && r.rng.Float64() < p.TailShare {
		took *= 10
	}
	if e.slowRelays == 0 || int(c.relay) < e.slowRelays {
		took *= e.slowFactor
	}
	r.queue.push(r.now+time.Duration(took), eventServiceDone, n, c.generation)
}

// execute is where a message takes effect, unless its key was there lately.
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
		r.Checker.report(ruleEffects, c.relay, c.message, "takes effect twice")
	}
}

func (r *Run) completeService(n, no int32) {
	c := &r.calls[n]
	e := &r.endpoints[c.endpoint]
	k := slices.Index(e.serving, n)
	if c.generation != no || k < 0 {
		return // its endpoint ended meanwhile, and its calls with it
	}
	e.serving = slices.Delete(e.serving, k, k+1)
	r.respond(n, control.Delivered, 0)
	for len(e.queued) > 0 && len(e.serving) < r.capacity(e) {
		next := e.queued[0]
		e.queued = slices.Delete(e.queued, 0, 1)
		if r.calls[next].state != callInFlight {
			r.release(next)
			continue
		}
		r.serve(next)
	}
	if float64(len(e.serving)+len(e.queued)) <= overloadMultiple*float64(r.capacity(e)) {
		e.overloadedSince = 0
	}
}

// noteOverload notes that a cold endpoint has more than it can bear: if that lasts it falls over.
func (r *Run) noteOverload(n int32) {
	e := &r.endpoints[n]
	capacity := r.capacity(e)
	if e.coldSince == 0 || e.overloadedSince != 0 || float64(len(e.serving)+len(e.queued)) <= overloadMultiple*float64(capacity) {
		return
	}
	e.overloadedSince = r.now
	r.queue.push(r.now+overloadWindow, eventOverloadCheck, n, 0)
}

func (r *Run) checkOverload(n int32) {
	e := &r.endpoints[n]
	if e.overloadedSince == 0 || r.now-e.overloadedSince < overloadWindow || e.coldSince == 0 || e.down > 0 {
		return
	}
	r.Checker.report(ruleColdReturn, -1, -1, "a cold endpoint is pushed over")
	r.takeDown(n)
	r.queue.push(r.now+overloadRecovery, eventOverloadEnd, n, 0)
}

// takeDown ends what an endpoint serves.
func (r *Run) takeDown(n int32) {
	e := &r.endpoints[n]
	e.down++
	lost := append(slices.Clone(e.serving), e.queued...)
	e.serving, e.queued, e.overloadedSince = e.serving[:0], e.queued[:0], 0
	for _, c := range lost {
		r.respond(c, control.Reset, 0)
	}
}

func (r *Run) bringUp(n int32) {
	e := &r.endpoints[n]
	if e.down--; e.down == 0 {
		e.coldSince, e.overloadedSince = r.now, 0
	}
}

// callUnanswered is a call that nothing will come of: only its relay ends it.
const callUnanswered uint8 = 9

// handleResponse is where an answer comes to its relay.
func (r *Run) handleResponse(n int32) {
	c := &r.calls[n]
	if c.state != callInFlight {
		r.release(n)
		return
	}
	result, wait := c.result, c.retryAfter
	c.state = callUnanswered // nothing more comes of it
	r.resolve(n, result, wait)
}

// resolve tells a relay what came of a call, which it has out no longer.
func (r *Run) resolve(n int32, result control.Result, wait time.Duration) {
	c := &r.calls[n]
	msg := &r.messages[c.message]
	re := &r.relays[c.relay]
	delete(re.inFlight, c.submissionID)
	msg.inFlight--
	if !result.NeverRan() && !msg.mayHaveRun {
		msg.mayHaveRun, msg.mayHaveRunAt = true, c.sentAt
	}
	r.Stats.recordResult(result)
	ev := control.Event{Kind: control.Resolved, ID: c.submissionID, Attempt: int(c.attempt), Endpoint: uint32(c.endpoint + 1), Result: result, RetryAfter: wait,
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
