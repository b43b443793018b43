package soak

import (
	"slices"
	"testing"
	"time"
)

// seeds are enough for all kinds of troubles and closings.
const seeds = 400

func TestRandomPlansHoldAllKinds(t *testing.T) {
	counts := map[Kind]int{}
	closings := map[Kind]int{}
	large, cutting, atOnce := 0, 0, 0
	for seed := range uint64(seeds) {
		plan := RandomPlan(seed, 20*time.Second)
		overlapping := 0
		for at, trouble := range plan.Troubles {
			counts[trouble.Kind]++
			if slices.Contains(cutKinds, trouble.Kind) && !plan.Cuts {
				t.Errorf("seed %d: %s on a network that can't be cut", seed, trouble.Kind)
			}
			if trouble.For < shortest || trouble.For >= longest || trouble.At < time.Second {
				t.Errorf("seed %d: %+v", seed, trouble)
			}
			if at > 0 && trouble.At < plan.Troubles[at-1].At+plan.Troubles[at-1].For {
				overlapping++
			}
		}
		if overlapping == 0 {
			t.Errorf("seed %d: no troubles overlap", seed)
		}
		closings[plan.Closing.Kind]++
		for count, holds := range map[*int]bool{&large: plan.Large, &cutting: plan.Cuts, &atOnce: plan.Spread == 0} {
			if holds {
				*count++
			}
		}
	}
	for _, kind := range append(slices.Clone(kinds), cutKinds...) {
		if counts[kind] < seeds/10 {
			t.Errorf("%s comes %d times in %d plans", kind, counts[kind], seeds)
		}
	}
	if closings[KillAll] < seeds/3 || closings[LoseDisk] < seeds/3 || len(closings) != 2 {
		t.Errorf("closings: %v", closings)
	}
	for name, share := range map[string]struct{ got, want int }{"large": {large, seeds / 4}, "cuts": {cutting, seeds / 2}, "at once": {atOnce, seeds / 2}} {
		if share.got < share.want*2/3 || share.got > share.want*4/3 {
			t.Errorf("%s: %d plans of %d, not about %d", name, share.got, seeds, share.want)
		}
	}
}

func TestAPlanFollowsFromItsSeed(t *testing.T) {
	const length = 8 * time.Second
	if a, b := RandomPlan(7, length).Text(), RandomPlan(7, length).Text(); a != b {
		t.Errorf("%s\n%s", a, b)
	}
	if a, b := RandomPlan(7, length).Text(), RandomPlan(8, length).Text(); a == b {
		t.Error("two seeds have one plan")
	}
}
