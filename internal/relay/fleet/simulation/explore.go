package simulation

import (
	"fmt"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/quota"
)

// Explored is what an exploration has found.
type Explored struct {
	Tried  int
	Choice string // that shows the breach
	Breach *checker.BreachError
	Stuck  bool // all was well again, and the change neither took hold nor was dropped
}

// Explore tries, for three relays and one change, every sequence of depth choices from the moment at which the change is handed
// in: what is under way to one relay arrives or is lost, a relay crashes and is there again at once, or time passes. Then all
// is well again, and the history is judged. Only sequences of which no is congruent to part, modulo parts, are tried. Where the
// relays share, it is not a change of policy but one of needs: what one has is to become another's.
func Explore(depth, part, parts int, shares, serve bool) Explored {
	const relays = 3
	choices := 3*relays + 1
	total := 1
	for range depth {
		total *= choices
	}
	var e Explored
	for no := part; no < total; no += parts {
		e.Tried++
		busy := 0
		o := Options{Relays: relays, Voters: relays, Seed: 9, Lease: 2 * time.Second, Drift: 0.05, Delay: 500 * time.Microsecond, Acts: 10 * time.Millisecond}
		if shares {
			o.Kept, o.Acts, o.Serve = 0.25, 0, serve
			o.Needs = func(_ *World, r *Relay) []quota.Demand {
				n := quota.Demand{Key: 1, Rate: 2, Value: 1, Limit: 100}
				if r.No == busy {
					n.Rate = 90
				}
				return []quota.Demand{n}
			}
		}
		w := New(o)
		w.Await(10*time.Second, func() bool { return w.AllUnder(0) && w.formed() })
		w.Run(2100 * time.Millisecond)
		w.pending = make([][]func(), relays)
		busy = 1
		if shares {
			w.Run(needsEvery) // they say so
		}
		ticket := w.Propose(w.Relays[1], 0, `{"format":1}`)
		w.Run(5 * time.Millisecond)
		text := ""
		for k, rest := 0, no; k < depth; k, rest = k+1, rest/choices {
			c := rest % choices
			r := w.Relays[c%relays]
			switch c / relays {
			case 0:
				text += " arrives:" + r.Name
				due := w.pending[r.No]
				w.pending[r.No] = nil
				for _, arrive := range due {
					arrive()
				}
			case 1:
				text += " lost:" + r.Name
				w.pending[r.No] = nil
			case 2:
				text += " crash:" + r.Name
				w.Crash(r)
				w.Start(r)
			default:
				text += " time"
				w.Run(w.Lease / 2)
			}
			w.Run(3 * time.Millisecond)
		}
		w.pending = nil
		w.Run(8 * w.Lease)
		p, over := w.End(ticket)
		// The proposal itself may have been lost; one that was taken must end.
		stuck := !over && w.Relays[0].Node.Status().State.Change != nil || over && p.DropReason == "" && !w.AllUnder(p.Version) || !over && !w.AllUnder(0)
		if sum := 0.0; shares {
			for _, r := range w.Relays {
				sum += w.May(r, 1)
			}
			stuck = stuck || sum < 0.9
		}
		if b := checker.Judge(w.History, checker.Options{}); b != nil || stuck {
			e.Choice, e.Breach, e.Stuck = fmt.Sprintf("%d:%s", no, text), b, stuck
			return e
		}
	}
	return e
}
