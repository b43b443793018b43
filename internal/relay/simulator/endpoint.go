package simulator

import (
	"math"
	"slices"
	"time"

	"mastusher/control"
)

// endpoint is the true state of an endpoint, which policies see only by their calls and the list.
type endpoint struct {
	partner, group int32
	zone           int8
	listed         control.State // what the list says, before it has come to relays
	removed        bool          // for good

	serving []int32 // calls
	queued  []int32

	throttling, hanging, failing, down int      // troubles that it has
	retryAfter                         Duration // sent while it throttles
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

// capacity is how many calls an endpoint serves at once: less during its slow start.
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

// truth is the function that a TruthObserver gets: how many more calls an endpoint takes now, and whether it works.
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

// limit is the rate limit of an endpoint now, in calls a second; 0: unlimited.
func (r *Run) limit(e *endpoint) float64 {
	limit := r.World.Partners[e.group].RateLimit
	if e.limitFactor > 0 {
		limit *= e.limitFactor
	}
	return limit
}

// bucketSize is the size of an endpoint's token bucket, one call at least.
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
	r.schedule(r.now+time.Duration(took), eventServiceDone, n, c.generation)
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
