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
	gone           bool          // for good

	serving []int32 // calls
	waiting []int32

	refuse, silent, fail, down int     // troubles that it has
	wait                       Span    // told while it refuses
	slow                       float64 // factor
	slowFor, cut               int     // relays that this is for; 0: all, or none
	coldSince                  time.Duration
	overSince                  time.Duration
	tokens                     float64
	lowered                    float64 // factor on its limit; 0: none
	came                       []int32 // calls, by second
	allowed                    []float64
	tokenAt                    time.Duration
}

func (r *Run) newEndpoint(partner, group int32) int32 {
	n := int32(len(r.ends))
	r.ends = append(r.ends, endpoint{partner: partner, group: group, zone: int8(int(n) % r.W.Net.Zones), slow: 1, tokenAt: r.now})
	return n
}

// capacity is how many calls an endpoint serves at once: less while it is cold.
func (r *Run) capacity(e *endpoint) int {
	p := &r.W.Partners[e.group]
	if e.coldSince == 0 || p.Cold == 0 {
		return p.Workers
	}
	t := float64(r.now-e.coldSince) / float64(p.Cold)
	if t >= 1 {
		e.coldSince, e.overSince = 0, 0
		return p.Workers
	}
	return max(int(math.Round(float64(p.Workers)*(startShare+(1-startShare)*t))), 1)
}

// truth is what a Seer is shown.
func (r *Run) truth(id uint32) (free int, up bool) {
	if id == 0 || int(id) > len(r.ends) {
		return 0, false
	}
	e := &r.ends[id-1]
	up = !e.gone && e.down == 0 && e.refuse == 0 && e.silent == 0 && e.fail == 0 && e.listed == control.Ready
	free = r.capacity(e) - len(e.serving) - len(e.waiting)
	if limit := r.limit(e); limit > 0 { // what its limit lets in at once
		free = min(free, int(math.Floor(min(e.tokens+limit*(r.now-e.tokenAt).Seconds(), r.depth(e)))))
	}
	return free, up
}

// way is how long it takes from a relay to an endpoint.
func (r *Run) way(relay, e int32, drawn bool) time.Duration {
	d := time.Duration(r.W.Net.Cross)
	if int(relay)%r.W.Net.Zones == int(r.ends[e].zone) {
		d = time.Duration(r.W.Net.Same)
	}
	if drawn {
		d = time.Duration(float64(d) * (1 + r.W.Net.Jitter*r.rng.Float64()))
	}
	return d
}

// send lets a call go out.
func (r *Run) send(i int32, a *control.Action) {
	if a.ID == 0 || a.ID > uint64(len(r.ticks)) || a.Endpoint == 0 || int(a.Endpoint) > len(r.ends) {
		r.Check.breach(ruleOrder, i, -1, "sends a message or to an endpoint that it was never told of")
		return
	}
	t, e := &r.ticks[a.ID-1], int32(a.Endpoint-1)
	msg := &r.msgs[t.msg]
	r.Check.sends(i, a, t, msg)
	n := int32(len(r.calls))
	if k := len(r.free); k > 0 {
		n, r.free = r.free[k-1], r.free[:k-1]
	} else {
		r.calls = append(r.calls, call{})
	}
	c := &r.calls[n]
	*c = call{no: c.no + 1, msg: t.msg, ticket: a.ID, relay: i, endpoint: e, attempt: t.tries, state: callOut, born: r.now}
	t.tries++
	msg.out++
	r.relays[i].calls[a.ID] = n
	r.Stats.sent()
	r.q.put(r.now+r.way(i, e, true), doReach, n, 0)
	r.q.put(r.now+a.For, doTimeout, n, c.no)
}

// back has a call answered, a way later.
func (r *Run) back(n int32, result control.Result, wait time.Duration) {
	c := &r.calls[n]
	if c.state != callOut { // nobody waits for it
		r.release(n)
		return
	}
	c.result, c.wait = result, wait
	r.q.put(r.now+r.way(c.relay, c.endpoint, true), doAnswer, n, 0)
}

func (r *Run) release(n int32) {
	r.calls[n].state = callFree
	r.free = append(r.free, n)
}

// reach is where a call comes to its endpoint.
func (r *Run) reach(n int32) {
	c := &r.calls[n]
	e := &r.ends[c.endpoint]
	p := &r.W.Partners[e.group]
	r.fleet.reached(r, e)
	switch {
	case c.state != callOut: // its connection is closed
		r.release(n)
	case e.gone || e.down > 0 || int(c.relay) < e.cut:
		r.back(n, control.NoConnection, 0)
	case e.refuse > 0:
		r.back(n, control.Throttled, time.Duration(e.wait))
	case e.fail > 0:
		r.back(n, control.Errored, 0)
	case e.silent > 0:
		if r.rng.IntN(2) == 0 { // some of these take effect
			r.runs(n)
		}
		c.state = callMute
	case p.Limit > 0 && !r.token(e, p):
		wait := time.Duration(0)
		if p.Tells {
			wait = time.Duration((1 - e.tokens) / r.limit(e) * float64(time.Second))
		}
		r.back(n, control.Throttled, wait)
	case len(e.serving) < r.capacity(e):
		r.runs(n)
		r.serve(n)
	case len(e.waiting) < p.Queue:
		r.runs(n) // a window counts between arrivals
		e.waiting = append(e.waiting, n)
		r.pressed(c.endpoint)
	default:
		wait := time.Duration(0)
		if p.Tells {
			wait = time.Duration(float64(p.Median) * float64(1+len(e.waiting)/max(r.capacity(e), 1)))
		}
		r.back(n, control.Throttled, wait)
		r.pressed(c.endpoint)
	}
}

func (r *Run) token(e *endpoint, p *Partner) bool {
	limit := r.limit(e)
	e.tokens = min(e.tokens+limit*(r.now-e.tokenAt).Seconds(), r.depth(e))
	e.tokenAt = r.now
	let := e.tokens >= 1
	if let || p.Counts {
		e.tokens = max(e.tokens-1, -limit*time.Duration(p.Debt).Seconds())
	}
	return let
}

// limit is how many calls a second an endpoint lets in now; 0: any number.
func (r *Run) limit(e *endpoint) float64 {
	limit := r.W.Partners[e.group].Limit
	if e.lowered > 0 {
		limit *= e.lowered
	}
	return limit
}

// depth is how many calls an endpoint lets in at once when none has come for a while.
func (r *Run) depth(e *endpoint) float64 {
	return max(r.limit(e)*time.Duration(r.W.Partners[e.group].Burst).Seconds(), 1)
}

// serve begins to serve a call.
func (r *Run) serve(n int32) {
	c := &r.calls[n]
	e := &r.ends[c.endpoint]
	p := &r.W.Partners[e.group]
	e.serving = append(e.serving, n)
	took := float64(p.Median) * math.Exp(p.Spread*r.rng.NormFloat64())
	if p.Tail > 0 && r.rng.Float64() < p.Tail {
		took *= 10
	}
	if e.slowFor == 0 || int(c.relay) < e.slowFor {
		took *= e.slow
	}
	r.q.put(r.now+time.Duration(took), doServed, n, c.no)
}

// runs is where a message takes effect, unless its key was there lately.
func (r *Run) runs(n int32) {
	c := &r.calls[n]
	msg := &r.msgs[c.msg]
	class := &r.W.Classes[msg.class]
	if msg.firstRun != 0 && class.Effect == "keyed" && r.now-msg.firstRun <= time.Duration(class.Window) {
		return
	}
	if msg.ran++; msg.ran == 1 {
		msg.firstRun = r.now
	} else if class.Effect != "safe" {
		r.Check.breach(ruleTwice, c.relay, c.msg, "takes effect twice")
	}
}

func (r *Run) served(n, no int32) {
	c := &r.calls[n]
	e := &r.ends[c.endpoint]
	k := slices.Index(e.serving, n)
	if c.no != no || k < 0 {
		return // its endpoint ended meanwhile, and its calls with it
	}
	e.serving = slices.Delete(e.serving, k, k+1)
	r.back(n, control.Delivered, 0)
	for len(e.waiting) > 0 && len(e.serving) < r.capacity(e) {
		next := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		if r.calls[next].state != callOut {
			r.release(next)
			continue
		}
		r.serve(next)
	}
	if float64(len(e.serving)+len(e.waiting)) <= fallMultiple*float64(r.capacity(e)) {
		e.overSince = 0
	}
}

// pressed notes that a cold endpoint has more than it can bear: if that lasts it falls over.
func (r *Run) pressed(n int32) {
	e := &r.ends[n]
	capacity := r.capacity(e)
	if e.coldSince == 0 || e.overSince != 0 || float64(len(e.serving)+len(e.waiting)) <= fallMultiple*float64(capacity) {
		return
	}
	e.overSince = r.now
	r.q.put(r.now+fallAfter, doSettle, n, 0)
}

func (r *Run) settle(n int32) {
	e := &r.ends[n]
	if e.overSince == 0 || r.now-e.overSince < fallAfter || e.coldSince == 0 || e.down > 0 {
		return
	}
	r.Check.breach(ruleCold, -1, -1, "a cold endpoint is pushed over")
	r.takeDown(n)
	r.q.put(r.now+fallRest, doRelieved, n, 0)
}

// takeDown ends what an endpoint serves.
func (r *Run) takeDown(n int32) {
	e := &r.ends[n]
	e.down++
	lost := append(slices.Clone(e.serving), e.waiting...)
	e.serving, e.waiting, e.overSince = e.serving[:0], e.waiting[:0], 0
	for _, c := range lost {
		r.back(c, control.Reset, 0)
	}
}

func (r *Run) comeBack(n int32) {
	e := &r.ends[n]
	if e.down--; e.down == 0 {
		e.coldSince, e.overSince = r.now, 0
	}
}

// callMute is a call that nothing will come of: only its relay ends it.
const callMute uint8 = 9

// answered is where an answer comes to its relay.
func (r *Run) answered(n int32) {
	c := &r.calls[n]
	if c.state != callOut {
		r.release(n)
		return
	}
	result, wait := c.result, c.wait
	c.state = callMute // nothing more comes of it
	r.resolve(n, result, wait)
}

// resolve tells a relay what came of a call, which it has out no longer.
func (r *Run) resolve(n int32, result control.Result, wait time.Duration) {
	c := &r.calls[n]
	msg := &r.msgs[c.msg]
	re := &r.relays[c.relay]
	delete(re.calls, c.ticket)
	msg.out--
	if !result.NeverRan() && !msg.mayRan {
		msg.mayRan, msg.ranAt = true, c.born
	}
	r.Stats.resolved(result)
	ev := control.Event{Kind: control.Resolved, ID: c.ticket, Attempt: int(c.attempt), Endpoint: uint32(c.endpoint + 1), Result: result, RetryAfter: wait,
		Elapsed: r.now - c.born}
	if p := &r.W.Partners[r.ends[c.endpoint].group]; p.Limit > 0 && (result == control.Delivered || result == control.Throttled) {
		e := &r.ends[c.endpoint]
		ev.Reported, ev.Limit = true, r.limit(e)
		ev.Remaining = max(0, min(1, e.tokens/r.depth(e)))
	}
	if result == control.Delivered {
		r.Check.delivered(&r.ticks[c.ticket-1])
		r.over(c.msg, endDelivered)
	}
	if c.state == callMute {
		r.release(n)
	} else {
		c.state = callLeft
	}
	r.tell(c.relay, ev)
}
