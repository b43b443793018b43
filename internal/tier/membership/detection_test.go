package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// detectionCases lists the cluster sizes, and for each the number of failures to measure.
var detectionCases = []struct {
	size  int
	seeds uint64
}{{19, 42}, {73, 14}}

// Bounds on the time until a controller suspects a member with replicas that has lost power, at 2 % datagram loss.
const (
	maxMedianSuspicion = 1500 * time.Millisecond
	maxSuspicion99     = 2 * time.Second // 99th percentile
)

// TestControllers_MemberWithReplicasDies_SuspectItWithinTheBound measures how soon the controllers suspect, and declare dead, a
// machine with replicas that has lost power. Where a successor is running, placement counts from the suspicion.
func TestControllers_MemberWithReplicasDies_SuspectItWithinTheBound(t *testing.T) {
	t.Parallel()
	for _, tc := range detectionCases {
		if tc.size > largestFleet/2 {
			continue
		}
		t.Run(fmt.Sprint(tc.size), func(t *testing.T) {
			t.Parallel()
			var suspected, died []time.Duration
			for seed := range tc.seeds {
				suspicion, death := measureFailure(t, tc.size, seed)
				suspected = append(suspected, suspicion...)
				died = append(died, death...)
			}
			report(t, "suspected", suspected)
			report(t, "dead", died)
			if percentile(suspected, 50) > maxMedianSuspicion || percentile(suspected, 99) > maxSuspicion99 {
				t.Error("suspicions exceed maxMedianSuspicion or maxSuspicion99")
			}
		})
	}
}

// hostsWithReplicas is the number of controllers and stores in a cluster, which are the first hosts.
const hostsWithReplicas = 7

// measureFailure kills a host with replicas in an idle cluster, and returns how long each controller took to suspect the host and to
// declare it dead.
func measureFailure(t *testing.T, size int, seed uint64) (suspected, died []time.Duration) {
	t.Helper()
	fleet := newCluster(size, seed+1)
	fleet.startAll()
	fleet.runFor(12*time.Second + time.Duration(seed)*37*time.Millisecond)
	victim := fleet.hosts[int(seed)%hostsWithReplicas]
	killedAt := fleet.loop.Now()
	fleet.kill(victim)
	if _, done := fleet.runUntil(maxDetection, fleet.converged); !done {
		t.Fatalf("seed %d: not all members know of the death within maxDetection", seed)
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

// percentile returns a percentile of the times, which it sorts.
func percentile(times []time.Duration, percent int) time.Duration {
	slices.Sort(times)
	return times[(len(times)-1)*percent/100]
}

func report(t *testing.T, what string, times []time.Duration) {
	t.Helper()
	t.Logf("%s after: median %v, 90 %% %v, 99 %% %v, longest %v", what, percentile(times, 50).Round(time.Millisecond),
		percentile(times, 90).Round(time.Millisecond), percentile(times, 99).Round(time.Millisecond), percentile(times, 100).Round(time.Millisecond))
}
