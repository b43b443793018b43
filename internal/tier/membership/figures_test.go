package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Bounds on the figures, in units of time or per member and second.
const (
	maxMeeting      = 15 * time.Second // until all that started at once know all
	maxDetection    = 15 * time.Second // until all know of a death
	maxMessagesCalm = 5.0
	maxBytesCalm    = 3000.0
	maxStepsCalm    = 5.0
)

// TestFleet_CostAndDetection_WithinTheBounds measures what a fleet of each size costs, and how long it takes to meet and to see a death, with 2 % loss.
func TestFleet_CostAndDetection_WithinTheBounds(t *testing.T) {
	t.Parallel()
	for _, size := range []int{16, 100, 380, 1000} {
		if size > largestFleet {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(size, 7)
			const quietSeconds = 12 // until the updates of the start are no longer broadcast
			fleet.measure = true
			fleet.startAll()
			fleet.runFor(300 * time.Millisecond)
			met, done := fleet.runUntil(maxMeeting, fleet.converged)
			if !done {
				t.Fatalf("not all know all after %v", met)
			}
			start := fleet.totals()
			t.Logf("all met after %v; in that time %.0f bytes a member in datagrams, %.0f in %.1f calls",
				met, start.bytes, start.callBytes, start.calls)

			fleet.runFor(quietSeconds * time.Second)
			before := fleet.totals()
			const calmSeconds = 10
			fleet.runFor(calmSeconds * time.Second)
			calm := fleet.totals().since(before, calmSeconds)
			t.Logf("calm, for each member and second: %.2f messages, %.0f bytes, %.2f steps, %.3f calls",
				calm.messages, calm.bytes, calm.steps, calm.calls)
			if calm.messages > maxMessagesCalm || calm.bytes > maxBytesCalm || calm.steps > maxStepsCalm || calm.calls > 0.1 {
				t.Error("a calm fleet costs too much")
			}

			killedAt := fleet.loop.Now()
			victim := fleet.hosts[size/2]
			fleet.kill(victim)
			if took, done := fleet.runUntil(maxDetection, fleet.converged); !done {
				t.Errorf("not all see the death after %v", took)
			}
			took := fleet.deathTimes(victim, killedAt)
			t.Logf("death seen after: median %v, 99 %% %v, longest %v", took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
			if deaths := fleet.died(0, victim.member.Name); len(deaths) > 0 {
				t.Errorf("%d false deaths, first: %s", len(deaths), deaths[0])
			}
			if fleet.largest > MaxDatagramBytes {
				t.Errorf("a datagram of %d bytes", fleet.largest)
			}
		})
	}
}

// totals are sums over all hosts, divided by their number.
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

// deathTimes lists, in order, how long after a kill each host reported the death.
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
