package placement_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/view"
)

// balanced applies Balance until nothing changes, and returns the number of moves.
func balanced(t rapid.TB, shards []view.ShardPlacement, inputs placement.Inputs) ([]view.ShardPlacement, int) {
	t.Helper()
	for moves := 0; ; moves++ {
		next, changed := placement.Balance(shards, inputs)
		if changed == cmp.Equal(shards, next) {
			t.Fatalf("changed is %v, but: %s", changed, cmp.Diff(shards, next))
		}
		if !changed {
			return shards, moves
		}
		if moves > 1000 {
			t.Fatal("the placement doesn't come to rest")
		}
		moved := 0
		for number := range next {
			checkShard(t, number, next[number], inputs.Policy.Replicas)
			moved += len(difference(next[number].Replicas, shards[number].Replicas))
		}
		if moved != 1 {
			t.Fatalf("%d replicas move at once", moved)
		}
		shards = next
	}
}

func TestBalance_StoresCome_LeastMovesUntilEven(t *testing.T) {
	for _, tc := range []struct {
		before, after, zones, copies int
		moves                        int
	}{
		{4, 5, 4, 3, 2},   // 12 replicas: 3 3 3 3 0 to 3 3 2 2 2
		{4, 6, 3, 3, 4},   // 3 3 3 3 0 0 to twos
		{8, 9, 4, 5, 4},   // 40 replicas: fives, to 5 4 4 4 ...
		{6, 6, 3, 3, 0},   // nothing came
		{5, 25, 5, 5, 35}, // 40 replicas of eights, to ones and twos
	} {
		t.Run(fmt.Sprintf("%d stores become %d", tc.before, tc.after), func(t *testing.T) {
			stores := machines(tc.after, tc.zones)
			policy := placement.Policy{Replicas: tc.copies}
			shards := placement.Initial(stores[:tc.before], policy)
			shards, moves := balanced(t, shards, placement.Inputs{Stores: stores, Policy: policy})
			checkShare(t, shards, stores, tc.copies)
			if moves > tc.moves {
				t.Errorf("%d moves, want %d at most", moves, tc.moves)
			}
		})
	}
}

func TestBalance_ZonesComeBack_NoZoneHoldsAMajority(t *testing.T) {
	// Given shards whose replicas had to go to two zones,
	all := machines(9, 3)
	policy := placement.Policy{Replicas: 3, Zones: 1}
	var two []placement.Store
	for _, store := range all {
		if store.Zone != "zone-2" {
			two = append(two, store)
		}
	}
	shards := placement.Initial(two, policy)
	if unmet := policy.Unmet(shards); len(unmet) != 1 || unmet[0].Kind != "zones" || unmet[0].Shards != len(shards) {
		t.Fatalf("in two zones: %v", unmet)
	}
	// when the third zone is there, then each shard gets a replica in it.
	shards, _ = balanced(t, shards, placement.Inputs{Stores: all, Policy: policy})
	if unmet := policy.Unmet(shards); len(unmet) != 0 {
		t.Errorf("in three zones: %v", unmet)
	}
	checkShare(t, shards, all, 3)
}

func TestPlacement_TwoZonesMayBeLost_AMajorityIsLeftWhereZonesSuffice(t *testing.T) {
	for zones, want := range map[int]int{5: 0, 6: 0, 4: 1} {
		policy := placement.Policy{Replicas: 5, Zones: 2}
		stores := machines(12, zones)
		shards := placement.Initial(stores, policy)
		if got := policy.Unmet(shards); len(got) != want {
			t.Errorf("%d zones: %v", zones, got)
		}
		// And also after a store was lost.
		lost := map[string]bool{stores[3].ID: true}
		next, _ := placement.Next(shards, placement.Inputs{Stores: append(stores[:3:3], stores[4:]...), Lost: lost, Policy: policy})
		if got := policy.Unmet(next); len(got) != want {
			t.Errorf("%d zones, with a store lost: %v", zones, got)
		}
	}
}

func TestPlacement_RegionsMayBeLost_SpreadOverRegions(t *testing.T) {
	regionOf := map[string]string{"zone-0": "north", "zone-1": "north", "zone-2": "south", "zone-3": "east"}
	policy := placement.Policy{Replicas: 3, Regions: 1, RegionOf: regionOf}
	shards := placement.Initial(machines(8, 4), policy)
	if unmet := policy.Unmet(shards); len(unmet) != 0 {
		t.Errorf("three regions: %v", unmet)
	}
	// Where there are two regions, one always has a majority, and that is said.
	regionOf["zone-3"] = "south"
	shards = placement.Initial(machines(8, 4), policy)
	if got := fmt.Sprint(policy.Unmet(shards)); got != "[1 regions at once: 8 shards]" {
		t.Errorf("two regions: %s", got)
	}
}

// TestBalance_AnyStores_ComesToRest checks that any placement comes to rest, with no replica beyond a limit that a single move
// could mend, and no two stores that a single move could make more even.
func TestBalance_AnyStores_ComesToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		copies := 2*rapid.IntRange(1, 2).Draw(t, "losses") + 1
		policy := placement.Policy{Replicas: copies, Zones: rapid.IntRange(0, 2).Draw(t, "zones lost")}
		stores := machines(rapid.IntRange(copies, 12).Draw(t, "stores"), rapid.IntRange(1, 6).Draw(t, "zones"))
		first := rapid.IntRange(copies, len(stores)).Draw(t, "stores at first")
		before := placement.Initial(stores[:first], policy)
		after, _ := balanced(t, before, placement.Inputs{Stores: stores, Policy: policy})
		count := func(shards []view.ShardPlacement) int {
			total := 0
			for _, unmet := range policy.Unmet(shards) {
				total += unmet.Shards
			}
			return total
		}
		if count(after) > count(before) {
			t.Fatalf("fewer shards tolerate the losses: %v, before %v", policy.Unmet(after), policy.Unmet(before))
		}
		for number := range after {
			if !cmp.Equal(before[number].Initial, after[number].Initial) {
				t.Fatalf("shard %d: the first members changed", number)
			}
		}
	})
}
