package simulator

import (
	"math"
	"slices"
	"time"

	"mastusher/control"
)

// endpoint is the true state of an endpoint. Policies see it only through their calls and the endpoint list.
type endpoint struct {
	partner, group int32
	zone           int8
	listed         control.State // its current state in the endpoint list, which relays may not know yet
	removed        bool          // permanently

	serving []int32 // calls that are being served
	queued  []int32 // calls that wait for a worker

	throttling, hanging, failing, down int           // active faults of each kind
	retryAfter                         Duration      // sent while it throttles
	slowFactor                         float64       // multiplies service times
	slowRelays, partitionedRelays      int           // only the first N relays are slowed (0: all) or partitioned (0: none)
	coldSince                          time.Duration // when its slow start began; 0: it is warm
	overloadedSince                    time.Duration
	tokens                             float64
	limitFactor                        float64   // multiplies its rate limit; 0: unchanged
	callsBySecond                      []int32   // calls that arrived
	allowedBySecond                    []float64 // calls that the rate limit allowed
	tokensUpdatedAt                    time.Duration
}

func (r *Run) newEndpoint(partner, group int32) int32 {
	n := int32(len(r.endpoints))
	r.endpoints = append(r.endpoints, endpoint{partner: partner, group: group, zone: int8(int(n) % r.World.Net.Zones), slowFactor: 1, tokensUpdatedAt: r.now})
	return n
}

// capacity returns how many calls an endpoint serves concurrently; fewer during its slow start.
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

// truth is the function that a TruthObserver gets: it returns how many more calls an endpoint accepts now, and whether it is up.
func (r *Run) truth(id uint32) (free int, up bool) {
	if id == 0 || int(id) > len(r.endpoints) {
		return 0, false
	}
	e := &r.endpoints[id-1]
	up = !e.removed && e.down == 0 && e.throttling == 0 && e.hanging == 0 && e.failing == 0 && e.listed == control.Ready
	free = r.capacity(e) - len(e.serving) - len(e.queued)
	if limit := r.limit(e); limit > 0 { // calls that its rate limit admits now
		free = min(free, int(math.Floor(min(e.tokens+limit*(r.now-e.tokensUpdatedAt).Seconds(), r.bucketSize(e)))))
	}
	return free, up
}

// takeToken reports whether the rate limit admits a call now, and charges the token bucket.
func (r *Run) takeToken(e *endpoint, p *Partner) bool {
	limit := r.limit(e)
	e.tokens = min(e.tokens+limit*(r.now-e.tokensUpdatedAt).Seconds(), r.bucketSize(e))
	e.tokensUpdatedAt = r.now
	allowed := e.tokens >= 1
	if allowed || p.ChargesThrottled {
		e.tokens = max(e.tokens-1, -limit*time.Duration(p.MaxDebt).Seconds())
	}
	return allowed
}

// limit returns the current rate limit of an endpoint in calls per second; 0: unlimited.
func (r *Run) limit(e *endpoint) float64 {
	limit := r.World.Partners[e.group].RateLimit
	if e.limitFactor > 0 {
		limit *= e.limitFactor
	}
	return limit
}

// bucketSize returns the capacity of an endpoint's token bucket, which is at least one call.
func (r *Run) bucketSize(e *endpoint) float64 {
	return max(r.limit(e)*time.Duration(r.World.Partners[e.group].Burst).Seconds(), 1)
}

// serve starts to serve call n.
func (r *Run) serve(n int32) {
	c := &r.calls[n]
	e := &r.endpoints[c.endpoint]
	p := &r.World.Partners[e.group]
	e.serving = append(e.serving, n)
	serviceTime := float64(p.Median) * math.Exp(p.Spread*r.rng.NormFloat64())
	if p.TailShare > 0 && r.rng.Float64() < p.TailShare {
		serviceTime *= 10
	}
	if e.slowRelays == 0 || int(c.relay) < e.slowRelays {
		serviceTime *= e.slowFactor
	}
	r.schedule(r.now+time.Duration(serviceTime), eventServiceDone, n, c.generation)
}

// completeService responds to call n and starts to serve queued calls, unless the endpoint went down during the service.
func (r *Run) completeService(n, callGeneration int32) {
	c := &r.calls[n]
	e := &r.endpoints[c.endpoint]
	i := slices.Index(e.serving, n)
	if c.generation != callGeneration || i < 0 {
		return // the endpoint went down meanwhile, which reset its calls
	}
	e.serving = slices.Delete(e.serving, i, i+1)
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
