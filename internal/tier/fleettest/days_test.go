package fleettest

import (
	"testing"
	"time"
)

// mutantDays is the number of days within which the tests must notice each mutant.
const mutantDays = 4

// randomDay runs the day of a random plan and returns its violations.
func randomDay(seed uint64) []string {
	return Run(RandomPlan(seed), Options{}).Violations
}

// repeated returns a function that runs a day on which one kind of fault comes at intervals, and returns its violations.
func repeated(kind FaultKind, interval, length time.Duration) func(seed uint64) []string {
	return func(seed uint64) []string {
		plan := Plan{Seed: seed, Span: 30 * time.Second}
		for at := firstFaultAt; at < plan.Span; at += interval {
			plan.Faults = append(plan.Faults, Fault{At: at, Kind: kind, Target: len(plan.Faults), For: length})
		}
		return Run(plan, Options{}).Violations
	}
}

// Days with many faults of one kind.
var (
	endpointDay  = repeated(EndpointReplaceFault, 250*time.Millisecond, 200*time.Millisecond)
	proxyDay     = repeated(ProxyKillFault, 150*time.Millisecond, 0)
	partitionDay = repeated(PartitionFault, 1500*time.Millisecond, 1400*time.Millisecond)
)

// diskLossDay runs a day on which, repeatedly and right after an acknowledgement, one quorum machine loses its disk and all others lose
// power.
func diskLossDay(seed uint64) []string {
	plan := Plan{Seed: 3 * seed, Span: 50 * time.Second}
	for i := range 4 {
		plan.Faults = append(plan.Faults, Fault{At: time.Duration(i+1) * 10 * time.Second, Kind: AckDiskLossPowerLossAllFault, Target: (i + int(seed)) % 3, For: 2 * time.Second})
	}
	return Run(plan, Options{}).Violations
}

// TestRun_DaysOfMutants_BreakNoRule runs the days on which the mutants must be noticed. TestRandomDays runs random days too.
func TestRun_DaysOfMutants_BreakNoRule(t *testing.T) {
	skipUnderRace(t)
	for _, days := range []struct {
		name string
		run  func(seed uint64) []string
	}{
		{"random", randomDay},
		{"endpoints", endpointDay},
		{"proxies", proxyDay},
		{"partitions", partitionDay},
		{"lost disks", diskLossDay},
		{"older updates", runOlderUpdateOffered},
	} {
		t.Run(days.name, func(t *testing.T) {
			t.Parallel()
			seeds(t, mutantDays, func(t *testing.T, seed uint64) {
				for _, violation := range days.run(seed) {
					t.Error(violation)
				}
			})
		})
	}
}
