// Package gate decides whether a plug-in may be called: circuit breakers, a share of processor time and bulkheads
// by partner. It has no clock, I/O or goroutine; its caller brings the time and the lock.
package gate

import (
	"slices"
	"time"
)

// Limits bounds one plug-in.
type Limits struct {
	Instances  int           // calls at once
	Share      float64       // of one core
	Burst      time.Duration // processor time that may be spent at once beyond the share
	Strikes    float64       // failures that open a breaker; each good call takes Pardon off
	Pardon     float64
	Rest       time.Duration // how long a breaker stays open at first; doubles with each trial that fails
	MaxOpen    time.Duration
	Trials     int // good calls in a row that close it
	Partners   int // breakers kept, the least recently used goes first
	SharedOpen int // open breakers of partners that open the plug-in's own
}

// Verdict is what Enter decides.
type Verdict uint8

// The verdicts. All but Go and Crowded are final for the call.
const (
	Go      Verdict = iota // call it, then Leave
	Crowded                // all instances, or the partner's part of them, are at work: try again when one leaves
	Open                   // the partner's breaker or the plug-in's is open
	Dry                    // the plug-in has used up its share of processor time
)

func (v Verdict) String() string { return [...]string{"go", "crowded", "open", "dry"}[v] }

// Result is how a call ended.
type Result uint8

// The results.
const (
	Good    Result = iota
	Failed         // it trapped, or broke a rule of the interface
	Overran        // it ran over its time: the dearest way to fail
	Crashed        // no instance could be started: not the partner's doing
)

// Ticket is a call that was let in.
type Ticket struct {
	partner int
	trial   bool // of the partner's breaker
	shared  bool // a trial of the plug-in's own
}

// Gate decides for one plug-in.
type Gate struct {
	limits   Limits
	busy     int
	own      breaker
	partners map[int]*partner
	left     time.Duration // processor time that may be spent now
	at       time.Time     // when left was counted last
	useNo    uint64
}

type partner struct {
	breaker
	busy int
	use  uint64
}

// New returns a gate that lets calls in.
func New(lim Limits) *Gate {
	return &Gate{limits: lim, partners: map[int]*partner{}, left: lim.Burst}
}

// PerPartner is how many calls at once may be for one partner: while there are several instances, one partner
// never has all of them.
func (l *Limits) PerPartner() int { return max(1, l.Instances/2) }

// Enter asks for a call on behalf of a partner.
func (g *Gate) Enter(now time.Time, no int) (Ticket, Verdict) {
	p := g.partner(no)
	g.refill(now)
	switch {
	case !p.admits(now) || !g.own.admits(now):
		return Ticket{}, Open
	case g.left <= 0:
		return Ticket{}, Dry
	case g.busy >= g.limits.Instances || p.busy >= g.limits.PerPartner():
		return Ticket{}, Crowded
	}
	t := Ticket{partner: no, trial: p.begin(), shared: g.own.begin()}
	g.busy++
	p.busy++
	return t, Go
}

// Leave tells how a call ended that was let in, and what processor time it took.
func (g *Gate) Leave(now time.Time, t Ticket, cpu time.Duration, r Result) {
	g.refill(now)
	g.left -= cpu
	g.busy--
	p := g.partner(t.partner)
	p.busy--
	blame := r
	if r == Crashed {
		blame = Good // of the partner; its trial proves nothing, and is over
	}
	p.done(now, &g.limits, t.trial, blame)
	open := 0
	for _, q := range g.partners {
		if q.state != closed {
			open++
		}
	}
	// One partner's messages that it can't bear are that partner's trouble; several such are the plug-in's.
	switch failed := r == Failed || r == Overran; {
	case r == Good:
		g.own.done(now, &g.limits, t.shared, Good)
	case !failed || open >= g.limits.SharedOpen:
		g.own.done(now, &g.limits, t.shared, Failed)
	default:
		g.own.abandon(t.shared)
	}
}

// Opens tells whether any breaker keeps this partner out now; whoever waits for an instance need wait no more.
func (g *Gate) Opens(now time.Time, no int) bool {
	return !g.partner(no).admits(now) || !g.own.admits(now)
}

// Look is what a gate stands at, for logs and status.
type Look struct {
	Busy     int
	Open     bool  // the plug-in's own breaker
	Partners []int // whose breakers are not closed
	Left     time.Duration
}

// Look tells how things stand.
func (g *Gate) Look(now time.Time) Look {
	g.refill(now)
	l := Look{Busy: g.busy, Open: g.own.state != closed, Left: g.left}
	for no, p := range g.partners {
		if p.state != closed {
			l.Partners = append(l.Partners, no)
		}
	}
	slices.Sort(l.Partners)
	return l
}

func (g *Gate) refill(now time.Time) {
	if !g.at.IsZero() && now.After(g.at) {
		g.left = min(g.limits.Burst, g.left+time.Duration(float64(now.Sub(g.at))*g.limits.Share))
	}
	if now.After(g.at) {
		g.at = now
	}
}

func (g *Gate) partner(no int) *partner {
	g.useNo++
	p := g.partners[no]
	if p == nil {
		if len(g.partners) >= g.limits.Partners {
			g.evict()
		}
		p = &partner{}
		g.partners[no] = p
	}
	p.use = g.useNo
	return p
}

// evict forgets the partner that has gone longest without a call, but none with a call out or a breaker open.
func (g *Gate) evict() {
	oldest, found := 0, false
	for no, p := range g.partners {
		if p.busy == 0 && p.state == closed && (!found || p.use < g.partners[oldest].use) {
			oldest, found = no, true
		}
	}
	if found {
		delete(g.partners, oldest)
	}
}

type state uint8

const (
	closed state = iota
	open
	halfOpen
)

// overran is how much more than another failure a call that ran over its time counts.
const overran = 1

// breaker is a circuit breaker. Failures need not come in a row: a plug-in that fails at each third message is
// as much of a burden as one that always does.
type breaker struct {
	state   state
	strikes float64
	until   time.Time     // while open
	rest    time.Duration // that it is or was open for
	trial   bool          // one is out
	good    int           // trials in a row
	calm    time.Time     // when it closed: a rest long past does not lengthen the next
}

func (b *breaker) admits(now time.Time) bool {
	switch b.state {
	case open:
		return !now.Before(b.until)
	case halfOpen:
		return !b.trial
	}
	return true
}

// begin notes that a call is let in, and tells whether it is a trial.
func (b *breaker) begin() bool {
	if b.state == closed {
		return false
	}
	b.state, b.trial = halfOpen, true
	return true
}

// abandon ends a trial that has proved nothing.
func (b *breaker) abandon(trial bool) {
	if trial {
		b.trial = false
	}
}

func (b *breaker) done(now time.Time, lim *Limits, trial bool, r Result) {
	failed := r != Good
	if trial {
		b.trial = false
	}
	switch {
	case b.state == open: // a call from before it opened
	case b.state == halfOpen && !trial:
	case failed && b.state == halfOpen:
		b.open(now, min(2*b.rest, lim.MaxOpen))
	case failed:
		if b.strikes++; r == Overran {
			b.strikes += overran
		}
		if b.strikes >= lim.Strikes {
			rest := lim.Rest
			if now.Sub(b.calm) < 10*b.rest {
				rest = min(2*b.rest, lim.MaxOpen)
			}
			b.open(now, rest)
		}
	case b.state == halfOpen:
		if b.good++; b.good >= lim.Trials {
			b.state, b.strikes, b.calm = closed, 0, now
		}
	default:
		b.strikes = max(0, b.strikes-lim.Pardon)
	}
}

func (b *breaker) open(now time.Time, rest time.Duration) {
	b.state, b.until, b.rest, b.good, b.trial = open, now.Add(rest), rest, 0, false
}
