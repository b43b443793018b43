// Package gate decides whether a plug-in may be called: circuit breakers, a share of processor time and bulkheads
// by partner. It has no clock, I/O or goroutine; its caller brings the time and the lock. Package plugin has a Gate for
// each version of a plug-in.
//
// gate.go has the decision, breaker.go the circuit breaker.
package gate

import (
	"slices"
	"time"
)

// Limits bounds one plug-in.
type Limits struct {
	Instances int // calls at once, at least 1; see PerPartner

	// The share of processor time: a bucket that holds CPUBurst and is refilled with CPUShare seconds a second. A
	// larger share lets a plug-in slow the relay down more.
	CPUShare float64 // of one core
	CPUBurst time.Duration

	// The circuit breakers.
	FailureThreshold float64       // failures that open a breaker; more cost partners more calls that fail
	FailureDecay     float64       // failures that a good call takes back
	OpenFor          time.Duration // how long a breaker stays open at first; doubles with each trial that fails
	MaxOpenFor       time.Duration
	HalfOpenTrials   int // good calls in a row, one at a time, that close a breaker
	MaxPartners      int // partners with a breaker, the least recently used is forgotten first
	SharedThreshold  int // breakers of partners that, not closed at once, count failures against the plug-in's own
}

// PerPartner is how many calls at once may be for one partner: while there are several instances, one partner
// never has all of them.
func (l *Limits) PerPartner() int { return max(1, l.Instances/2) }

// Verdict is what Enter decides.
type Verdict uint8

// The verdicts. All but Admitted and Saturated are final for the call.
const (
	Admitted     Verdict = iota // call it, then Leave
	Saturated                   // all instances, or the partner's part of them, are at work: try again when one leaves
	BreakerOpen                 // the partner's breaker or the plug-in's is open
	CPUShareUsed                // the plug-in has used up its share of processor time
)

// String is the verdict as test scripts write it.
func (v Verdict) String() string { return [...]string{"go", "crowded", "open", "dry"}[v] }

// Result is how a call ended.
type Result uint8

// The results.
const (
	Succeeded   Result = iota
	Failed             // it trapped, or broke a rule of the interface
	TimedOut           // it ran over its time: the dearest way to fail
	StartFailed        // no instance could be started: not the partner's doing
)

// Ticket is a call that was admitted. Each is handed to Leave exactly once.
type Ticket struct {
	partner     int
	trial       bool // of the partner's breaker
	sharedTrial bool // of the plug-in's own
}

// Gate decides for one plug-in. It is not safe for concurrent use.
type Gate struct {
	limits     Limits
	busy       int // calls under way
	own        breaker
	partners   map[int]*partner
	cpuLeft    time.Duration // processor time that may be spent now; below 0 after a call that took more
	refilledAt time.Time
	useCount   uint64 // uses of any partner, to tell which one's is the oldest
}

// partner is what a gate knows of one partner.
type partner struct {
	breaker
	busy    int    // calls under way
	lastUse uint64 // Gate.useCount at that time
}

// New returns a gate that lets calls in.
func New(limits Limits) *Gate {
	return &Gate{limits: limits, partners: map[int]*partner{}, cpuLeft: limits.CPUBurst}
}

// Enter asks for a call on behalf of a partner. A time before that of an earlier call refills nothing.
func (g *Gate) Enter(now time.Time, number int) (Ticket, Verdict) {
	p := g.partner(number)
	g.refill(now)
	switch {
	case !p.admits(now) || !g.own.admits(now):
		return Ticket{}, BreakerOpen
	case g.cpuLeft <= 0:
		return Ticket{}, CPUShareUsed
	case g.busy >= g.limits.Instances || p.busy >= g.limits.PerPartner():
		return Ticket{}, Saturated
	}
	t := Ticket{partner: number, trial: p.begin(), sharedTrial: g.own.begin()}
	g.busy++
	p.busy++
	return t, Admitted
}

// Leave tells how a call ended that was admitted, and what processor time it took.
func (g *Gate) Leave(now time.Time, t Ticket, cpu time.Duration, r Result) {
	g.refill(now)
	g.cpuLeft -= cpu
	g.busy--
	p := g.partner(t.partner)
	p.busy--
	blame := r
	if r == StartFailed {
		blame = Succeeded // of the partner; its trial proves nothing, and is over
	}
	p.record(now, &g.limits, t.trial, blame)
	g.recordOwn(now, t, r)
}

// recordOwn counts a call's result for the plug-in's own breaker. One partner's messages that it can't bear are that
// partner's trouble; several such are the plug-in's.
func (g *Gate) recordOwn(now time.Time, t Ticket, r Result) {
	partnersFault := r == Failed || r == TimedOut
	switch {
	case r == Succeeded:
		g.own.record(now, &g.limits, t.sharedTrial, Succeeded)
	case !partnersFault || g.partnersNotClosed() >= g.limits.SharedThreshold:
		g.own.record(now, &g.limits, t.sharedTrial, Failed)
	default:
		g.own.abandon(t.sharedTrial)
	}
}

// partnersNotClosed is how many partners' breakers are open or half open.
func (g *Gate) partnersNotClosed() int {
	n := 0
	for _, p := range g.partners {
		if p.state != closed {
			n++
		}
	}
	return n
}

// Blocked tells whether any breaker keeps this partner out now; whoever waits for an instance need wait no more.
func (g *Gate) Blocked(now time.Time, number int) bool {
	return !g.partner(number).admits(now) || !g.own.admits(now)
}

// Snapshot is the state of a gate, for logs and tests.
type Snapshot struct {
	Busy     int           // calls under way
	Open     bool          // the plug-in's own breaker is open or half open
	Partners []int         // whose breakers are open or half open, in order
	CPULeft  time.Duration // processor time that may be spent now
}

// Snapshot returns the gate's state.
func (g *Gate) Snapshot(now time.Time) Snapshot {
	g.refill(now)
	s := Snapshot{Busy: g.busy, Open: g.own.state != closed, CPULeft: g.cpuLeft}
	for number, p := range g.partners {
		if p.state != closed {
			s.Partners = append(s.Partners, number)
		}
	}
	slices.Sort(s.Partners)
	return s
}

// refill adds the share of processor time since the last refill.
func (g *Gate) refill(now time.Time) {
	if !g.refilledAt.IsZero() && now.After(g.refilledAt) {
		earned := time.Duration(float64(now.Sub(g.refilledAt)) * g.limits.CPUShare)
		g.cpuLeft = min(g.limits.CPUBurst, g.cpuLeft+earned)
	}
	if now.After(g.refilledAt) {
		g.refilledAt = now
	}
}

// partner returns what is known of a partner, and makes that the most recently used.
func (g *Gate) partner(number int) *partner {
	g.useCount++
	p := g.partners[number]
	if p == nil {
		if len(g.partners) >= g.limits.MaxPartners {
			g.evict()
		}
		p = &partner{}
		g.partners[number] = p
	}
	p.lastUse = g.useCount
	return p
}

// evict forgets the partner that has gone longest without a call, but none with a call out or a breaker open.
func (g *Gate) evict() {
	oldest, found := 0, false
	for number, p := range g.partners {
		if p.busy == 0 && p.state == closed && (!found || p.lastUse < g.partners[oldest].lastUse) {
			oldest, found = number, true
		}
	}
	if found {
		delete(g.partners, oldest)
	}
}
