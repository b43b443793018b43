package fleettest

import (
	"testing"
	"time"
)

// mutantDays is the number of days within which each mutant must be found.
const mutantDays = 4

// randomDay plays a day with troubles of all kinds.
func randomDay(seed uint64) []string {
	return Play(RandomPlan(seed), Options{}).Violations
}

// repeated gives a day on which one kind of trouble comes again and again.
func repeated(kind FaultKind, pause, length time.Duration) func(seed uint64) []string {
	return func(seed uint64) []string {
		plan := Plan{Seed: seed, Span: 30 * time.Second}
		for at := firstFault; at < plan.Span; at += pause {
			plan.Faults = append(plan.Faults, Fault{At: at, Kind: kind, Target: len(plan.Faults), For: length})
		}
		return Play(plan, Options{}).Violations
	}
}

// Days with much of one trouble.
var (
	endpointDay = repeated(EndpointFault, 250*time.Millisecond, 200*time.Millisecond)
	proxyDay    = repeated(ProxyFault, 150*time.Millisecond, 0)
	cutDay      = repeated(CutFault, 1500*time.Millisecond, 1400*time.Millisecond)
)

// finalDay plays a day on which disks are lost again and again, right after an acknowledgement, while all others that
// count lose power.
func finalDay(seed uint64) []string {
	plan := Plan{Seed: 3 * seed, Span: 50 * time.Second}
	for i := range 4 {
		plan.Faults = append(plan.Faults, Fault{At: time.Duration(i+1) * 10 * time.Second, Kind: AckFinalFault, Target: (i + int(seed)) % 3, For: 2 * time.Second})
	}
	return Play(plan, Options{}).Violations
}

// TestDaysShowNoMistake plays the days on which the mutants are found; random days are TestRandomDays's too.
func TestDaysShowNoMistake(t *testing.T) {
	skipWhereWatched(t)
	for _, days := range []struct {
		name string
		play func(seed uint64) []string
	}{
		{"random", randomDay},
		{"endpoints", endpointDay},
		{"proxies", proxyDay},
		{"cuts", cutDay},
		{"lost disks", finalDay},
		{"older pieces", olderOffered},
	} {
		t.Run(days.name, func(t *testing.T) {
			t.Parallel()
			seeds(t, mutantDays, func(t *testing.T, seed uint64) {
				for _, violation := range days.play(seed) {
					t.Error(violation)
				}
			})
		})
	}
}
