package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"mastusher/internal/relay/fleet/policy"
)

// phaseAt waits until a relay knows that the change has come so far.
func (w *World) phaseAt(r *Relay, p policy.Phase) bool {
	return w.Await(w.Lease*4, func() bool {
		if r.Node == nil {
			return false
		}
		ch := r.Node.Status().State.Change
		return ch != nil && ch.Phase >= p
	})
}

// Whoever handed the change in, and whoever leads, dies as soon as it knows of a step. The change ends the
// same everywhere, within a lease or two, and the dead come back under what is in force.
func TestChange_CrashAfterEachPhase_EndsTheSameEverywhere(t *testing.T) {
	for _, who := range []string{"proposer", "leader", "both"} {
		for _, p := range []policy.Phase{policy.None, policy.Proposed, policy.Checked, policy.Decided} {
			t.Run(fmt.Sprint(who, " ", p), func(t *testing.T) {
				o := calm(7, 3, uint64(p)+100)
				w := formedWorld(t, o)
				l, by := w.leader(t), w.Relays[5]
				ticket := w.Propose(by, 0, `{"format":1,"stamp":true}`)
				var dead []*Relay
				if who != "leader" {
					dead = append(dead, by)
				}
				if who != "proposer" {
					dead = append(dead, l)
				}
				if p == policy.None {
					w.Run(ms)
				} else if !w.phaseAt(dead[len(dead)-1], p) {
					t.Skip("the step is over before it is known there") // checked and decided come in one
				}
				for _, r := range dead {
					w.Crash(r)
				}
				w.Run(4 * o.Lease)
				end, over := w.Outcome(ticket)
				if p != policy.None && !over {
					t.Fatal("the change does not end")
				}
				for _, r := range dead {
					w.Start(r)
				}
				version := uint64(0)
				if over && end.DropReason == "" {
					version = end.Version
				}
				if !w.Await(10*o.Lease, func() bool { return w.AllActOn(version) }) {
					t.Fatalf("not all act under version %d", version)
				}
				judge(t, w)
			})
		}
	}
}

// A third of thirty relays is down during a change, and comes back in ten different orders.
func TestChange_ThirdOfRelaysDown_TakesEffect(t *testing.T) {
	for order := range uint64(10) {
		o := calm(30, 5, 200+order)
		o.ActInterval = 20 * ms
		w := formedWorld(t, o)
		down := append([]*Relay{}, w.Relays[20:]...)
		for _, r := range down {
			w.Crash(r)
		}
		ticket := w.Propose(w.Relays[7], 0, `{"format":1}`)
		if !w.Await(2*o.Lease, func() bool { _, ok := w.Outcome(ticket); return ok }) {
			t.Fatal("the change waits for the dead")
		}
		rng := rand.New(rand.NewPCG(order, 5))
		rng.Shuffle(len(down), func(i, j int) { down[i], down[j] = down[j], down[i] })
		for _, r := range down {
			w.Start(r)
			w.Run(o.Lease / 20)
		}
		if !w.Await(4*o.Lease, func() bool { return w.AllActOn(1) }) {
			t.Fatal("not all come round")
		}
		judge(t, w)
	}
}

// With alone = "serve" a relay that is cut off goes on under the old policy while others act on the new one, and
// comes round when it hears of that; one that starts cut off does not act at all.
func TestServeWhenPartitioned_RelayCutOff_KeepsOldPolicy(t *testing.T) {
	o := calm(5, 3, 300)
	o.ServeWhenPartitioned = true
	w := formedWorld(t, o)
	r := w.Relays[4]
	w.isolate(r)
	w.Run(3 * o.Lease)
	w.Propose(w.Relays[1], 0, `{"format":1}`)
	if !w.Await(3*o.Lease, func() bool { return w.Relays[1].Mandate.Version == 1 }) {
		t.Fatal("the change waits for ever")
	}
	if !r.Node.Status().MayAct || r.Mandate.Version != 0 {
		t.Errorf("the one cut off: %+v", r.Mandate)
	}
	w.Crash(r)
	w.Start(r)
	w.Run(3 * o.Lease)
	if r.Node.Status().MayAct {
		t.Error("a relay acts that has heard of no policy in this life")
	}
	w.Heal()
	if !w.Await(4*o.Lease, func() bool { return w.AllActOn(1) }) {
		t.Error("it does not come round")
	}
}

// A voter whose disk takes nothing more has no say, and says so; the others go on without it, it follows, and a
// restart with room brings it back. The leader is tried too.
func TestVoter_DiskFull_LosesItsVote(t *testing.T) {
	for _, lead := range []bool{false, true} {
		o := calm(5, 3, 400)
		w := formedWorld(t, o)
		r := w.leader(t)
		if !lead {
			r = w.Relays[(r.Index+1)%3]
		}
		r.DiskFull = true
		for v := range uint64(3) {
			w.Propose(w.Relays[4], v, `{"format":1,"stamp":true}`)
			if !w.Await(8*o.Lease, func() bool { return w.AllActOn(v + 1) }) {
				w.Propose(w.Relays[4], v, `{"format":1,"stamp":true}`) // lost with the leader
				if !w.Await(8*o.Lease, func() bool { return w.AllActOn(v + 1) }) {
					t.Fatalf("leader %v: change %d does not take hold", lead, v+1)
				}
			}
		}
		if st := r.Node.Status(); !strings.Contains(st.Voter, "no space left") || !st.MayAct {
			t.Errorf("leader %v: it says %q, and acts: %v", lead, st.Voter, st.MayAct)
		}
		w.Crash(r)
		r.DiskFull = false
		w.Start(r)
		if !w.Await(10*o.Lease, func() bool { return w.AllActOn(3) && r.Node.Status().Voter == "votes" }) {
			t.Errorf("leader %v: it does not come back: %+v", lead, r.Node.Status())
		}
		judge(t, w)
	}
}
