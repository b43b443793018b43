package simulation

import (
	"testing"
	"testing/synctest"
	"time"
)

// unreachableSeeds are addresses at which no process listens.
var unreachableSeeds = []string{"10.9.0.1:8144", "10.9.0.2:8144", "10.9.0.3:8144"}

// TestStart_AllSeedsAreGone_MachinesMeetByTheirDisks checks that a start doesn't depend on the seeds of the settings alone: a
// machine's disk names the members of its groups, and a controller's disk names the stores too.
func TestStart_AllSeedsAreGone_MachinesMeetByTheirDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Given a fleet that has lost power, when the machines with a disk start with settings that name unreachable seeds,
		f, operator, _ := newFleet(t, Options{Seed: 11})
		if !f.waitUntil(startTimeout, func() bool { return f.completeShards() == 4 }) {
			t.Fatal("not all 4 shards have all their replicas")
		}
		for _, m := range f.machinesOf(coreClass, storageClass, edgeClass) {
			m.losePower(5)
		}
		seeds := f.setSeeds(unreachableSeeds)
		for _, m := range f.quorumMachines() {
			m.startAll()
		}
		f.setSeeds(seeds)
		// then they find one another: controllers accept an order, and replace the replicas of a store whose disk is lost.
		if status := operator.order(1, operator.next(2)); status != statusOK {
			t.Errorf("an order got status %d, want 200", status)
		}
		time.Sleep(catchUpTime)
		lost := f.machinesOf(storageClass)[0]
		lost.loseDisk(7)
		lost.startAll()
		if shards := 4; !f.waitUntil(15*time.Second, func() bool { return f.completeShards() == shards }) {
			t.Errorf("%d of %d shards have all their replicas", f.completeShards(), shards)
		}
		f.Close()
		for _, violation := range f.Violations() {
			t.Error(violation)
		}
	})
}

// setSeeds replaces the seeds in settings files that are written from now on, and returns the previous ones.
func (f *Fleet) setSeeds(seeds []string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	previous := f.seedAddresses
	f.seedAddresses = seeds
	return previous
}
