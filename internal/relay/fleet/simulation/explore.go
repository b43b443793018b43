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
	FailingSequence string // number and choices of the first sequence with a breach or a stuck change; "": none
	Breach          *checker.BreachError
	Stuck           bool // after all faults ended, the change had no common outcome or the shared limit was not leased
}

// exploredRelays is the number of relays of an explored world.
const exploredRelays = 3

// choices is the number of choices at each step of a sequence: for each relay, that all messages in transit to it arrive, that they are
// lost, or that it crashes; and that time passes.
const choices = 3*exploredRelays + 1

// Explore tries, for three relays and one change, every sequence of depth choices after the proposal: the messages in transit to a relay
// arrive or are lost, a relay crashes and restarts at once, or half a lease passes. Then all faults end and the history is checked. Of the
// numbered sequences only those congruent to remainder modulo modulus are tried. With shares the relays share a limit, and the demand moves
// from one relay to another; serve is Options.ServeWhenPartitioned. Each additional choice multiplies the cost by ten.
func Explore(depth, remainder, modulus int, shares, serve bool) Exploration {
	total := 1
	for range depth {
		total *= choices
	}
	var exploration Exploration
	for number := remainder; number < total; number += modulus {
		exploration.Sequences++
		explored := newExploredWorld(shares, serve)
		text := explored.apply(number, depth)
		breach, stuck := explored.finish(shares)
		if breach != nil || stuck {
			exploration.FailingSequence, exploration.Breach, exploration.Stuck = fmt.Sprintf("%d:%s", number, text), breach, stuck
			return exploration
		}
	}
	return exploration
}

// exploredWorld is a world right after a change was proposed. Its messages stay in transit until a choice.
type exploredWorld struct {
	*World
	ticket uint64
}

func newExploredWorld(shares, serve bool) *exploredWorld {
	busy := 0
	options := Options{Relays: exploredRelays, Voters: exploredRelays, Seed: 9, Lease: 2 * time.Second, MaxClockDrift: 0.05, Delay: 500 * time.Microsecond, ActInterval: 10 * time.Millisecond}
	if shares {
		options.GuaranteedShare, options.ActInterval, options.ServeWhenPartitioned = 0.25, 0, serve
		options.Demands = func(_ *World, r *Relay) []quota.Demand {
			demand := quota.Demand{Key: 1, Rate: 2, Value: 1, Limit: 100}
			if r.Index == busy {
				demand.Rate = 90
			}
			return []quota.Demand{demand}
		}
	}
	world := New(options)
	world.Await(10*time.Second, func() bool { return world.AllActOn(0) && world.formed() })
	world.Run(2100 * time.Millisecond)
	world.inTransit = make([][]func(), exploredRelays)
	busy = 1
	if shares {
		world.Run(demandInterval) // until all relays have sent their demands
	}
	explored := &exploredWorld{World: world, ticket: world.Propose(world.Relays[1], 0, `{"format":1}`)}
	world.Run(5 * time.Millisecond)
	return explored
}

// apply applies depth choices, which are the digits of a sequence's number, and returns a description.
func (x *exploredWorld) apply(number, depth int) (text string) {
	for range depth {
		text += x.applyChoice(number % choices)
		number /= choices
		x.Run(3 * time.Millisecond)
	}
	return text
}

// applyChoice delivers or loses the messages to one relay, restarts the relay, or lets time pass. It returns a description for the trace.
func (x *exploredWorld) applyChoice(choice int) string {
	r := x.Relays[choice%exploredRelays]
	switch choice / exploredRelays {
	case 0:
		arriving := x.inTransit[r.Index]
		x.inTransit[r.Index] = nil
		for _, arrive := range arriving {
			arrive()
		}
		return " arrives:" + r.Name
	case 1:
		x.inTransit[r.Index] = nil
		return " lost:" + r.Name
	case 2:
		x.Crash(r)
		x.Start(r)
		return " crash:" + r.Name
	default:
		x.Run(x.Lease / 2)
		return " time"
	}
}

// finish ends all faults, waits eight leases, and checks the history and whether the change has the same outcome everywhere.
func (x *exploredWorld) finish(shares bool) (breach *checker.BreachError, stuck bool) {
	x.inTransit = nil
	x.Run(8 * x.Lease)
	p, over := x.Outcome(x.ticket)
	// The proposal itself may have been lost; otherwise the change must have an outcome.
	stuck = !over && x.Relays[0].Node.Status().State.Change != nil || over && p.DropReason == "" && !x.AllActOn(p.Version) || !over && !x.AllActOn(0)
	if sum := 0.0; shares {
		for _, r := range x.Relays {
			sum += x.SpendableShare(r, 1)
		}
		stuck = stuck || sum < 0.9
	}
	return checker.Check(x.History, checker.Options{}), stuck
}
