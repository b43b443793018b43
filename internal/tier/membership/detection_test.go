package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// detections are the sizes of fleets, and how many failures are measured for each.
var detections = []struct {
	size  int
	seeds uint64
}{{19, 42}, {73, 14}}

// Bounds on the time until a controller suspects a member with replicas that has lost power, with 2 % of the datagrams lost.
const (
	maxMedianSuspicion = 1500 * time.Millisecond // for half of the controllers
	maxSuspicion99     = 2 * time.Second         // for all but one of a hundred
)

// TestControllers_MemberWithReplicasDies_SuspectItWithinTheBound measures after which time the controllers suspect that a machine with replicas has lost
// power, and declare it dead: placement counts from the suspicion where a successor runs.
func TestControllers_MemberWithReplicasDies_SuspectItWithinTheBound(t *testing.T) {
	t.Parallel()
	for _, tc := range detections {
		if tc.size > largestFleet/2 {
			continue
		}
		t.Run(fmt.Sprint(tc.size), func(t *testing.T) {
			t.Parallel()
			var suspected, died []time.Duration
			for seed := range tc.seeds {
				suspicion, death := failureOf(t, tc.size, seed)
				suspected = append(suspected, suspicion...)
				died = append(died, death...)
			}
			report(t, "suspected", suspected)
			report(t, "dead", died)
			if percentile(suspected, 50) > maxMedianSuspicion || percentile(suspected, 99) > maxSuspicion99 {
				t.Error("suspicions come too late")
			}
		})
	}
}

// hostsWithReplicas is how many hosts of a cluster are controllers and stores; they come first.
const hostsWithReplicas = 7

// failureOf kills a host with replicas in a calm fleet, and returns when each controller suspected it and declared it dead.
func failureOf(t *testing.T, size int, seed uint64) (suspected, died []time.Duration) {
	t.Helper()
	fleet := newCluster(size, seed+1)
	fleet.startAll()
	fleet.runFor(12*time.Second + time.Duration(seed)*37*time.Millisecond)
	victim := fleet.hosts[int(seed)%hostsWithReplicas]
	killedAt := fleet.loop.Now()
	fleet.kill(victim)
	if _, done := fleet.runUntil(maxDetection, fleet.converged); !done {
		t.Fatalf("seed %d: not all members know of the death", seed)
	}
	for _, h := range fleet.running() {
		if h.member.Role != Controller {
			continue
		}
		first := time.Duration(0)
		for _, change := range h.events {
			if change.Member.Name != victim.member.Name || change.At < killedAt {
				continue
			}
			after := change.At - killedAt
			if first == 0 {
				first = after
			}
			if change.Kind == MemberDied {
				suspected, died = append(suspected, first), append(died, after)
			}
		}
	}
	return suspected, died
}

// percentile is the value that so many of a hundred don't exceed.
func percentile(times []time.Duration, percent int) time.Duration {
	slices.Sort(times)
	return times[(len(times)-1)*percent/100]
}

func report(t *testing.T, what string, times []time.Duration) {
	t.Helper()
	t.Logf("%s after: median %v, 90 %% %v, 99 %% %v, longest %v", what, percentile(times, 50).Round(time.Millisecond),
		percentile(times, 90).Round(time.Millisecond), percentile(times, 99).Round(time.Millisecond), percentile(times, 100).Round(time.Millisecond))
}
