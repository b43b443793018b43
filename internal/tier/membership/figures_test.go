package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Bounds on measurements; those without a unit of time are per member and second.
const (
	maxConvergence  = 15 * time.Second // until hosts that started together all know each other
	maxDetection    = 15 * time.Second // until all members know of a death
	maxIdleMessages = 5.0
	maxIdleBytes    = 3000.0
	maxIdleSteps    = 5.0
)

// TestFleet_CostAndDetection_WithinTheBounds measures, for clusters of several sizes with 2 % datagram loss, the messages, bytes and
// steps, and the time until all members know each other and until all know of a death.
func TestFleet_CostAndDetection_WithinTheBounds(t *testing.T) {
	t.Parallel()
	for _, size := range []int{16, 100, 380, 1000} {
		if size > largestFleet {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(size, 7)
			const settleSeconds = 12 // until the updates of the start are not broadcast any more
			fleet.measure = true
			fleet.startAll()
			fleet.runFor(300 * time.Millisecond)
			met, done := fleet.runUntil(maxConvergence, fleet.converged)
			if !done {
				t.Fatalf("not all members know each other after %v", met)
			}
			start := fleet.totals()
			t.Logf("all members known after %v; until then, per member: %.0f bytes in datagrams, %.0f bytes in %.1f calls",
				met, start.bytes, start.callBytes, start.calls)

			fleet.runFor(settleSeconds * time.Second)
			before := fleet.totals()
			const idleSeconds = 10
			fleet.runFor(idleSeconds * time.Second)
			idle := fleet.totals().since(before, idleSeconds)
			t.Logf("idle, per member and second: %.2f messages, %.0f bytes, %.2f steps, %.3f calls",
				idle.messages, idle.bytes, idle.steps, idle.calls)
			if idle.messages > maxIdleMessages || idle.bytes > maxIdleBytes || idle.steps > maxIdleSteps || idle.calls > 0.1 {
				t.Error("an idle cluster exceeds the bounds on messages, bytes, steps or calls")
			}

			killedAt := fleet.loop.Now()
			victim := fleet.hosts[size/2]
			fleet.kill(victim)
			if took, done := fleet.runUntil(maxDetection, fleet.converged); !done {
				t.Errorf("not all members know of the death after %v", took)
			}
			took := fleet.deathTimes(victim, killedAt)
			t.Logf("death reported after: median %v, 99 %% %v, longest %v", took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
			if deaths := fleet.died(0, victim.member.Name); len(deaths) > 0 {
				t.Errorf("%d false deaths, first: %s", len(deaths), deaths[0])
			}
			if fleet.largest > MaxDatagramBytes {
				t.Errorf("a datagram has %d bytes, more than MaxDatagramBytes", fleet.largest)
			}
		})
	}
}

// totals holds averages over all hosts.
type totals struct{ messages, bytes, steps, calls, callBytes float64 }

func (c *cluster) totals() totals {
	var sum totals
	for _, h := range c.hosts {
		sum.messages += float64(h.sent)
		sum.bytes += float64(h.bytes)
		sum.steps += float64(h.steps)
	}
	size := float64(len(c.hosts))
	return totals{sum.messages / size, sum.bytes / size, sum.steps / size, float64(c.calls) / size, float64(c.callBytes) / size}
}

func (t totals) since(before totals, seconds float64) totals {
	return totals{
		messages:  (t.messages - before.messages) / seconds,
		bytes:     (t.bytes - before.bytes) / seconds,
		steps:     (t.steps - before.steps) / seconds,
		calls:     (t.calls - before.calls) / seconds,
		callBytes: (t.callBytes - before.callBytes) / seconds,
	}
}

// deathTimes returns the sorted times from a kill until each host reported the death.
func (c *cluster) deathTimes(victim *host, killedAt time.Duration) []time.Duration {
	var times []time.Duration
	for _, h := range c.running() {
		for _, change := range h.events {
			if change.Kind == MemberDied && change.Member.Name == victim.member.Name {
				times = append(times, (change.At - killedAt).Round(time.Millisecond))
			}
		}
	}
	slices.Sort(times)
	return times
}
