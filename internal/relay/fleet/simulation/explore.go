package simulation

import (
	"fmt"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/quota"
)

// Exploration is the outcome of an exploration.
type Exploration struct {
	Sequences       int
	FailingSequence string // that shows the breach; "": none does
	Breach          *checker.BreachError
	Stuck           bool // everything was healed, and the change neither took effect nor was dropped
}

// Explore tries, for three relays and one change, every sequence of depth choices from the moment at which the change is proposed:
// what is in transit to one relay arrives or is lost, a relay crashes and restarts at once, or half a lease passes. Then everything is
// healed and the history judged. The sequences are numbered; only numbers congruent to part modulo parts are tried. With shares the
// relays share a limit, and the demand moves from one relay to another; serve is Options.ServeWhenPartitioned. Its cost grows by a factor
// of ten with each choice of depth.
func Explore(depth, remainder, modulus int, shares, serve bool) Exploration {
	const relays = 3
	choices := 3*relays + 1
	total := 1
	for range depth {
		total *= choices
	}
	var e Exploration
	for no := remainder; no < total; no += modulus {
		e.Sequences++
		x := newExploredWorld(relays, shares, serve)
		text := x.apply(no, depth)
		breach, stuck := x.judge(shares)
		if breach != nil || stuck {
			e.FailingSequence, e.Breach, e.Stuck = fmt.Sprintf("%d:%s", no, text), breach, stuck
			return e
		}
	}
	return e
}

// exploredWorld is a world right after a change was proposed, in which messages wait for choices.
type exploredWorld struct {
	*World
	ticket uint64
}

func newExploredWorld(relays int, shares, serve bool) *exploredWorld {
	busy := 0
	o := Options{Relays: relays, Voters: relays, Seed: 9, Lease: 2 * time.Second, MaxClockDrift: 0.05, Delay: 500 * time.Microsecond, ActInterval: 10 * time.Millisecond}
	if shares {
		o.GuaranteedShare, o.ActInterval, o.ServeWhenPartitioned = 0.25, 0, serve
		o.Demands = func(_ *World, r *Relay) []quota.Demand {
			n := quota.Demand{Key: 1, Rate: 2, Value: 1, Limit: 100}
			if r.Index == busy {
				n.Rate = 90
			}
			return []quota.Demand{n}
		}
	}
	w := New(o)
	w.Await(10*time.Second, func() bool { return w.AllActOn(0) && w.formed() })
	w.Run(2100 * time.Millisecond)
	w.inTransit = make([][]func(), relays)
	busy = 1
	if shares {
		w.Run(demandInterval) // until all have sent their demands
	}
	x := &exploredWorld{World: w, ticket: w.Propose(w.Relays[1], 0, `{"format":1}`)}
	w.Run(5 * time.Millisecond)
	return x
}

// apply makes depth choices, the digits of no, and names them.
func (x *exploredWorld) apply(no, depth int) (text string) {
	relays := len(x.Relays)
	choices := 3*relays + 1
	for range depth {
		c := no % choices
		no /= choices
		r := x.Relays[c%relays]
		switch c / relays {
		case 0:
			text += " arrives:" + r.Name
			due := x.inTransit[r.Index]
			x.inTransit[r.Index] = nil
			for _, arrive := range due {
				arrive()
			}
		case 1:
			text += " lost:" + r.Name
			x.inTransit[r.Index] = nil
		case 2:
			text += " crash:" + r.Name
			x.Crash(r)
			x.Start(r)
		default:
			text += " time"
			x.Run(x.Lease / 2)
		}
		x.Run(3 * time.Millisecond)
	}
	return text
}

// judge lets everything arrive again, and judges the history and whether the change came to an end everywhere.
func (x *exploredWorld) judge(shares bool) (breach *checker.BreachError, stuck bool) {
	x.inTransit = nil
	x.Run(8 * x.Lease)
	p, over := x.Outcome(x.ticket)
	// The proposal itself may have been lost; one that was taken must end.
	stuck = !over && x.Relays[0].Node.Status().State.Change != nil || over && p.DropReason == "" && !x.AllActOn(p.Version) || !over && !x.AllActOn(0)
	if sum := 0.0; shares {
		for _, r := range x.Relays {
			sum += x.SpendableShare(r, 1)
		}
		stuck = stuck || sum < 0.9
	}
	return checker.Judge(x.History, checker.Options{}), stuck
}
