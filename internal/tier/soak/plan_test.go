package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"
	"time"
)

// seeds is the number of plans drawn, enough for every kind of fault and of closing fault.
const seeds = 400

func TestRandomPlan_ManySeeds_DrawsAllKinds(t *testing.T) {
	counts := map[FaultKind]int{}
	closings := map[FaultKind]int{}
	large, partitioned, atOnce := 0, 0, 0
	for seed := range uint64(seeds) {
		plan := RandomPlan(seed, 20*time.Second)
		overlapping := 0
		for index, fault := range plan.Faults {
			counts[fault.Kind]++
			if _, partitions := partitionKinds.Find(fault.Kind); partitions && !plan.Partitions {
				t.Errorf("seed %d: %s on a network that can't be partitioned", seed, fault.Kind)
			}
			if fault.For < minFaultDuration || fault.For >= maxFaultDuration || fault.At < time.Second {
				t.Errorf("seed %d: %+v", seed, fault)
			}
			if index > 0 && fault.At < plan.Faults[index-1].At+plan.Faults[index-1].For {
				overlapping++
			}
		}
		if overlapping == 0 {
			t.Errorf("seed %d: no faults overlap", seed)
		}
		closings[plan.Closing.Kind]++
		for count, holds := range map[*int]bool{&large: plan.Large, &partitioned: plan.Partitions, &atOnce: plan.Spread == 0} {
			if holds {
				*count++
			}
		}
	}
	for _, kind := range append(slices.Clone(faultKinds), partitionKinds...) {
		if counts[kind.Name] < seeds/10 {
			t.Errorf("%s occurs %d times in %d plans", kind.Name, counts[kind.Name], seeds)
		}
	}
	if closings[KillAll] < seeds/3 || closings[LoseDisk] < seeds/3 || len(closings) != 2 {
		t.Errorf("kinds of closing faults: %v", closings)
	}
	for name, share := range map[string]struct{ got, want int }{"large": {large, seeds / 4}, "cuts": {partitioned, seeds / 2}, "at once": {atOnce, seeds / 2}} {
		if share.got < share.want*2/3 || share.got > share.want*4/3 {
			t.Errorf("%s: %d plans of %d, not about %d", name, share.got, seeds, share.want)
		}
	}
}

// TestRandomPlan_FirstSeeds_KeepTheirPlans keeps the seeds in records of earlier runs meaningful.
func TestRandomPlan_FirstSeeds_KeepTheirPlans(t *testing.T) {
	const want = "55f1c3773b7cf32b736e6e99cb800ca63e5ba9ca37f2de5215c90863aed8dd6a"
	hash := sha256.New()
	for seed := range uint64(300) {
		fmt.Fprintln(hash, RandomPlan(seed, 20*time.Second).Text())
	}
	if got := hex.EncodeToString(hash.Sum(nil)); got != want {
		t.Errorf("the plans' SHA-256 is %s, was %s: the order of draws, a kind or a JSON key has changed", got, want)
	}
}

func TestRandomPlan_SameSeed_IsTheSame(t *testing.T) {
	const length = 8 * time.Second
	if a, b := RandomPlan(7, length).Text(), RandomPlan(7, length).Text(); a != b {
		t.Errorf("one seed has two plans:\n%s\n%s", a, b)
	}
	if a, b := RandomPlan(7, length).Text(), RandomPlan(8, length).Text(); a == b {
		t.Error("two seeds have the same plan")
	}
}
