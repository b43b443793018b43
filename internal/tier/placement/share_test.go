package placement_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/view"
)

// loads counts the replicas of each store that runs, by identity.
func loads(shards []view.ShardPlacement, stores []placement.Store) map[string]int {
	load := map[string]int{}
	for _, store := range stores {
		load[store.ID] = 0
	}
	for _, shard := range shards {
		for _, r := range shard.Replicas {
			load[r.ID]++
		}
	}
	return load
}

// checkShare checks that no store holds more than its share, rounded up, and that no zone holds a majority of a shard's
// replicas where that can be had.
func checkShare(t rapid.TB, shards []view.ShardPlacement, stores []placement.Store, copies int) {
	t.Helper()
	share := (len(shards)*copies + len(stores) - 1) / len(stores)
	for id, count := range loads(shards, stores) {
		if count > share {
			t.Errorf("store %s holds %d of %d replicas, its share is %d", id, count, len(shards)*copies, share)
		}
	}
	maxInZone := (copies - 1) / 2
	for number, shard := range shards {
		inZone := map[string]int{}
		for _, r := range shard.Replicas {
			inZone[r.Zone]++
			if inZone[r.Zone] > max(maxInZone, 1) {
				t.Errorf("shard %d: %d of %d replicas are in %s", number, inZone[r.Zone], copies, r.Zone)
			}
		}
	}
}

// inZones are stores in zones of the given sizes.
func inZones(sizes ...int) []placement.Store {
	var stores []placement.Store
	for zone, size := range sizes {
		for range size {
			stores = append(stores, machine(len(stores), fmt.Sprint("zone-", zone), 1))
		}
	}
	return stores
}

func TestNext_NoStoreAboveItsShare(t *testing.T) {
	for _, c := range []struct {
		name   string
		sizes  []int
		copies int
	}{
		{"four zones of one", []int{1, 1, 1, 1}, 3},
		{"zones of three and two", []int{3, 2, 2, 2}, 5},
		{"two zones of one", []int{2, 2, 2, 1, 1}, 5},
		{"one small zone of four", []int{6, 6, 6, 2}, 5},
		{"zones of many", []int{7, 6, 6, 6}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Given stores in zones of different sizes, when their shards are placed for the first time, then
			stores := inZones(c.sizes...)
			checkShare(t, placement.Initial(stores, placement.Policy{Replicas: c.copies}), stores, c.copies)
		})
	}
}

func TestNext_LostStore_ReplicasGoToLeastLoaded(t *testing.T) {
	// Given stores of which the one that is alone in its zone is lost for good, and another one in its place
	stores := inZones(2, 2, 2, 1, 1)
	shards := placement.Initial(stores, placement.Policy{Replicas: 5})
	lost := stores[7]
	newcomer := machine(8, lost.Zone, 1)
	running := append(append([]placement.Store(nil), stores[:7]...), newcomer)
	now := placement.Inputs{Stores: running, Lost: map[string]bool{lost.ID: true}, Policy: placement.Policy{Replicas: 5}}
	// when all its replicas have moved
	for range 10 {
		next, changed := placement.Next(shards, now)
		if !changed {
			break
		}
		shards = next
	}
	// then the newcomer has its share, and no more.
	checkShare(t, shards, running, 5)
}

// TestInitial_AnyZones_BalancedShares places shards over stores in zones of any sizes. Where the capacity allows it, no store holds more than one
// replica above its share, and no zone more of a shard than it may.
func TestInitial_AnyZones_BalancedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		copies := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "copies")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 6), 1, 8).Draw(t, "sizes")
		stores := inZones(sizes...)
		shards := placement.Initial(stores, placement.Policy{Replicas: copies})
		if shards == nil || !hasCapacity(sizes, copies, len(shards)) {
			return
		}
		share := (len(shards)*copies + len(stores) - 1) / len(stores)
		for id, count := range loads(shards, stores) {
			if count > share+1 {
				t.Errorf("store %s holds %d replicas, its share is %d", id, count, share)
			}
		}
		checkSpread(t, shards, copies)
	})
}

// hasCapacity tells whether the zones can hold so many shards, with no more than its share on each store.
func hasCapacity(sizes []int, copies, shards int) bool {
	stores := 0
	for _, size := range sizes {
		stores += size
	}
	share := (shards*copies + stores - 1) / stores
	capacity, perShard := 0, 0
	for _, size := range sizes {
		maxInZone := min(size, max(1, (copies-1)/2))
		perShard += maxInZone
		capacity += min(size*share, shards*maxInZone)
	}
	return capacity >= shards*copies && perShard >= copies
}

// checkSpread checks that no zone holds more of a shard than a majority can do without.
func checkSpread(t rapid.TB, shards []view.ShardPlacement, copies int) {
	t.Helper()
	for number, shard := range shards {
		inZone := map[string]int{}
		nodes := map[string]bool{}
		for _, r := range shard.Replicas {
			inZone[r.Zone]++
			nodes[r.Node] = true
		}
		for zone, count := range inZone {
			if count > max(1, (copies-1)/2) {
				t.Errorf("shard %d: %d of %d replicas are in %s", number, count, copies, zone)
			}
		}
		if len(nodes) != copies {
			t.Errorf("shard %d is on %d machines, want %d", number, len(nodes), copies)
		}
	}
}

// TestNext_AnyZones_Converges loses and adds stores in any order.
func TestNext_AnyZones_Converges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		copies := rapid.SampledFrom([]int{3, 5}).Draw(t, "copies")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 4), 3, 6).Draw(t, "sizes")
		stores := inZones(sizes...)
		shards := placement.Initial(stores, placement.Policy{Replicas: copies})
		if shards == nil {
			return
		}
		lost := map[string]bool{}
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			removed := rapid.IntRange(0, len(stores)-1).Draw(t, "removed")
			lost[stores[removed].ID] = true
			if rapid.Bool().Draw(t, "comes back empty") {
				stores[removed].ID = fmt.Sprint("anew-", step, "-", stores[removed].ID)
			} else {
				stores = append(append([]placement.Store(nil), stores[:removed]...), stores[removed+1:]...)
			}
			if len(stores) < copies {
				return
			}
			changes := 0
			for changed := true; changed; changes++ {
				if changes > copies {
					t.Fatalf("not at rest after %d changes", changes)
				}
				shards, changed = placement.Next(shards, placement.Inputs{Stores: stores, Lost: lost, Policy: placement.Policy{Replicas: copies}})
			}
		}
		for number, shard := range shards {
			nodes := map[string]bool{}
			for _, r := range shard.Replicas {
				nodes[r.Node] = true
				if lost[r.ID] {
					t.Errorf("shard %d is still on lost store %s", number, r.ID)
				}
			}
			if len(nodes) != copies {
				t.Errorf("shard %d is on %d machines, want %d", number, len(nodes), copies)
			}
		}
	})
}
