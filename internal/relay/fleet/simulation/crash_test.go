package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"mastusher/internal/relay/fleet/policy"
)

// phaseAt waits until a relay knows that the change is in a phase or a later one; false: it does not within four leases.
func (w *World) phaseAt(r *Relay, p policy.Phase) bool {
	return w.Await(w.Lease*4, func() bool {
		if r.Node == nil {
			return false
		}
		ch := r.Node.Status().State.Change
		return ch != nil && ch.Phase >= p
	})
}

// TestChange_CrashAfterEachPhase_EndsTheSameEverywhere: the relay at which a change was proposed, the leader, or both crash as soon as
// they know of a phase. The change ends the same everywhere, within a lease or two, and the crashed relays act on what is in force once
// they are restarted.
func TestChange_CrashAfterEachPhase_EndsTheSameEverywhere(t *testing.T) {
	for _, who := range []string{"proposer", "leader", "both"} {
		for _, p := range []policy.Phase{policy.None, policy.Proposed, policy.Checked, policy.Decided} {
			t.Run(fmt.Sprint(who, " ", p), func(t *testing.T) {
				options := calm(7, 3, uint64(p)+100)
				world := formedWorld(t, options)
				l, by := world.leader(t), world.Relays[5]
				ticket := world.Propose(by, 0, `{"format":1,"stamp":true}`)
				var dead []*Relay
				if who != "leader" {
					dead = append(dead, by)
				}
				if who != "proposer" {
					dead = append(dead, l)
				}
				if p == policy.None {
					world.Run(ms)
				} else if !world.phaseAt(dead[len(dead)-1], p) {
					t.Skip("the step is over before it is known there") // checked and decided come in one
				}
				for _, r := range dead {
					world.Crash(r)
				}
				world.Run(4 * options.Lease)
				end, over := world.Outcome(ticket)
				if p != policy.None && !over {
					t.Fatal("the change does not end")
				}
				for _, r := range dead {
					world.Start(r)
				}
				version := uint64(0)
				if over && end.DropReason == "" {
					version = end.Version
				}
				if !world.Await(10*options.Lease, func() bool { return world.AllActOn(version) }) {
					t.Fatalf("not all act under version %d", version)
				}
				judge(t, world)
			})
		}
	}
}

// TestChange_ThirdOfRelaysDown_TakesEffect: a third of thirty relays is down during a change, and is restarted in ten different orders.
func TestChange_ThirdOfRelaysDown_TakesEffect(t *testing.T) {
	for order := range uint64(10) {
		options := calm(30, 5, 200+order)
		options.ActInterval = 20 * ms
		world := formedWorld(t, options)
		down := append([]*Relay{}, world.Relays[20:]...)
		for _, r := range down {
			world.Crash(r)
		}
		ticket := world.Propose(world.Relays[7], 0, `{"format":1}`)
		if !world.Await(2*options.Lease, func() bool { _, ok := world.Outcome(ticket); return ok }) {
			t.Fatal("the change waits for crashed relays")
		}
		rng := rand.New(rand.NewPCG(order, 5))
		rng.Shuffle(len(down), func(i, j int) { down[i], down[j] = down[j], down[i] })
		for _, r := range down {
			world.Start(r)
			world.Run(options.Lease / 20)
		}
		if !world.Await(4*options.Lease, func() bool { return world.AllActOn(1) }) {
			t.Fatal("not all adopt the new policy")
		}
		judge(t, world)
	}
}

// TestServeWhenPartitioned_PartitionedRelay_KeepsOldPolicy: with ServeWhenPartitioned a partitioned relay goes on under the old policy while
// others act on the new one, and adopts that when it hears of it; one that is restarted while it is partitioned does not act at all.
func TestServeWhenPartitioned_PartitionedRelay_KeepsOldPolicy(t *testing.T) {
	options := calm(5, 3, 300)
	options.ServeWhenPartitioned = true
	world := formedWorld(t, options)
	r := world.Relays[4]
	world.isolate(r)
	world.Run(3 * options.Lease)
	world.Propose(world.Relays[1], 0, `{"format":1}`)
	if !world.Await(3*options.Lease, func() bool { return world.Relays[1].Mandate.Version == 1 }) {
		t.Fatal("the change waits for ever")
	}
	if !r.Node.Status().MayAct || r.Mandate.Version != 0 {
		t.Errorf("the partitioned one: %+v", r.Mandate)
	}
	world.Crash(r)
	world.Start(r)
	world.Run(3 * options.Lease)
	if r.Node.Status().MayAct {
		t.Error("a relay acts that has heard of no policy in this incarnation")
	}
	world.Heal()
	if !world.Await(4*options.Lease, func() bool { return world.AllActOn(1) }) {
		t.Error("it does not adopt the new policy")
	}
}

// TestVoter_DiskFull_LosesItsVote: a voter whose disk refuses writes stops voting, and says so; the others go on without it, it follows,
// and a restart with space on its disk brings it back. The leader is tested too.
func TestVoter_DiskFull_LosesItsVote(t *testing.T) {
	for _, lead := range []bool{false, true} {
		options := calm(5, 3, 400)
		world := formedWorld(t, options)
		r := world.leader(t)
		if !lead {
			r = world.Relays[(r.Index+1)%3]
		}
		r.DiskFull = true
		for v := range uint64(3) {
			world.Propose(world.Relays[4], v, `{"format":1,"stamp":true}`)
			if !world.Await(8*options.Lease, func() bool { return world.AllActOn(v + 1) }) {
				world.Propose(world.Relays[4], v, `{"format":1,"stamp":true}`) // lost with the leader
				if !world.Await(8*options.Lease, func() bool { return world.AllActOn(v + 1) }) {
					t.Fatalf("leader %v: change %d does not take hold", lead, v+1)
				}
			}
		}
		if st := r.Node.Status(); !strings.Contains(st.Voter, "no space left") || !st.MayAct {
			t.Errorf("leader %v: it says %q, and acts: %v", lead, st.Voter, st.MayAct)
		}
		world.Crash(r)
		r.DiskFull = false
		world.Start(r)
		if !world.Await(10*options.Lease, func() bool { return world.AllActOn(3) && r.Node.Status().Voter == "votes" }) {
			t.Errorf("leader %v: it does not come back: %+v", lead, r.Node.Status())
		}
		judge(t, world)
	}
}
