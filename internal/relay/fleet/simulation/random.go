package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/policy"
)

// Result is how a random world fared.
type Result struct {
	Seed    uint64
	Breach  *checker.BreachError
	Stuck   string // what did not come about although all was well again
	History []checker.Entry
	Faults  map[string]int // that struck while a change was under way
	Changes int            // handed in
	Held    int            // of them in force
}

// Bad tells whether something is wrong.
func (r *Result) Bad() bool { return r.Breach != nil || r.Stuck != "" }

func (r *Result) String() string {
	switch {
	case r.Breach != nil:
		return fmt.Sprintf("seed %d: %v", r.Seed, r.Breach)
	case r.Stuck != "":
		return fmt.Sprintf("seed %d: %s", r.Seed, r.Stuck)
	}
	return fmt.Sprintf("seed %d: good, %d of %d changes in force", r.Seed, r.Held, r.Changes)
}

// Random plays a world drawn from a seed: changes, and faults that gather around their steps.
func Random(seed uint64) *Result {
	d := rand.New(rand.NewPCG(seed, 2))
	o := Options{Relays: 3 + d.IntN(7), Seed: seed, Lease: 2 * time.Second, Drift: 0.05, Delay: time.Duration(200+d.IntN(3000)) * time.Microsecond,
		Acts: 7 * time.Millisecond}
	if o.Voters = 3; o.Relays >= 5 && d.IntN(2) == 0 {
		o.Voters = 5
	}
	if d.IntN(2) == 0 {
		o.Loss, o.Twice = d.Float64()*0.35, d.Float64()*0.1
	}
	if d.IntN(3) == 0 { // one that is restarted with a program that can't apply what it said it could
		odd := fmt.Sprintf("r%d", d.IntN(o.Relays))
		o.Applies = func(relay string, life int, doc []byte) error {
			if relay == odd && life%2 == 0 && policy.Digest(doc)%3 == 0 {
				return fmt.Errorf("can't")
			}
			return nil
		}
	}
	if seed%4 == 0 {
		o.Apart = 3 * time.Hour
	}
	w := New(o)
	r := &Result{Seed: seed, Faults: w.Faults}
	w.Run(3 * time.Second)
	pick := func() *Relay { return w.Relays[d.IntN(len(w.Relays))] }
	version := func() uint64 {
		v := uint64(0)
		for _, x := range w.Relays {
			if x.Node != nil {
				v = max(v, x.Node.Status().State.Version)
			}
		}
		return v
	}
	type proposal struct {
		ticket uint64
		base   uint64
		at     time.Duration
	}
	var all []proposal
	copies := map[*Relay]func(){}
	wiped := 0
	for round := range 3 + d.IntN(4) {
		p := proposal{base: version(), at: w.Now}
		p.ticket = w.Propose(pick(), p.base, fmt.Sprintf(`{"format":1,"partners":{"%d":{"shut":true}}}`, round))
		all = append(all, p)
		if d.IntN(4) == 0 { // another at once, at another relay
			q := proposal{base: p.base, at: w.Now}
			q.ticket = w.Propose(pick(), q.base, `{"format":1,"stamp":true}`)
			all = append(all, q)
		}
		if d.IntN(3) == 0 {
			x := pick()
			copies[x] = w.Copy(x)
		}
		for range d.IntN(5) {
			// Most within milliseconds of a step, some within a lease.
			span := int64(30 * time.Millisecond)
			if d.IntN(3) == 0 {
				span = int64(o.Lease)
			}
			w.Run(time.Duration(d.Int64N(span)))
			x := pick()
			if d.IntN(2) == 0 { // one that leads, if any does
				for _, y := range w.Relays {
					if y.Node != nil && y.Node.Status().Voter == "leads" {
						x = y
					}
				}
			}
			switch d.IntN(9) {
			case 0, 1:
				w.CrashIn(x, d.IntN(12))
			case 2:
				w.Crash(x)
			case 3, 4:
				w.Stop(x, time.Duration(d.Int64N(int64(3*o.Lease))))
			case 5:
				for _, y := range w.Relays { // alone, in one direction or both
					if y != x {
						way := d.IntN(3)
						if way != 0 {
							w.Cut(x, y, true)
						}
						if way != 1 {
							w.Cut(y, x, true)
						}
					}
				}
			case 6:
				for i := range w.Relays { // two parts
					for j := range w.Relays {
						if (i < len(w.Relays)/2) != (j < len(w.Relays)/2) {
							w.Cut(w.Relays[i], w.Relays[j], true)
						}
					}
				}
			case 7:
				w.Heal()
			case 8:
				y := pick()
				w.Cut(x, y, true)
			}
		}
		w.Run(time.Duration(d.Int64N(int64(2 * o.Lease))))
		for _, x := range w.Relays {
			if x.Node != nil || d.IntN(3) == 0 {
				continue
			}
			// At most one voter loses what it promised, in one way or the other: more would be a majority's loss.
			if wiped == 0 && d.IntN(3) == 0 && w.formed() {
				wiped++
				if back := copies[x]; back != nil && w.voters() == w.Voters-1 {
					// An older folder is found out where the others are there to tell: see the design note.
					w.Heal()
					back()
					w.Start(x)
					w.Run(200 * time.Millisecond)
					continue
				}
				w.Wipe(x)
			}
			w.Start(x)
		}
	}
	// All is well again: now everybody must come round, and a change must take hold.
	w.Heal()
	w.Loss, w.Twice = 0, 0
	w.Applies = nil
	for _, x := range w.Relays {
		if x.crashIn = -1; x.Node == nil {
			w.Start(x)
		}
	}
	w.Run(o.Lease)
	final := proposal{at: w.Now - o.Lease}
	ok := w.Await(60*o.Lease, func() bool {
		if final.ticket == 0 && w.Now-final.at > 200*time.Millisecond || w.Now-final.at > 10*o.Lease {
			final = proposal{base: version(), at: w.Now}
			final.ticket = w.Propose(w.Relays[0], final.base, `{"format":1}`)
			all = append(all, final)
		}
		p, done := w.End(final.ticket)
		if done && p.DropReason != "" { // another was still under way
			final.ticket = 0
		}
		return done && p.DropReason == "" && w.AllUnder(p.Version)
	})
	if !ok {
		r.Stuck = "all is well again, and no change takes hold"
		for _, x := range w.Relays {
			st := x.Node.Status()
			r.Stuck += fmt.Sprintf("\n%s acts %v (%s), %s, leader %q, epoch %d, index %d, version %d, change %+v, progress %+v", x.Name, st.MayAct, st.WhyNot,
				st.Voter, st.Leader, st.State.Epoch, st.State.Index, st.State.Version, st.State.Change, st.Progress)
		}
	}
	for _, p := range all {
		e := checker.Entry{At: p.at, Until: w.Now, Kind: checker.Proposed, Base: p.base}
		if end, done := w.End(p.ticket); done && end.DropReason == "" {
			e.Version = end.Version
			r.Held++
		}
		w.History = append(w.History, e)
	}
	r.Changes, r.History = len(all), w.History
	r.Breach = checker.Judge(w.History, checker.Options{})
	return r
}

// voters is how many voters run.
func (w *World) voters() (n int) {
	for _, r := range w.Relays[:w.Voters] {
		if r.Node != nil && !r.Slow {
			n++
		}
	}
	return n
}

// formed tells whether all who should have a say have one: before that, one loss may be that of a majority.
func (w *World) formed() bool {
	for _, r := range w.Relays {
		if r.Node != nil && r.Node.Voters() == w.Voters {
			return true
		}
	}
	return false
}
