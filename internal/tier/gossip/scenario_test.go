package gossip

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/view"
)

// scenario returns an error when the protocol violates what its name says.
type scenario struct {
	name string
	run  func(seed uint64) error
}

var scenarios = []scenario{
	{"given a calm network, when an update is written, then all get it soon", written},
	{"given many writes, when they follow one another, then all end with the newest", manyWrites},
	{"given a leader that was replaced, when it still writes, then nobody goes back", formerLeader},
	{"given a member that restarts empty, when it sends its digest, then it gets all", restartsEmpty},
	{"given a partitioned member, when the partition heals, then it catches up", partitioned},
	{"given a source that hangs, when others have announced, then they are asked", hangingSource},
	{"given a source that dies, when others have announced, then they are asked", dyingSource},
	{"given a stale member, when it sends its digest, then it is answered", answersDigest},
	{"given heavy loss, when an update is written, then digests repair the loss", heavyLoss},
	{"given an update that comes twice, when it is the same, then it is reported once", duplicate},
}

func written(seed uint64) error {
	w := newCluster(32, seed)
	w.runFor(2 * time.Second)
	update := w.write(w.hosts[0], view.ConfigurationSection, 1, 1)
	return w.expectAll(update, 4*time.Second)
}

func manyWrites(seed uint64) error {
	w := newCluster(32, seed)
	var last, endpoints view.Update
	for i := range uint64(40) {
		last = w.write(w.hosts[i%3], view.ConfigurationSection, 1+i/10, i)
		endpoints = w.write(w.hosts[3], view.EndpointsSection, 1, i)
		w.runFor(time.Duration(w.random.Int64N(int64(100 * time.Millisecond))))
	}
	if err := w.expectAll(last, 4*time.Second); err != nil {
		return err
	}
	return w.expectAll(endpoints, 4*time.Second)
}

func formerLeader(seed uint64) error {
	w := newCluster(16, seed)
	newer := w.write(w.hosts[1], view.PlacementSection, 2, 1)
	w.runFor(20 * time.Millisecond)
	w.write(w.hosts[0], view.PlacementSection, 1, 900)
	w.runFor(5 * time.Second)
	for _, h := range w.hosts {
		if held := h.gossiper.store.Stamp(view.PlacementSection); held != newer.Stamp {
			return fmt.Errorf("%s holds %v", h.address, held)
		}
	}
	return w.violation
}

func restartsEmpty(seed uint64) error {
	w := newCluster(16, seed)
	configuration := w.write(w.hosts[0], view.ConfigurationSection, 1, 1)
	endpoints := w.write(w.hosts[1], view.EndpointsSection, 1, 1)
	w.runFor(5 * time.Second)
	w.kill(w.hosts[5])
	w.runFor(time.Second)
	w.start(w.hosts[5])
	if err := w.expectAll(configuration, 3*time.Second); err != nil {
		return err
	}
	return w.expectAll(endpoints, 3*time.Second)
}

func partitioned(seed uint64) error {
	w := newCluster(16, seed)
	lost := w.hosts[7]
	w.blocked = func(from, to *host) bool { return from == lost || to == lost }
	update := w.write(w.hosts[0], view.ConfigurationSection, 1, 1)
	w.runFor(10 * time.Second)
	if holding, running := w.holds(update.Section, update.Stamp); holding != running-1 {
		return fmt.Errorf("%d have it during the partition", holding)
	}
	w.blocked = func(from, to *host) bool { return false }
	return w.expectAll(update, 4*time.Second)
}

// announceTo announces an update to a host from several that have it.
func (w *cluster) announceTo(h *host, update view.Update, holders ...*host) {
	for _, holder := range holders {
		message := Message{Digest: view.Digest{update.Section: update.Stamp}}
		w.step(h, Input{Datagrams: []Datagram{{holder.address, message}}})
	}
}

// announcedUpdate is the update that is announced in clusters without digests.
var announcedUpdate = view.Update{Section: view.EndpointsSection, Stamp: view.Stamp{Term: 1, Sequence: 1}}

// clusterWithoutDigests starts a cluster in which nobody sends complete digests.
func clusterWithoutDigests(size int, seed uint64) *cluster {
	w := newCluster(size, seed)
	w.options.DigestInterval = -1
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func hangingSource(seed uint64) error {
	w := clusterWithoutDigests(4, seed)
	w.runFor(time.Second)
	w.hosts[0].gossiper.store.Put(announcedUpdate)
	w.hosts[0].hangs = true
	w.hosts[1].gossiper.store.Put(announcedUpdate)
	w.announceTo(w.hosts[2], announcedUpdate, w.hosts[0], w.hosts[1])
	w.runFor(time.Second)
	if w.hosts[2].gossiper.store.Stamp(announcedUpdate.Section) != announcedUpdate.Stamp {
		return fmt.Errorf("the other source was not asked")
	}
	return w.violation
}

func dyingSource(seed uint64) error {
	w := clusterWithoutDigests(4, seed)
	w.runFor(time.Second)
	w.hosts[1].gossiper.store.Put(announcedUpdate)
	w.kill(w.hosts[0])
	w.announceTo(w.hosts[2], announcedUpdate, w.hosts[0], w.hosts[1])
	w.runFor(300 * time.Millisecond)
	if w.hosts[2].gossiper.store.Stamp(announcedUpdate.Section) != announcedUpdate.Stamp {
		return fmt.Errorf("the other source was not asked")
	}
	return w.violation
}

func answersDigest(seed uint64) error {
	w := clusterWithoutDigests(2, seed)
	w.loss = 0
	w.runFor(3 * time.Second)
	w.hosts[0].gossiper.store.Put(announcedUpdate)
	w.step(w.hosts[0], Input{Datagrams: []Datagram{{w.hosts[1].address, w.hosts[1].gossiper.CompleteDigest()}}})
	w.runFor(100 * time.Millisecond)
	if w.hosts[1].gossiper.store.Stamp(announcedUpdate.Section) != announcedUpdate.Stamp {
		return fmt.Errorf("the stale member was not answered")
	}
	return w.violation
}

func heavyLoss(seed uint64) error {
	w := newCluster(24, seed)
	w.loss = 0.6
	update := w.write(w.hosts[0], view.RolloutsSection, 1, 1)
	return w.expectAll(update, 15*time.Second)
}

func duplicate(seed uint64) error {
	w := newCluster(4, seed)
	update := w.write(w.hosts[0], view.RolloutsSection, 1, 1)
	w.step(w.hosts[0], Input{Updates: []view.Update{update, update}})
	return w.expectAll(update, 4*time.Second)
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
