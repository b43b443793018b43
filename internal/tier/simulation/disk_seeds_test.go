package simulation

import (
	"testing"
	"testing/synctest"
	"time"
)

// unreachableSeeds are addresses at which nobody has ever listened.
var unreachableSeeds = []string{"10.9.0.1:8144", "10.9.0.2:8144", "10.9.0.3:8144"}

// A start must not depend on the seeds of the settings alone: the disks name the members of the machines' groups, and those of
// controllers the stores too.
func TestStart_AllSeedsAreGone_MachinesMeetByTheirDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Given a fleet that has lost power, when the machines with a disk start with settings that name seeds which are gone,
		f, orders, _ := newFleet(t, Options{Seed: 11})
		if !f.waitUntil(startTimeout, func() bool { return f.completeShards() == 4 }) {
			t.Fatal("the shards aren't complete")
		}
		for _, m := range f.machinesOf(coreClass, storageClass, edgeClass) {
			m.losePower(5)
		}
		seeds := f.setSeeds(unreachableSeeds)
		for _, m := range f.quorumMachines() {
			m.startAll()
		}
		f.setSeeds(seeds)
		// then they meet: controllers take an order, and replace a store whose disk is lost by what they know of the others.
		if status := orders.order(1, orders.next(2)); status != statusOK {
			t.Errorf("an order was answered %d", status)
		}
		time.Sleep(catchUp)
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

// setSeeds replaces the seeds of all settings that are written from now on, and returns the former ones.
func (f *Fleet) setSeeds(seeds []string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	former := f.seedAddresses
	f.seedAddresses = seeds
	return former
}
