package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/view"
)

// newStore returns the store on a machine in a zone. Its identity changes with generation, as when its disk is wiped.
func newStore(node int, zone string, generation int) placement.Store {
	return placement.Store{ID: fmt.Sprintf("id-%d-%d", node, generation), Node: fmt.Sprintf("storage-%d", node), Zone: zone,
		Address: fmt.Sprintf("10.0.0.%d:7002", node)}
}

// newStores returns stores that are assigned to the zones in turn.
func newStores(count, zones int) []placement.Store {
	var stores []placement.Store
	for node := range count {
		stores = append(stores, newStore(node, fmt.Sprint("zone-", node%zones), 1))
	}
	return stores
}

func TestInitial_TooFewStores_Nil(t *testing.T) {
	if got := placement.Initial(newStores(2, 2), placement.Policy{Replicas: 3}); got != nil {
		t.Errorf("three replicas per shard were placed on two stores: %v", got)
	}
	for count, want := range map[int]int{3: 4, 4: 4, 5: 8, 9: 16, 100: 64} {
		if got := len(placement.Initial(newStores(count, 4), placement.Policy{Replicas: 3})); got != want {
			t.Errorf("%d stores got %d shards, want %d", count, got, want)
		}
	}
}

// TestInitial_SpreadsOverStoresAndZones checks the first placement for random numbers of stores, zones and replicas: each shard's
// replicas are on different machines, no zone holds a majority of them if there are enough zones, no store holds over two replicas
// more than another unless the zones' limits demand it, and the order of the stores doesn't matter.
func TestInitial_SpreadsOverStoresAndZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := 2*rapid.IntRange(0, 2).Draw(t, "losses") + 1
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		stores := newStores(rapid.IntRange(replicas, 12).Draw(t, "stores"), zones)
		shards := placement.Initial(stores, placement.Policy{Replicas: replicas})
		load := loads(shards, stores)
		for number, shard := range shards {
			checkShard(t, number, shard, replicas)
			checkZones(t, number, shard, stores, replicas)
			if !cmp.Equal(shard.Initial, shard.Replicas) {
				t.Fatalf("the initial members of shard %d differ from its replicas", number)
			}
		}
		if permuted := placement.Initial(rapid.Permutation(stores).Draw(t, "order"), placement.Policy{Replicas: replicas}); !cmp.Equal(shards, permuted) {
			t.Fatal("the placement depends on the order of the stores")
		}
		if bound := max(1, (replicas-1)/2); len(zoneSizes(stores))*bound >= replicas && !zoneLimitsAllowEvenLoad(stores, replicas) {
			return
		}
		minLoad, maxLoad := len(shards)*replicas, 0
		for _, store := range stores {
			minLoad, maxLoad = min(minLoad, load[store.ID]), max(maxLoad, load[store.ID])
		}
		if maxLoad-minLoad > 2 {
			t.Fatalf("one store holds %d replicas and another %d, want a difference of at most 2", maxLoad, minLoad)
		}
	})
}

// zoneSizes returns the number of stores in each zone.
func zoneSizes(stores []placement.Store) map[string]int {
	sizes := map[string]int{}
	for _, store := range stores {
		sizes[store.Zone]++
	}
	return sizes
}

// zoneLimitsAllowEvenLoad reports whether all stores can hold equally many replicas without a zone above its limit for each shard.
func zoneLimitsAllowEvenLoad(stores []placement.Store, replicas int) bool {
	bound := max(1, (replicas-1)/2)
	for _, size := range zoneSizes(stores) {
		if size*replicas > bound*len(stores) {
			return false
		}
	}
	return true
}

// checkZones checks that no zone holds a majority of a shard's replicas, unless the other zones have too few stores.
func checkZones(t rapid.TB, number int, shard view.ShardPlacement, stores []placement.Store, replicas int) {
	t.Helper()
	bound, capacity := max(1, (replicas-1)/2), 0
	for _, size := range zoneSizes(stores) {
		capacity += min(size, bound)
	}
	if capacity < replicas {
		return
	}
	for zone, count := range zoneSizes(shard.Replicas) {
		if count > bound {
			t.Fatalf("shard %d has %d of %d replicas in %s, which is a majority", number, count, replicas, zone)
		}
	}
}

// checkShard checks that a shard has the given number of replicas, on different machines.
func checkShard(t rapid.TB, number int, shard view.ShardPlacement, replicas int) {
	t.Helper()
	nodes := map[string]bool{}
	for _, r := range shard.Replicas {
		nodes[r.Node] = true
	}
	if len(nodes) != replicas || len(shard.Replicas) != replicas {
		t.Fatalf("shard %d has %d replicas on %d machines, want %d", number, len(shard.Replicas), len(nodes), replicas)
	}
}

// TestNext_MovesOnlyLostAndDraining checks steps from random placements: at most one replica of each shard is removed, and only if
// it is lost or draining; it is replaced by its machine's new identity if there is one; replicas are added only on running stores
// and on different machines; and repeated steps lead to a placement without lost or draining replicas if there are enough stores.
func TestNext_MovesOnlyLostAndDraining(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replicas = 3
		stores := newStores(rapid.IntRange(replicas, 8).Draw(t, "stores"), rapid.IntRange(1, 4).Draw(t, "zones"))
		shards := placement.Initial(stores, placement.Policy{Replicas: replicas})
		inputs := placement.Inputs{Lost: map[string]bool{}, Draining: map[string]bool{}, Policy: placement.Policy{Replicas: replicas}}
		newIDs := map[string]string{} // new identity of a wiped store, by its old one
		for i, store := range stores {
			switch rapid.SampledFrom([]string{"runs", "runs", "runs", "lost", "draining", "wiped", "down"}).Draw(t, store.Node) {
			case "runs":
				inputs.Stores = append(inputs.Stores, store)
			case "lost":
				inputs.Lost[store.ID] = true
			case "draining":
				inputs.Draining[store.ID] = true
			case "wiped":
				wiped := newStore(i, store.Zone, 2)
				inputs.Lost[store.ID] = true
				newIDs[store.ID] = wiped.ID
				inputs.Stores = append(inputs.Stores, wiped)
			}
		}
		for range 2 * replicas {
			next, changed := placement.Next(shards, inputs)
			if changed == cmp.Equal(shards, next) {
				t.Fatalf("changed is %v, but the placements differ by: %s", changed, cmp.Diff(shards, next))
			}
			for number := range next {
				checkStep(t, number, shards[number], next[number], inputs, newIDs)
			}
			shards = next
		}
		if _, changed := placement.Next(shards, inputs); changed {
			t.Fatal("Next still changes the placement after two steps for each replica")
		}
		for number, shard := range shards {
			for _, r := range shard.Replicas {
				if (inputs.Lost[r.ID] || inputs.Draining[r.ID]) && hasFreeStore(inputs.Stores, shard) {
					t.Fatalf("shard %d still has lost or draining replica %s, though a store is free", number, r.ID)
				}
			}
		}
	})
}

// hasFreeStore reports whether a store runs on a machine without a replica of the shard.
func hasFreeStore(stores []placement.Store, shard view.ShardPlacement) bool {
	return slices.ContainsFunc(stores, func(s placement.Store) bool {
		return !slices.ContainsFunc(shard.Replicas, func(r view.Replica) bool { return r.Node == s.Node })
	})
}

// checkStep checks how one call of Next changed a shard.
func checkStep(t rapid.TB, number int, before, after view.ShardPlacement, inputs placement.Inputs, newIDs map[string]string) {
	t.Helper()
	checkShard(t, number, after, inputs.Policy.Replicas)
	removed, added := difference(before.Replicas, after.Replicas), difference(after.Replicas, before.Replicas)
	if len(removed) != len(added) || len(removed) > 1 {
		t.Fatalf("shard %d: replicas %v were removed and %v added, want at most one of each", number, removed, added)
	}
	if !cmp.Equal(before.Initial, after.Initial) {
		t.Fatalf("shard %d: Next changed its initial members", number)
	}
	if len(removed) == 0 {
		return
	}
	if !inputs.Lost[removed[0].ID] && !inputs.Draining[removed[0].ID] {
		t.Fatalf("shard %d: replica %s was removed, which is neither lost nor draining", number, removed[0].ID)
	}
	if !slices.Contains(inputs.Stores, added[0]) {
		t.Fatalf("shard %d: a replica was added on %s, which doesn't run", number, added[0].ID)
	}
	if newID := newIDs[removed[0].ID]; newID != "" && added[0].ID != newID {
		t.Fatalf("shard %d: %s was replaced by %s, want its machine's new identity %s", number, removed[0].ID, added[0].ID, newID)
	}
}

// difference returns the replicas in a that aren't in b.
func difference(a, b []view.Replica) []view.Replica {
	var missing []view.Replica
	for _, r := range a {
		if !slices.Contains(b, r) {
			missing = append(missing, r)
		}
	}
	return missing
}

func TestNext(t *testing.T) {
	a, b, c, d, e := newStore(1, "x", 1), newStore(2, "y", 1), newStore(3, "z", 1), newStore(4, "y", 1), newStore(5, "x", 1)
	wiped := newStore(1, "x", 2) // a under a new identity
	tests := []struct {
		name           string
		replicas       []placement.Store
		stores         []placement.Store
		lost, draining []placement.Store
		want           []placement.Store
	}{
		{"all replicas run", []placement.Store{a, b, c}, []placement.Store{a, b, c, d}, nil, nil, []placement.Store{a, b, c}},
		{"new stores", []placement.Store{a, b, c}, []placement.Store{a, b, c, d, e}, nil, nil, []placement.Store{a, b, c}},
		{"one store is down but not lost", []placement.Store{a, b, c}, []placement.Store{b, c, d}, nil, nil, []placement.Store{a, b, c}},
		{"lost: replaced in the same zone", []placement.Store{a, b, c}, []placement.Store{b, c, d, e}, []placement.Store{a}, nil, []placement.Store{b, c, e}},
		{"lost, and no store is free", []placement.Store{a, b, c}, []placement.Store{b, c}, []placement.Store{a}, nil, []placement.Store{a, b, c}},
		{"wiped: replaced by the new identity", []placement.Store{a, b, c}, []placement.Store{wiped, b, c, d, e}, []placement.Store{a}, nil, []placement.Store{b, c, wiped}},
		{"wiped, and no other store is free", []placement.Store{a, b, c}, []placement.Store{wiped, b, c}, []placement.Store{a}, nil, []placement.Store{b, c, wiped}},
		{"draining", []placement.Store{a, b, c}, []placement.Store{b, c, d, e}, nil, []placement.Store{a}, []placement.Store{b, c, e}},
		{"lost goes before draining", []placement.Store{a, b, c}, []placement.Store{c, e}, []placement.Store{b}, []placement.Store{a}, []placement.Store{a, c, e}},
		{"too few replicas", []placement.Store{a, b}, []placement.Store{a, b, d, c}, nil, nil, []placement.Store{a, b, c}},
		{"too few replicas, and one draining", []placement.Store{a, b}, []placement.Store{b, c, d}, nil, []placement.Store{a}, []placement.Store{b, c}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inputs := placement.Inputs{Stores: test.stores, Lost: identities(test.lost), Draining: identities(test.draining), Policy: placement.Policy{Replicas: 3}}
			before := []view.ShardPlacement{{Initial: test.replicas, Replicas: slices.Clone(test.replicas)}}
			next, changed := placement.Next(before, inputs)
			if diff := cmp.Diff(test.want, next[0].Replicas); diff != "" {
				t.Errorf("replicas (-want +got):\n%s", diff)
			}
			if want := !cmp.Equal(test.want, test.replicas); changed != want {
				t.Errorf("changed: %v, want %v", changed, want)
			}
			if diff := cmp.Diff(test.replicas, before[0].Replicas); diff != "" {
				t.Errorf("Next changed its argument:\n%s", diff)
			}
		})
	}
}

func identities(stores []placement.Store) map[string]bool {
	set := map[string]bool{}
	for _, store := range stores {
		set[store.ID] = true
	}
	return set
}

func TestShard_SameKey_SameShard(t *testing.T) {
	counts := make([]int, 8)
	for key := range 8000 {
		counts[placement.Shard(fmt.Sprint("program-", key), len(counts))]++
	}
	for shard, count := range counts {
		if count < 800 || count > 1200 {
			t.Errorf("shard %d has %d of 8,000 keys, want 800 to 1,200", shard, count)
		}
	}
	if got := placement.Shard("3fa81c", 4); got != placement.Shard("3fa81c", 4) || got < 0 || got > 3 {
		t.Errorf("Shard returned %d or differs between two calls, want the same of 0 to 3", got)
	}
}
