package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mastusher/internal/tier/view"
)

// Bounds on the measurements.
const (
	maxIdleMessages = 1.2   // per member and second
	maxIdleBytes    = 300.0 // per member and second
	maxSpread       = 4 * time.Second
)

// TestCluster_SpreadAndCost_WithinTheBounds measures, with 2 % datagram loss, the messages and bytes of an idle cluster and the time
// in which a new update reaches all hosts.
func TestCluster_SpreadAndCost_WithinTheBounds(t *testing.T) {
	t.Parallel()
	for _, size := range []int{16, 100, 380, 1000} {
		if size > largestFleet {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(size, 11)
			for _, section := range []view.Section{view.ConfigurationSection, view.EndpointsSection, view.RolloutsSection, view.PlacementSection} {
				fleet.write(fleet.hosts[0], section, 1, 1)
			}
			fleet.runFor(5 * time.Second)
			const idleSeconds = 10
			messages, bytes := fleet.messages, fleet.bytes
			fleet.runFor(idleSeconds * time.Second)
			perSecond := 1 / float64(size*idleSeconds)
			idleMessages, idleBytes := float64(fleet.messages-messages)*perSecond, float64(fleet.bytes-bytes)*perSecond
			t.Logf("idle, per member and second: %.2f messages, %.0f bytes", idleMessages, idleBytes)
			if idleMessages > maxIdleMessages || idleBytes > maxIdleBytes {
				t.Error("an idle cluster exceeds maxIdleMessages or maxIdleBytes")
			}

			var times []time.Duration
			messages, fetches := fleet.messages, fleet.fetches
			const writes = 10
			for i := range uint64(writes) {
				author := fleet.hosts[fleet.random.IntN(size)]
				started := fleet.loop.Now()
				fleet.write(author, view.EndpointsSection, 1, 2+i)
				fleet.runFor(maxSpread)
				times = append(times, fleet.spreadTimes(t, view.Stamp{Term: 1, Sequence: 2 + i}, started)...)
			}
			slices.Sort(times)
			t.Logf("a new update arrives after: median %v, 99 %% %v, longest %v; each write takes %.2f messages and %.2f fetches per member",
				times[len(times)/2], times[len(times)*99/100], times[len(times)-1],
				float64(fleet.messages-messages)/float64(size*writes)-idleMessages*maxSpread.Seconds(),
				float64(fleet.fetches-fetches)/float64(size*writes))
			if fleet.violation != nil {
				t.Error(fleet.violation)
			}
		})
	}
}

// spreadTimes returns how long each host waited for an update of the endpoints.
func (c *cluster) spreadTimes(t *testing.T, stamp view.Stamp, started time.Duration) []time.Duration {
	var times []time.Duration
	for _, h := range c.hosts {
		if h.reported[view.EndpointsSection] != stamp {
			t.Errorf("%s does not have stamp %v after %v", h.address, stamp, maxSpread)
			continue
		}
		times = append(times, (h.reportedAt[view.EndpointsSection] - started).Round(time.Millisecond))
	}
	return times
}
