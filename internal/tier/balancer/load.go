package balancer

import (
	"slices"
	"time"
)

// What is assumed of the load at endpoints.
const (
	toldHalfLife  = time.Second // of the part in which what was told differs from the mean
	ageEvery      = 25 * time.Millisecond
	meanHalfLife  = 4 * time.Second // of the mean, without any news
	meanWeight    = 0.1             // of the newest figure in the mean
	crowdCharge   = 1.0             // of the expectation, at full slots
	unknownCharge = 0.25            // of it, for each call in flight where the slots aren't known
	queuePart     = 0.5             // of the slots, that may wait at an endpoint until a refusal tells its bound
)

// load is what is known of the calls in flight at an endpoint.
type load struct {
	others  float64 // calls of others, as last told
	toldAt  time.Duration
	told    bool
	aged    float64 // others, as they are taken to be at agedAt
	agedAt  time.Duration
	slots   int             // told by itself; 0: not told
	lingers []time.Duration // until when calls that were given up are taken to run
}

// serviceLoad is what is usual at a service.
type serviceLoad struct {
	share  float64 // of the slots, taken by others
	at     time.Duration
	queued int // calls that waited at an endpoint that refused for being full
	known  bool
}

// slots is how many calls the endpoint works on at once; 0: not known.
func (e *endpoint) slots() int {
	if e.load.slots > 0 {
		return e.load.slots
	}
	return e.model.Capacity
}

// tell takes what the endpoint says of its load. The proxy's own calls are part of it.
func (e *endpoint) tell(now time.Duration, told Load, own int) {
	if told.Capacity <= 0 {
		return
	}
	l, mean := &e.load, &e.service.load
	l.others, l.toldAt, l.told, l.slots = float64(max(0, told.Running+told.Queued-own)), now, true, told.Capacity
	l.aged, l.agedAt = l.others, now
	mean.share = mean.usual(now)
	mean.share += meanWeight * (l.others/float64(told.Capacity) - mean.share)
	mean.at = now
}

// usual is the share of an endpoint's slots that others take in the mean.
func (m *serviceLoad) usual(now time.Duration) float64 {
	return m.share * fading(now-m.at, meanHalfLife)
}

// running estimates the calls at the endpoint: the proxy's own, those given up that may still run, and those of others,
// which usually take that share of its slots.
func (e *endpoint) running(now time.Duration, usualShare float64) float64 {
	l := &e.load
	others := usualShare * float64(e.slots())
	if l.told {
		if now-l.agedAt >= ageEvery {
			l.aged, l.agedAt = others+(l.others-others)*fading(now-l.toldAt, toldHalfLife), now
		}
		others = l.aged
	}
	lingering := 0
	for _, until := range l.lingers {
		if until > now {
			lingering++
		}
	}
	return float64(len(e.out)+lingering) + others
}

// crowd is the share of the expectation that so many calls in flight there add to it.
func (e *endpoint) crowd(running float64) float64 {
	slots := float64(e.slots())
	if slots <= 0 {
		return unknownCharge * running
	}
	return crowdCharge*running/slots + max(0, running+1-slots)/slots
}

// full tells whether the endpoint would turn a call away with so many in flight there.
func (e *endpoint) full(running float64) bool {
	slots := e.slots()
	if slots <= 0 {
		return false
	}
	queue := max(1, int(queuePart*float64(slots)))
	if e.service.load.known {
		queue = e.service.load.queued
	}
	return running >= float64(slots+queue)
}

// linger counts a call that was given up as running for rest more.
func (e *endpoint) linger(now, rest time.Duration) {
	e.load.lingers = slices.DeleteFunc(e.load.lingers, func(until time.Duration) bool { return until <= now })
	if rest > 0 {
		e.load.lingers = append(e.load.lingers, now+rest)
	}
}
