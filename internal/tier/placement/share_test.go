package placement_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/view"
)

// loads returns the number of replicas of each running store, by identity.
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

// checkShare checks that no store holds more than its equal share of all replicas, rounded up, and that no zone holds a majority of
// a shard's replicas.
func checkShare(t rapid.TB, shards []view.ShardPlacement, stores []placement.Store, replicas int) {
	t.Helper()
	share := (len(shards)*replicas + len(stores) - 1) / len(stores)
	for id, count := range loads(shards, stores) {
		if count > share {
			t.Errorf("store %s holds %d of %d replicas, want at most %d", id, count, len(shards)*replicas, share)
		}
	}
	maxInZone := (replicas - 1) / 2
	for number, shard := range shards {
		inZone := map[string]int{}
		for _, r := range shard.Replicas {
			inZone[r.Zone]++
			if inZone[r.Zone] > max(maxInZone, 1) {
				t.Errorf("shard %d: %d of %d replicas are in %s", number, inZone[r.Zone], replicas, r.Zone)
			}
		}
	}
}

// storesInZones returns stores in zones with the given numbers of stores.
func storesInZones(sizes ...int) []placement.Store {
	var stores []placement.Store
	for zone, size := range sizes {
		for range size {
			stores = append(stores, newStore(len(stores), fmt.Sprint("zone-", zone), 1))
		}
	}
	return stores
}

func TestNext_NoStoreAboveItsShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		sizes    []int
		replicas int
	}{
		{"four zones of one store", []int{1, 1, 1, 1}, 3},
		{"zones of three and two", []int{3, 2, 2, 2}, 5},
		{"two zones of one store and three of two", []int{2, 2, 2, 1, 1}, 5},
		{"four zones, one of them small", []int{6, 6, 6, 2}, 5},
		{"large zones", []int{7, 6, 6, 6}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Given stores in zones of different sizes, when the first placement is made, then no store exceeds its share.
			stores := storesInZones(c.sizes...)
			checkShare(t, placement.Initial(stores, placement.Policy{Replicas: c.replicas}), stores, c.replicas)
		})
	}
}

func TestNext_LostStore_ReplicasGoToLeastLoaded(t *testing.T) {
	// Given stores of which one that is alone in its zone is permanently lost, and a new one in the same zone,
	stores := storesInZones(2, 2, 2, 1, 1)
	shards := placement.Initial(stores, placement.Policy{Replicas: 5})
	lost := stores[7]
	newcomer := newStore(8, lost.Zone, 1)
	running := append(append([]placement.Store(nil), stores[:7]...), newcomer)
	inputs := placement.Inputs{Stores: running, Lost: map[string]bool{lost.ID: true}, Policy: placement.Policy{Replicas: 5}}
	// when all replicas of the lost store have been replaced,
	for range 10 {
		next, changed := placement.Next(shards, inputs)
		if !changed {
			break
		}
		shards = next
	}
	// then no store, and so not the new one, has more than its share.
	checkShare(t, shards, running, 5)
}

// TestInitial_AnyZones_BalancedShares checks the first placement over stores in zones of any sizes. If the capacity of the zones
// suffices, no store holds more than one replica above its share, and no zone more of a shard's replicas than its limit.
func TestInitial_AnyZones_BalancedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "replicas")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 6), 1, 8).Draw(t, "sizes")
		stores := storesInZones(sizes...)
		shards := placement.Initial(stores, placement.Policy{Replicas: replicas})
		if shards == nil || !hasCapacity(sizes, replicas, len(shards)) {
			return
		}
		share := (len(shards)*replicas + len(stores) - 1) / len(stores)
		for id, count := range loads(shards, stores) {
			if count > share+1 {
				t.Errorf("store %s holds %d replicas, want at most one above its share of %d", id, count, share)
			}
		}
		checkSpread(t, shards, replicas)
	})
}

// hasCapacity reports whether the zones can hold that many shards with no store above its share.
func hasCapacity(sizes []int, replicas, shards int) bool {
	stores := 0
	for _, size := range sizes {
		stores += size
	}
	share := (shards*replicas + stores - 1) / stores
	capacity, perShard := 0, 0
	for _, size := range sizes {
		maxInZone := min(size, max(1, (replicas-1)/2))
		perShard += maxInZone
		capacity += min(size*share, shards*maxInZone)
	}
	return capacity >= shards*replicas && perShard >= replicas
}

// checkSpread checks that each shard's replicas are on different machines, and that a majority remains without any one zone.
func checkSpread(t rapid.TB, shards []view.ShardPlacement, replicas int) {
	t.Helper()
	for number, shard := range shards {
		inZone := map[string]int{}
		nodes := map[string]bool{}
		for _, r := range shard.Replicas {
			inZone[r.Zone]++
			nodes[r.Node] = true
		}
		for zone, count := range inZone {
			if count > max(1, (replicas-1)/2) {
				t.Errorf("shard %d: %d of %d replicas are in %s", number, count, replicas, zone)
			}
		}
		if len(nodes) != replicas {
			t.Errorf("shard %d is on %d machines, want %d", number, len(nodes), replicas)
		}
	}
}

// TestNext_AnyZones_Converges checks that, while random stores are lost or replaced, Next stops changing the placement after a few
// steps, and that no replica remains on a lost store.
func TestNext_AnyZones_Converges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 4), 3, 6).Draw(t, "sizes")
		stores := storesInZones(sizes...)
		shards := placement.Initial(stores, placement.Policy{Replicas: replicas})
		if shards == nil {
			return
		}
		lost := map[string]bool{}
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			removed := rapid.IntRange(0, len(stores)-1).Draw(t, "removed")
			lost[stores[removed].ID] = true
			if rapid.Bool().Draw(t, "comes back without data") {
				stores[removed].ID = fmt.Sprint("anew-", step, "-", stores[removed].ID)
			} else {
				stores = append(append([]placement.Store(nil), stores[:removed]...), stores[removed+1:]...)
			}
			if len(stores) < replicas {
				return
			}
			changes := 0
			for changed := true; changed; changes++ {
				if changes > replicas {
					t.Fatalf("Next still changes the placement after %d calls", changes)
				}
				shards, changed = placement.Next(shards, placement.Inputs{Stores: stores, Lost: lost, Policy: placement.Policy{Replicas: replicas}})
			}
		}
		for number, shard := range shards {
			nodes := map[string]bool{}
			for _, r := range shard.Replicas {
				nodes[r.Node] = true
				if lost[r.ID] {
					t.Errorf("shard %d still has a replica on lost store %s", number, r.ID)
				}
			}
			if len(nodes) != replicas {
				t.Errorf("shard %d is on %d machines, want %d", number, len(nodes), replicas)
			}
		}
	})
}
