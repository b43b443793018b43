package simulation

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	worlds = flag.Int("worlds", 40, "random worlds")
	depth  = flag.Int("depth", 2, "choices of an exploration")
	first  = flag.Uint64("first", 1, "seed of the first")
)

const ms = time.Millisecond

// calm are the options of a world without faults.
func calm(relays, voters int, seed uint64) Options {
	return Options{Relays: relays, Voters: voters, Seed: seed, Lease: 2 * time.Second, MaxClockDrift: 0.05, Delay: ms / 2, ActInterval: 5 * ms}
}

// TestChange_NoFaults_TakesEffect: without faults a fleet forms, and a change takes effect everywhere.
func TestChange_NoFaults_TakesEffect(t *testing.T) {
	world := New(calm(5, 3, 1))
	if !world.Await(10*time.Second, func() bool { return world.AllActOn(0) }) {
		for _, r := range world.Relays {
			t.Logf("%s %+v %+v", r.Name, r.Mandate, r.Node.Status())
		}
		t.Fatal("they don't act")
	}
	t.Log("act after", world.Now())
	world.Run(3 * time.Second)
	at := world.Now()
	ticket := world.Propose(world.Relays[4], 0, `{"format":1}`)
	if !world.Await(10*time.Second, func() bool { return world.AllActOn(1) }) {
		for _, r := range world.Relays {
			t.Logf("%s %+v %+v", r.Name, r.Mandate, r.Node.Status())
		}
		t.Fatal("not in force")
	}
	t.Log("in force after", world.Now()-at)
	if p, ok := world.Outcome(ticket); !ok || p.DropReason != "" {
		t.Fatal(p, ok)
	}
}

// TestRandom_SeededFaults_NoBreach: whatever is lost, partitioned, stopped, crashed and restored, all relays stop under the old policy
// before any acts on the new one, all report the same, and once all faults are over changes take effect.
func TestRandom_SeededFaults_NoBreach(t *testing.T) {
	struck := map[string]int{}
	changes, inForce := 0, 0
	for seed := range uint64(*worlds) {
		r := Random(*first + seed)
		if r.Bad() {
			t.Fatal(r)
		}
		for k, n := range r.Faults {
			struck[k] += n
		}
		changes, inForce = changes+r.Changes, inForce+r.InForce
	}
	t.Logf("%d of %d changes in force; faults that struck during one: %v", inForce, changes, struck)
}

// TestExplore_EveryOrder_NoBreach: deliveries, losses, crashes and time in every order, to a depth; with policies alone, and with shared
// limits, where partitioned relays refuse and where they serve.
func TestExplore_EveryOrder_NoBreach(t *testing.T) {
	for part := range 12 {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			e := Explore(*depth, part%4, 4, part >= 4, part >= 8)
			if e.FailingSequence != "" {
				t.Fatalf("after%s: %v, stuck: %v", e.FailingSequence, e.Breach, e.Stuck)
			}
			t.Log(e.Sequences, "orders")
		})
	}
}
