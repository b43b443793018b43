package simulation

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	worlds    = flag.Int("worlds", 40, "number of random worlds")
	depth     = flag.Int("depth", 2, "length of the explored sequences")
	firstSeed = flag.Uint64("first", 1, "seed of the first random world")
)

const ms = time.Millisecond

// faultlessOptions returns the options of a world without faults.
func faultlessOptions(relays, voters int, seed uint64) Options {
	return Options{Relays: relays, Voters: voters, Seed: seed, Lease: 2 * time.Second, MaxClockDrift: 0.05, Delay: ms / 2, ActInterval: 5 * ms}
}

// TestChange_NoFaults_TakesEffect: without faults a fleet forms, and a change takes effect everywhere.
func TestChange_NoFaults_TakesEffect(t *testing.T) {
	world := New(faultlessOptions(5, 3, 1))
	if !world.Await(10*time.Second, func() bool { return world.AllActOn(0) }) {
		for _, r := range world.Relays {
			t.Logf("%s %+v %+v", r.Name, r.Mandate, r.Node.Status())
		}
		t.Fatal("not all relays act after 10s")
	}
	t.Log("all relays act after", world.Now())
	world.Run(3 * time.Second)
	at := world.Now()
	ticket := world.Propose(world.Relays[4], 0, `{"format":1}`)
	if !world.Await(10*time.Second, func() bool { return world.AllActOn(1) }) {
		for _, r := range world.Relays {
			t.Logf("%s %+v %+v", r.Name, r.Mandate, r.Node.Status())
		}
		t.Fatal("version 1 is not in force everywhere after 10s")
	}
	t.Log("in force after", world.Now()-at)
	if p, ok := world.Outcome(ticket); !ok || p.DropReason != "" {
		t.Fatal(p, ok)
	}
}

// TestRandom_SeededFaults_NoBreach: in spite of loss, partitions, pauses, crashes and restored disks, all relays stop acting under the old
// policy before any acts under the new one, all report the same outcomes, and changes take effect after the faults.
func TestRandom_SeededFaults_NoBreach(t *testing.T) {
	faults := map[string]int{}
	changes, inForce := 0, 0
	for seed := range uint64(*worlds) {
		r := Random(*firstSeed + seed)
		if r.Bad() {
			t.Fatal(r)
		}
		for k, n := range r.Faults {
			faults[k] += n
		}
		changes, inForce = changes+r.Changes, inForce+r.InForce
	}
	t.Logf("%d of %d changes in force; faults during changes: %v", inForce, changes, faults)
}

// TestExplore_EveryOrder_NoBreach: no sequence of deliveries, losses, crashes and passing time, up to a length, leads to a breach or a
// stuck change. Parts 0 to 3 have policies only, 4 to 7 also shared limits, 8 to 11 also partitioned relays that serve.
func TestExplore_EveryOrder_NoBreach(t *testing.T) {
	for part := range 12 {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			e := Explore(*depth, part%4, 4, part >= 4, part >= 8)
			if e.FailingSequence != "" {
				t.Fatalf("after%s: %v, stuck: %v", e.FailingSequence, e.Breach, e.Stuck)
			}
			t.Log(e.Sequences, "sequences")
		})
	}
}
