// Package gate decides whether a plug-in may be called, by circuit breakers, a share of processor time and a limit on the calls
// for one partner. It has no clock, I/O or goroutines; the caller passes the time and does the locking. Package plugin has a Gate
// for each version of a plug-in.
//
// gate.go has the decision, breaker.go the circuit breaker.
package gate

import (
	"slices"
	"time"
)

// Limits are the limits for one plug-in.
type Limits struct {
	Instances int // maximum number of concurrent calls, at least 1; see PerPartner

	// The share of processor time: a token bucket that holds CPUBurst and is refilled with CPUShare seconds per second. A
	// larger share lets a plug-in slow the relay down more.
	CPUShare float64 // of one core
	CPUBurst time.Duration

	// The circuit breakers.
	FailureThreshold      float64       // failures that open a breaker; with a higher threshold more calls fail before it opens
	FailureDecay          float64       // subtracted from the failures by each successful call
	OpenFor               time.Duration // how long a breaker stays open at first; doubles with each failed trial
	MaxOpenFor            time.Duration
	HalfOpenTrials        int // successful trial calls in a row, one at a time, that close a half-open breaker
	MaxPartners           int // maximum number of partners whose state is kept; the least recently used one is forgotten first
	OpenPartnersThreshold int // failures also count towards the plug-in's breaker while at least this many partners' breakers are open or half open
}

// PerPartner returns the maximum number of concurrent calls for one partner. If there are several instances, one partner can't
// occupy all of them.
func (l *Limits) PerPartner() int { return max(1, l.Instances/2) }

// Verdict is the decision of Enter.
type Verdict uint8

// The verdicts. After BreakerOpen and CPUShareUsed the call must not be tried again.
const (
	Admitted     Verdict = iota // make the call, then call Leave
	Saturated                   // too many calls are in progress, in all or for the partner: try again after another call has left
	BreakerOpen                 // the partner's breaker or the plug-in's is open
	CPUShareUsed                // the plug-in has used up its share of processor time
)

// String returns the verdict as written in the test scripts.
func (v Verdict) String() string { return [...]string{"go", "crowded", "open", "dry"}[v] }

// Result is how a call ended.
type Result uint8

// The results.
const (
	Succeeded   Result = iota
	Failed             // the call trapped or violated the ABI
	TimedOut           // the call timed out, which occupies an instance longest
	StartFailed        // no instance could be started, which does not depend on the partner
)

// Ticket identifies an admitted call. Each must be passed to Leave exactly once.
type Ticket struct {
	partner     int
	trial       bool // the call is a trial of the partner's breaker
	pluginTrial bool // the call is a trial of the plug-in's own breaker
}

// Gate decides for one plug-in. It is not safe for concurrent use.
type Gate struct {
	limits        Limits
	busy          int // calls in progress
	pluginBreaker breaker
	partners      map[int]*partner
	cpuLeft       time.Duration // processor time that may be used now; below 0 after a call that used more
	refilledAt    time.Time
	useCount      uint64 // incremented at each use of a partner, to find the least recently used one
}

// partner is a gate's state for one partner.
type partner struct {
	breaker
	busy    int    // calls in progress
	lastUse uint64 // Gate.useCount when the partner was last used
}

// New returns a gate whose breakers are closed and whose share of processor time is unused.
func New(limits Limits) *Gate {
	return &Gate{limits: limits, partners: map[int]*partner{}, cpuLeft: limits.CPUBurst}
}

// Enter requests a call for a partner. If now is earlier than at a previous use of the gate, no processor time is added.
func (g *Gate) Enter(now time.Time, number int) (Ticket, Verdict) {
	p := g.partner(number)
	g.refill(now)
	switch {
	case !p.admits(now) || !g.pluginBreaker.admits(now):
		return Ticket{}, BreakerOpen
	case g.cpuLeft <= 0:
		return Ticket{}, CPUShareUsed
	case g.busy >= g.limits.Instances || p.busy >= g.limits.PerPartner():
		return Ticket{}, Saturated
	}
	t := Ticket{partner: number, trial: p.begin(), pluginTrial: g.pluginBreaker.begin()}
	g.busy++
	p.busy++
	return t, Admitted
}

// Leave records the result of an admitted call and the processor time that it used.
func (g *Gate) Leave(now time.Time, t Ticket, cpu time.Duration, r Result) {
	g.refill(now)
	g.cpuLeft -= cpu
	g.busy--
	p := g.partner(t.partner)
	p.busy--
	partnerResult := r
	if r == StartFailed {
		partnerResult = Succeeded // a failed start must not count against the partner
	}
	p.record(now, &g.limits, t.trial, partnerResult)
	g.recordForPlugin(now, t, r)
}

// recordForPlugin records a call's result in the plug-in's own breaker. A failure of a call counts there only when the breakers of
// several partners are not closed: if the messages of one partner alone fail, the other partners must not be affected.
func (g *Gate) recordForPlugin(now time.Time, t Ticket, r Result) {
	partnersFault := r == Failed || r == TimedOut
	switch {
	case r == Succeeded:
		g.pluginBreaker.record(now, &g.limits, t.pluginTrial, Succeeded)
	case !partnersFault || g.partnersNotClosed() >= g.limits.OpenPartnersThreshold:
		g.pluginBreaker.record(now, &g.limits, t.pluginTrial, Failed)
	default:
		g.pluginBreaker.abandon(t.pluginTrial)
	}
}

// partnersNotClosed returns how many partners' breakers are open or half open.
func (g *Gate) partnersNotClosed() int {
	n := 0
	for _, p := range g.partners {
		if p.state != closed {
			n++
		}
	}
	return n
}

// Blocked reports whether a breaker refuses calls for a partner now, so that waiting for an instance is useless.
func (g *Gate) Blocked(now time.Time, number int) bool {
	return !g.partner(number).admits(now) || !g.pluginBreaker.admits(now)
}

// Snapshot is the state of a gate, for logs and tests.
type Snapshot struct {
	Busy     int           // calls in progress
	Open     bool          // the plug-in's own breaker is open or half open
	Partners []int         // numbers of the partners whose breakers are open or half open, in ascending order
	CPULeft  time.Duration // processor time that may be used now
}

// Snapshot returns the gate's state.
func (g *Gate) Snapshot(now time.Time) Snapshot {
	g.refill(now)
	s := Snapshot{Busy: g.busy, Open: g.pluginBreaker.state != closed, CPULeft: g.cpuLeft}
	for number, p := range g.partners {
		if p.state != closed {
			s.Partners = append(s.Partners, number)
		}
	}
	slices.Sort(s.Partners)
	return s
}

// refill adds the processor time that has accrued since the last refill.
func (g *Gate) refill(now time.Time) {
	if !g.refilledAt.IsZero() && now.After(g.refilledAt) {
		earned := time.Duration(float64(now.Sub(g.refilledAt)) * g.limits.CPUShare)
		g.cpuLeft = min(g.limits.CPUBurst, g.cpuLeft+earned)
	}
	if now.After(g.refilledAt) {
		g.refilledAt = now
	}
}

// partner returns the state of a partner, which is created if need be, and marks it as the most recently used.
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

// evict forgets the least recently used partner that has no call in progress and whose breaker is closed, if there is one.
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
