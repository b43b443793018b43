package placement_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/view"
)

// balanced applies Balance until it changes nothing, and returns the placement and the number of moves.
func balanced(t rapid.TB, shards []view.ShardPlacement, inputs placement.Inputs) ([]view.ShardPlacement, int) {
	t.Helper()
	for moves := 0; ; moves++ {
		next, changed := placement.Balance(shards, inputs)
		if changed == cmp.Equal(shards, next) {
			t.Fatalf("changed is %v, but the placements differ by: %s", changed, cmp.Diff(shards, next))
		}
		if !changed {
			return shards, moves
		}
		if moves > 1000 {
			t.Fatal("Balance still changes the placement after 1000 moves")
		}
		moved := 0
		for number := range next {
			checkShard(t, number, next[number], inputs.Policy.Replicas)
			moved += len(difference(next[number].Replicas, shards[number].Replicas))
		}
		if moved != 1 {
			t.Fatalf("Balance moved %d replicas at once, want 1", moved)
		}
		shards = next
	}
}

func TestBalance_StoresCome_LeastMovesUntilEven(t *testing.T) {
	for _, tc := range []struct {
		before, after, zones, replicas int
		moves                          int // at most
	}{
		{4, 5, 4, 3, 2},   // 12 replicas by store: 3 3 3 3 0, then 3 3 2 2 2
		{4, 6, 3, 3, 4},   // 3 3 3 3 0 0, then 2 each
		{8, 9, 4, 5, 4},   // 40 replicas: 5 each, then 5 4 4 4 ...
		{6, 6, 3, 3, 0},   // no store was added
		{5, 25, 5, 5, 35}, // 40 replicas: 8 each, then 1 or 2 each
	} {
		t.Run(fmt.Sprintf("from %d stores to %d", tc.before, tc.after), func(t *testing.T) {
			stores := newStores(tc.after, tc.zones)
			policy := placement.Policy{Replicas: tc.replicas}
			shards := placement.Initial(stores[:tc.before], policy)
			shards, moves := balanced(t, shards, placement.Inputs{Stores: stores, Policy: policy})
			checkShare(t, shards, stores, tc.replicas)
			if moves > tc.moves {
				t.Errorf("%d moves, want %d at most", moves, tc.moves)
			}
		})
	}
}

func TestBalance_ZonesComeBack_NoZoneHoldsAMajority(t *testing.T) {
	// Given shards placed while only two zones had stores,
	all := newStores(9, 3)
	policy := placement.Policy{Replicas: 3, Zones: 1}
	var inTwoZones []placement.Store
	for _, store := range all {
		if store.Zone != "zone-2" {
			inTwoZones = append(inTwoZones, store)
		}
	}
	shards := placement.Initial(inTwoZones, policy)
	if unmet := policy.UnmetLosses(shards); len(unmet) != 1 || unmet[0].Kind != "zones" || unmet[0].Shards != len(shards) {
		t.Fatalf("with two zones, UnmetLosses returned %v, want the loss of a zone for all shards", unmet)
	}
	// when the third zone has stores, then each shard gets a replica in it.
	shards, _ = balanced(t, shards, placement.Inputs{Stores: all, Policy: policy})
	if unmet := policy.UnmetLosses(shards); len(unmet) != 0 {
		t.Errorf("with three zones, UnmetLosses returned %v, want none", unmet)
	}
	checkShare(t, shards, all, 3)
}

func TestPlacement_TwoZonesMayBeLost_AMajorityIsLeftWhereZonesSuffice(t *testing.T) {
	for zones, want := range map[int]int{5: 0, 6: 0, 4: 1} {
		policy := placement.Policy{Replicas: 5, Zones: 2}
		stores := newStores(12, zones)
		shards := placement.Initial(stores, policy)
		if got := policy.UnmetLosses(shards); len(got) != want {
			t.Errorf("with %d zones, UnmetLosses returned %v", zones, got)
		}
		// The same holds after a store was lost.
		lost := map[string]bool{stores[3].ID: true}
		next, _ := placement.Next(shards, placement.Inputs{Stores: append(stores[:3:3], stores[4:]...), Lost: lost, Policy: policy})
		if got := policy.UnmetLosses(next); len(got) != want {
			t.Errorf("with %d zones and a lost store, UnmetLosses returned %v", zones, got)
		}
	}
}

func TestPlacement_RegionsMayBeLost_SpreadOverRegions(t *testing.T) {
	regionOf := map[string]string{"zone-0": "north", "zone-1": "north", "zone-2": "south", "zone-3": "east"}
	policy := placement.Policy{Replicas: 3, Regions: 1, RegionOf: regionOf}
	shards := placement.Initial(newStores(8, 4), policy)
	if unmet := policy.UnmetLosses(shards); len(unmet) != 0 {
		t.Errorf("with three regions, UnmetLosses returned %v, want none", unmet)
	}
	// With two regions, one of them always has a majority of a shard's replicas, and UnmetLosses reports it.
	regionOf["zone-3"] = "south"
	shards = placement.Initial(newStores(8, 4), policy)
	if got := fmt.Sprint(policy.UnmetLosses(shards)); got != "[1 regions at once: 8 shards]" {
		t.Errorf("with two regions, UnmetLosses returned %s", got)
	}
}

// TestBalance_AnyStores_ComesToRest checks that Balance stops changing any placement, that is, no single move would reduce the excess
// or the imbalance any more, and that then no more shards than before fail to tolerate the policy's losses.
func TestBalance_AnyStores_ComesToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := 2*rapid.IntRange(1, 2).Draw(t, "losses") + 1
		policy := placement.Policy{Replicas: replicas, Zones: rapid.IntRange(0, 2).Draw(t, "zones lost")}
		stores := newStores(rapid.IntRange(replicas, 12).Draw(t, "stores"), rapid.IntRange(1, 6).Draw(t, "zones"))
		first := rapid.IntRange(replicas, len(stores)).Draw(t, "stores at first")
		before := placement.Initial(stores[:first], policy)
		after, _ := balanced(t, before, placement.Inputs{Stores: stores, Policy: policy})
		countUnmet := func(shards []view.ShardPlacement) int {
			total := 0
			for _, unmet := range policy.UnmetLosses(shards) {
				total += unmet.Shards
			}
			return total
		}
		if countUnmet(after) > countUnmet(before) {
			t.Fatalf("fewer shards tolerate the policy's losses than before: UnmetLosses returned %v, before %v", policy.UnmetLosses(after), policy.UnmetLosses(before))
		}
		for number := range after {
			if !cmp.Equal(before[number].Initial, after[number].Initial) {
				t.Fatalf("shard %d: Balance changed its initial members", number)
			}
		}
	})
}
