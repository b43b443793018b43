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

// machine is the store on machine NODE in a zone, with its GENERATION'th disk.
func machine(node int, zone string, generation int) placement.Store {
	return placement.Store{ID: fmt.Sprintf("id-%d-%d", node, generation), Node: fmt.Sprintf("storage-%d", node), Zone: zone,
		Address: fmt.Sprintf("10.0.0.%d:7002", node)}
}

// machines are count stores that take turns in the zones.
func machines(count, zones int) []placement.Store {
	var stores []placement.Store
	for node := range count {
		stores = append(stores, machine(node, fmt.Sprint("zone-", node%zones), 1))
	}
	return stores
}

func TestInitial_TooFewStores_Nil(t *testing.T) {
	if got := placement.Initial(machines(2, 2), placement.Policy{Replicas: 3}); got != nil {
		t.Errorf("placed on two stores: %v", got)
	}
	for count, want := range map[int]int{3: 4, 4: 4, 5: 8, 9: 16, 100: 64} {
		if got := len(placement.Initial(machines(count, 4), placement.Policy{Replicas: 3})); got != want {
			t.Errorf("%d stores make %d shards, want %d", count, got, want)
		}
	}
}

// TestInitial_SpreadsOverStoresAndZones checks any first placement: each shard has its replicas on different machines, no zone holds a majority of
// them where there are zones enough, no machine holds many more than another where zones leave the choice, and the order of the
// stores doesn't matter.
func TestInitial_SpreadsOverStoresAndZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		copies := 2*rapid.IntRange(0, 2).Draw(t, "losses") + 1
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		stores := machines(rapid.IntRange(copies, 12).Draw(t, "stores"), zones)
		shards := placement.Initial(stores, placement.Policy{Replicas: copies})
		load := loads(shards, stores)
		for number, shard := range shards {
			checkShard(t, number, shard, copies)
			checkZones(t, number, shard, stores, copies)
			if !cmp.Equal(shard.Initial, shard.Replicas) {
				t.Fatalf("shard %d begins with other members than it is to have", number)
			}
		}
		if permuted := placement.Initial(rapid.Permutation(stores).Draw(t, "order"), placement.Policy{Replicas: copies}); !cmp.Equal(shards, permuted) {
			t.Fatal("the order of the stores matters")
		}
		if bound := max(1, (copies-1)/2); len(zoneSizes(stores))*bound >= copies && !zonesLeaveAChoice(stores, copies) {
			return
		}
		minLoad, maxLoad := len(shards)*copies, 0
		for _, store := range stores {
			minLoad, maxLoad = min(minLoad, load[store.ID]), max(maxLoad, load[store.ID])
		}
		if maxLoad-minLoad > 2 {
			t.Fatalf("one store holds %d replicas, another %d", maxLoad, minLoad)
		}
	})
}

// zoneSizes counts the stores of each zone.
func zoneSizes(stores []placement.Store) map[string]int {
	sizes := map[string]int{}
	for _, store := range stores {
		sizes[store.Zone]++
	}
	return sizes
}

// zonesLeaveAChoice tells whether an even share of all replicas is within what the zones may hold of each shard.
func zonesLeaveAChoice(stores []placement.Store, copies int) bool {
	bound := max(1, (copies-1)/2)
	for _, size := range zoneSizes(stores) {
		if size*copies > bound*len(stores) {
			return false
		}
	}
	return true
}

// checkZones checks that no zone holds a majority of a shard's replicas, unless there are too few stores in the others.
func checkZones(t rapid.TB, number int, shard view.ShardPlacement, stores []placement.Store, copies int) {
	t.Helper()
	bound, capacity := max(1, (copies-1)/2), 0
	for _, size := range zoneSizes(stores) {
		capacity += min(size, bound)
	}
	if capacity < copies {
		return
	}
	for zone, count := range zoneSizes(shard.Replicas) {
		if count > bound {
			t.Fatalf("shard %d has %d of %d replicas in %s", number, count, copies, zone)
		}
	}
}

// checkShard checks that the replicas are as many as there are to be, on different machines.
func checkShard(t rapid.TB, number int, shard view.ShardPlacement, copies int) {
	t.Helper()
	nodes := map[string]bool{}
	for _, r := range shard.Replicas {
		nodes[r.Node] = true
	}
	if len(nodes) != copies || len(shard.Replicas) != copies {
		t.Fatalf("shard %d: %d replicas on %d machines, want %d", number, len(shard.Replicas), len(nodes), copies)
	}
}

// TestNext_MovesOnlyLostAndDraining checks any step from any placement: replicas only leave where they are lost or retiring, at most
// one of each shard; one is replaced by its machine's new identity if there is one; a store is never wanted twice; replicas
// come only to stores that run; and repeated steps lead to a placement that wants nothing that is lost or retiring, if
// there are enough stores.
func TestNext_MovesOnlyLostAndDraining(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const copies = 3
		stores := machines(rapid.IntRange(copies, 8).Draw(t, "stores"), rapid.IntRange(1, 4).Draw(t, "zones"))
		shards := placement.Initial(stores, placement.Policy{Replicas: copies})
		now := placement.Inputs{Lost: map[string]bool{}, Draining: map[string]bool{}, Policy: placement.Policy{Replicas: copies}}
		renewed := map[string]string{} // identity that replaces one that was wiped
		for i, store := range stores {
			switch rapid.SampledFrom([]string{"runs", "runs", "runs", "lost", "retiring", "wiped", "down"}).Draw(t, store.Node) {
			case "runs":
				now.Stores = append(now.Stores, store)
			case "lost":
				now.Lost[store.ID] = true
			case "retiring":
				now.Draining[store.ID] = true
			case "wiped":
				anew := machine(i, store.Zone, 2)
				now.Lost[store.ID] = true
				renewed[store.ID] = anew.ID
				now.Stores = append(now.Stores, anew)
			}
		}
		for range 2 * copies {
			next, changed := placement.Next(shards, now)
			if changed == cmp.Equal(shards, next) {
				t.Fatalf("changed is %v, but: %s", changed, cmp.Diff(shards, next))
			}
			for number := range next {
				checkStep(t, number, shards[number], next[number], now, renewed)
			}
			shards = next
		}
		if _, changed := placement.Next(shards, now); changed {
			t.Fatal("the placement doesn't come to rest")
		}
		for number, shard := range shards {
			for _, r := range shard.Replicas {
				if (now.Lost[r.ID] || now.Draining[r.ID]) && free(now.Stores, shard) {
					t.Fatalf("shard %d still wants %s", number, r.ID)
				}
			}
		}
	})
}

// free tells whether a store runs on a machine of which the shard wants nothing.
func free(stores []placement.Store, shard view.ShardPlacement) bool {
	return slices.ContainsFunc(stores, func(s placement.Store) bool {
		return !slices.ContainsFunc(shard.Replicas, func(r view.Replica) bool { return r.Node == s.Node })
	})
}

func checkStep(t rapid.TB, number int, before, after view.ShardPlacement, now placement.Inputs, renewed map[string]string) {
	t.Helper()
	checkShard(t, number, after, now.Policy.Replicas)
	left, come := difference(before.Replicas, after.Replicas), difference(after.Replicas, before.Replicas)
	if len(left) != len(come) || len(left) > 1 {
		t.Fatalf("shard %d: %v leave and %v come", number, left, come)
	}
	if !cmp.Equal(before.Initial, after.Initial) {
		t.Fatalf("shard %d: the first members changed", number)
	}
	if len(left) == 0 {
		return
	}
	if !now.Lost[left[0].ID] && !now.Draining[left[0].ID] {
		t.Fatalf("shard %d: %s leaves without need", number, left[0].ID)
	}
	if !slices.Contains(now.Stores, come[0]) {
		t.Fatalf("shard %d: %s comes, which doesn't run", number, come[0].ID)
	}
	if anew := renewed[left[0].ID]; anew != "" && come[0].ID != anew {
		t.Fatalf("shard %d: %s is replaced by %s, though its machine runs as %s", number, left[0].ID, come[0].ID, anew)
	}
}

// difference lists the replicas of a that b lacks.
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
	a, b, c, d, e := machine(1, "x", 1), machine(2, "y", 1), machine(3, "z", 1), machine(4, "y", 1), machine(5, "x", 1)
	anew := machine(1, "x", 2)
	tests := []struct {
		name           string
		replicas       []placement.Store
		stores         []placement.Store
		lost, retiring []placement.Store
		want           []placement.Store
	}{
		{"calm", []placement.Store{a, b, c}, []placement.Store{a, b, c, d}, nil, nil, []placement.Store{a, b, c}},
		{"a new store alone", []placement.Store{a, b, c}, []placement.Store{a, b, c, d, e}, nil, nil, []placement.Store{a, b, c}},
		{"one is down but not lost", []placement.Store{a, b, c}, []placement.Store{b, c, d}, nil, nil, []placement.Store{a, b, c}},
		{"lost: to the zone that becomes free", []placement.Store{a, b, c}, []placement.Store{b, c, d, e}, []placement.Store{a}, nil, []placement.Store{b, c, e}},
		{"lost, and no store is free", []placement.Store{a, b, c}, []placement.Store{b, c}, []placement.Store{a}, nil, []placement.Store{a, b, c}},
		{"wiped: to the new identity", []placement.Store{a, b, c}, []placement.Store{anew, b, c, d, e}, []placement.Store{a}, nil, []placement.Store{b, c, anew}},
		{"wiped, and no other store is free", []placement.Store{a, b, c}, []placement.Store{anew, b, c}, []placement.Store{a}, nil, []placement.Store{b, c, anew}},
		{"retiring", []placement.Store{a, b, c}, []placement.Store{b, c, d, e}, nil, []placement.Store{a}, []placement.Store{b, c, e}},
		{"lost goes before retiring", []placement.Store{a, b, c}, []placement.Store{c, e}, []placement.Store{b}, []placement.Store{a}, []placement.Store{a, c, e}},
		{"too few", []placement.Store{a, b}, []placement.Store{a, b, d, c}, nil, nil, []placement.Store{a, b, c}},
		{"too few and retiring", []placement.Store{a, b}, []placement.Store{b, c, d}, nil, []placement.Store{a}, []placement.Store{b, c}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := placement.Inputs{Stores: test.stores, Lost: identities(test.lost), Draining: identities(test.retiring), Policy: placement.Policy{Replicas: 3}}
			before := []view.ShardPlacement{{Initial: test.replicas, Replicas: slices.Clone(test.replicas)}}
			next, changed := placement.Next(before, now)
			if diff := cmp.Diff(test.want, next[0].Replicas); diff != "" {
				t.Errorf("replicas (-want +got):\n%s", diff)
			}
			if want := !cmp.Equal(test.want, test.replicas); changed != want {
				t.Errorf("changed: %v, want %v", changed, want)
			}
			if diff := cmp.Diff(test.replicas, before[0].Replicas); diff != "" {
				t.Errorf("the placement before was changed:\n%s", diff)
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
			t.Errorf("shard %d has %d of 8,000 programs", shard, count)
		}
	}
	if got := placement.Shard("3fa81c", 4); got != placement.Shard("3fa81c", 4) || got < 0 || got > 3 {
		t.Errorf("shard %d", got)
	}
}
