package gossip

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/view"
)

// scenario is a test case whose run returns an error if the protocol violates the behaviour in its name.
type scenario struct {
	name string
	run  func(seed uint64) error
}

var scenarios = []scenario{
	{"given a network without faults, when an update is written, then all members get it soon", written},
	{"given many writes, when they follow each other, then all members end with the newest", manyWrites},
	{"given a leader that was replaced, when it still writes, then no member reverts to its update", formerLeader},
	{"given a member that restarts empty, when it sends its digest, then it gets all updates", restartsEmpty},
	{"given a partitioned member, when the partition heals, then it catches up", partitioned},
	{"given a source that hangs, when others have announced, then they are asked", hangingSource},
	{"given a source that dies, when others have announced, then they are asked", dyingSource},
	{"given a stale member, when it sends its digest, then it is answered", answersDigest},
	{"given heavy loss, when an update is written, then digests repair the loss", heavyLoss},
	{"given an update that comes twice, when it is the same, then it is reported once", duplicate},
}

func written(seed uint64) error {
	fleet := newCluster(32, seed)
	fleet.runFor(2 * time.Second)
	update := fleet.write(fleet.hosts[0], view.ConfigurationSection, 1, 1)
	return fleet.expectAll(update, 4*time.Second)
}

func manyWrites(seed uint64) error {
	fleet := newCluster(32, seed)
	var last, endpoints view.Update
	for i := range uint64(40) {
		last = fleet.write(fleet.hosts[i%3], view.ConfigurationSection, 1+i/10, i)
		endpoints = fleet.write(fleet.hosts[3], view.EndpointsSection, 1, i)
		fleet.runFor(time.Duration(fleet.random.Int64N(int64(100 * time.Millisecond))))
	}
	if err := fleet.expectAll(last, 4*time.Second); err != nil {
		return err
	}
	return fleet.expectAll(endpoints, 4*time.Second)
}

func formerLeader(seed uint64) error {
	fleet := newCluster(16, seed)
	newer := fleet.write(fleet.hosts[1], view.PlacementSection, 2, 1)
	fleet.runFor(20 * time.Millisecond)
	fleet.write(fleet.hosts[0], view.PlacementSection, 1, 900)
	fleet.runFor(5 * time.Second)
	for _, h := range fleet.hosts {
		if stamp := h.gossiper.store.Stamp(view.PlacementSection); stamp != newer.Stamp {
			return fmt.Errorf("%s has stamp %v, want that of the newer leader", h.address, stamp)
		}
	}
	return fleet.violation
}

func restartsEmpty(seed uint64) error {
	fleet := newCluster(16, seed)
	configuration := fleet.write(fleet.hosts[0], view.ConfigurationSection, 1, 1)
	endpoints := fleet.write(fleet.hosts[1], view.EndpointsSection, 1, 1)
	fleet.runFor(5 * time.Second)
	fleet.kill(fleet.hosts[5])
	fleet.runFor(time.Second)
	fleet.start(fleet.hosts[5])
	if err := fleet.expectAll(configuration, 3*time.Second); err != nil {
		return err
	}
	return fleet.expectAll(endpoints, 3*time.Second)
}

func partitioned(seed uint64) error {
	fleet := newCluster(16, seed)
	lost := fleet.hosts[7]
	fleet.blocked = func(from, to *host) bool { return from == lost || to == lost }
	update := fleet.write(fleet.hosts[0], view.ConfigurationSection, 1, 1)
	fleet.runFor(10 * time.Second)
	if reached, running := fleet.countReached(update.Section, update.Stamp); reached != running-1 {
		return fmt.Errorf("%d members have the update during the partition, want all but one", reached)
	}
	fleet.blocked = func(_, _ *host) bool { return false }
	return fleet.expectAll(update, 4*time.Second)
}

// announceTo announces an update to a host in the name of several holders.
func (c *cluster) announceTo(h *host, update view.Update, holders ...*host) {
	for _, holder := range holders {
		message := Message{Digest: view.Digest{update.Section: update.Stamp}}
		c.step(h, Input{Datagrams: []Datagram{{holder.address, message}}})
	}
}

// announcedUpdate is the update that scenarios in clusters without digests use.
var announcedUpdate = view.Update{Section: view.EndpointsSection, Stamp: view.Stamp{Term: 1, Sequence: 1}}

// clusterWithoutDigests starts a cluster whose hosts do not send complete digests periodically.
func clusterWithoutDigests(size int, seed uint64) *cluster {
	fleet := newCluster(size, seed)
	fleet.options.DigestInterval = -1
	for _, h := range fleet.hosts {
		fleet.start(h)
	}
	return fleet
}

func hangingSource(seed uint64) error {
	fleet := clusterWithoutDigests(4, seed)
	fleet.runFor(time.Second)
	fleet.hosts[0].gossiper.store.Put(announcedUpdate)
	fleet.hosts[0].hangs = true
	fleet.hosts[1].gossiper.store.Put(announcedUpdate)
	fleet.announceTo(fleet.hosts[2], announcedUpdate, fleet.hosts[0], fleet.hosts[1])
	fleet.runFor(time.Second)
	if fleet.hosts[2].gossiper.store.Stamp(announcedUpdate.Section) != announcedUpdate.Stamp {
		return fmt.Errorf("the update was not fetched from the other source")
	}
	return fleet.violation
}

func dyingSource(seed uint64) error {
	fleet := clusterWithoutDigests(4, seed)
	fleet.runFor(time.Second)
	fleet.hosts[1].gossiper.store.Put(announcedUpdate)
	fleet.kill(fleet.hosts[0])
	fleet.announceTo(fleet.hosts[2], announcedUpdate, fleet.hosts[0], fleet.hosts[1])
	fleet.runFor(300 * time.Millisecond)
	if fleet.hosts[2].gossiper.store.Stamp(announcedUpdate.Section) != announcedUpdate.Stamp {
		return fmt.Errorf("the update was not fetched from the other source")
	}
	return fleet.violation
}

func answersDigest(seed uint64) error {
	fleet := clusterWithoutDigests(2, seed)
	fleet.loss = 0
	fleet.runFor(3 * time.Second)
	fleet.hosts[0].gossiper.store.Put(announcedUpdate)
	fleet.step(fleet.hosts[0], Input{Datagrams: []Datagram{{fleet.hosts[1].address, fleet.hosts[1].gossiper.CompleteDigest()}}})
	fleet.runFor(100 * time.Millisecond)
	if fleet.hosts[1].gossiper.store.Stamp(announcedUpdate.Section) != announcedUpdate.Stamp {
		return fmt.Errorf("the stale member did not get the update")
	}
	return fleet.violation
}

func heavyLoss(seed uint64) error {
	fleet := newCluster(24, seed)
	fleet.loss = 0.6
	update := fleet.write(fleet.hosts[0], view.RolloutsSection, 1, 1)
	return fleet.expectAll(update, 15*time.Second)
}

func duplicate(seed uint64) error {
	fleet := newCluster(4, seed)
	update := fleet.write(fleet.hosts[0], view.RolloutsSection, 1, 1)
	fleet.step(fleet.hosts[0], Input{Updates: []view.Update{update, update}})
	return fleet.expectAll(update, 4*time.Second)
}

func TestScenarios(t *testing.T) {
	t.Parallel()
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(campaignSeeds) {
				if err := s.run(seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}
