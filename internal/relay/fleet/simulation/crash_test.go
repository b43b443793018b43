package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"mastusher/internal/relay/fleet/policy"
)

// awaitPhase waits up to four leases until a relay knows that the change is in a phase or a later one, and reports whether it does.
func (w *World) awaitPhase(r *Relay, p policy.Phase) bool {
	return w.Await(w.Lease*4, func() bool {
		if r.Node == nil {
			return false
		}
		ch := r.Node.Status().State.Change
		return ch != nil && ch.Phase >= p
	})
}

// TestChange_CrashAfterEachPhase_EndsTheSameEverywhere: the relay at which a change was proposed, the leader, or both crash as soon as they
// know of a phase. The change has the same outcome everywhere within four leases, and the crashed relays act under the version in force
// after a restart.
func TestChange_CrashAfterEachPhase_EndsTheSameEverywhere(t *testing.T) {
	for _, target := range []string{"proposer", "leader", "both"} {
		for _, p := range []policy.Phase{policy.None, policy.Proposed, policy.Checked, policy.Decided} {
			t.Run(fmt.Sprint(target, " ", p), func(t *testing.T) {
				options := faultlessOptions(7, 3, uint64(p)+100)
				world := formedWorld(t, options)
				leaderRelay, proposer := world.leader(t), world.Relays[5]
				ticket := world.Propose(proposer, 0, `{"format":1,"stamp":true}`)
				var crashed []*Relay
				if target != "leader" {
					crashed = append(crashed, proposer)
				}
				if target != "proposer" {
					crashed = append(crashed, leaderRelay)
				}
				if p == policy.None {
					world.Run(ms)
				} else if !world.awaitPhase(crashed[len(crashed)-1], p) {
					t.Skip("the phase ended before the relay knew it") // the phases checked and decided may be committed together
				}
				for _, r := range crashed {
					world.Crash(r)
				}
				world.Run(4 * options.Lease)
				end, over := world.Outcome(ticket)
				if p != policy.None && !over {
					t.Fatal("the change has no outcome after 4 leases")
				}
				for _, r := range crashed {
					world.Start(r)
				}
				version := uint64(0)
				if over && end.DropReason == "" {
					version = end.Version
				}
				if !world.Await(10*options.Lease, func() bool { return world.AllActOn(version) }) {
					t.Fatalf("not all relays act under version %d after 10 leases", version)
				}
				requireNoBreach(t, world)
			})
		}
	}
}

// TestChange_ThirdOfRelaysDown_TakesEffect: a change takes effect while a third of thirty relays is down, and these adopt it after restarts
// in ten different orders.
func TestChange_ThirdOfRelaysDown_TakesEffect(t *testing.T) {
	for order := range uint64(10) {
		options := faultlessOptions(30, 5, 200+order)
		options.ActInterval = 20 * ms
		world := formedWorld(t, options)
		down := append([]*Relay{}, world.Relays[20:]...)
		for _, r := range down {
			world.Crash(r)
		}
		ticket := world.Propose(world.Relays[7], 0, `{"format":1}`)
		if !world.Await(2*options.Lease, func() bool { _, ok := world.Outcome(ticket); return ok }) {
			t.Fatal("the change has no outcome after 2 leases with crashed relays")
		}
		rng := rand.New(rand.NewPCG(order, 5))
		rng.Shuffle(len(down), func(i, j int) { down[i], down[j] = down[j], down[i] })
		for _, r := range down {
			world.Start(r)
			world.Run(options.Lease / 20)
		}
		if !world.Await(4*options.Lease, func() bool { return world.AllActOn(1) }) {
			t.Fatal("not all relays act under version 1 after the restarts")
		}
		requireNoBreach(t, world)
	}
}

// TestServeWhenPartitioned_PartitionedRelay_KeepsOldPolicy: with ServeWhenPartitioned a partitioned relay continues under the old policy
// while others act under the new one, and adopts that after the partition. After a restart during the partition it does not act.
func TestServeWhenPartitioned_PartitionedRelay_KeepsOldPolicy(t *testing.T) {
	options := faultlessOptions(5, 3, 300)
	options.ServeWhenPartitioned = true
	world := formedWorld(t, options)
	r := world.Relays[4]
	world.isolate(r)
	world.Run(3 * options.Lease)
	world.Propose(world.Relays[1], 0, `{"format":1}`)
	if !world.Await(3*options.Lease, func() bool { return world.Relays[1].Mandate.Version == 1 }) {
		t.Fatal("the change does not take effect within 3 leases")
	}
	if !r.Node.Status().MayAct || r.Mandate.Version != 0 {
		t.Errorf("the partitioned relay has mandate %+v, want one to act under version 0", r.Mandate)
	}
	world.Crash(r)
	world.Start(r)
	world.Run(3 * options.Lease)
	if r.Node.Status().MayAct {
		t.Error("a relay acts that knows no policy in this incarnation")
	}
	world.Heal()
	if !world.Await(4*options.Lease, func() bool { return world.AllActOn(1) }) {
		t.Error("not all relays act under version 1 after the partition")
	}
}

// TestVoter_DiskFull_LosesItsVote: a voter whose disk is full stops voting and reports that. The fleet continues without its vote, the
// relay still adopts changes, and it votes again after a restart with space on its disk. The same holds for the leader.
func TestVoter_DiskFull_LosesItsVote(t *testing.T) {
	for _, lead := range []bool{false, true} {
		options := faultlessOptions(5, 3, 400)
		world := formedWorld(t, options)
		r := world.leader(t)
		if !lead {
			r = world.Relays[(r.Index+1)%3]
		}
		r.DiskFull = true
		for v := range uint64(3) {
			world.Propose(world.Relays[4], v, `{"format":1,"stamp":true}`)
			if !world.Await(8*options.Lease, func() bool { return world.AllActOn(v + 1) }) {
				world.Propose(world.Relays[4], v, `{"format":1,"stamp":true}`) // the first proposal was lost with the leader
				if !world.Await(8*options.Lease, func() bool { return world.AllActOn(v + 1) }) {
					t.Fatalf("leader %v: change %d does not take effect", lead, v+1)
				}
			}
		}
		if st := r.Node.Status(); !strings.Contains(st.Voter, "no space left") || !st.MayAct {
			t.Errorf("leader %v: voter status %q, may act %v; want no space left, and true", lead, st.Voter, st.MayAct)
		}
		world.Crash(r)
		r.DiskFull = false
		world.Start(r)
		if !world.Await(10*options.Lease, func() bool { return world.AllActOn(3) && r.Node.Status().Voter == "votes" }) {
			t.Errorf("leader %v: after the restart it does not vote: %+v", lead, r.Node.Status())
		}
		requireNoBreach(t, world)
	}
}
