package fleettest

import (
	"testing"
	"time"
)

// mutantDays is the number of days within which each mutant must be found.
const mutantDays = 4

// randomDay runs a day with faults of all kinds.
func randomDay(seed uint64) []string {
	return Run(RandomPlan(seed), Options{}).Violations
}

// repeated returns a day on which one kind of fault comes repeatedly.
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

// diskLossDay runs a day on which disks are lost repeatedly, right after an acknowledgement, while all others that
// count lose power.
func diskLossDay(seed uint64) []string {
	plan := Plan{Seed: 3 * seed, Span: 50 * time.Second}
	for i := range 4 {
		plan.Faults = append(plan.Faults, Fault{At: time.Duration(i+1) * 10 * time.Second, Kind: AckDiskLossPowerLossAllFault, Target: (i + int(seed)) % 3, For: 2 * time.Second})
	}
	return Run(plan, Options{}).Violations
}

// TestRun_DaysOfMutants_BreakNoRule runs the days on which the mutants are found; random days are TestRandomDays's too.
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
