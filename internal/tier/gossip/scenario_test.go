package gossip

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/view"
)

// scenario is a story that ends in an error when the protocol does not keep what it promises.
type scenario struct {
	name string
	run  func(seed uint64) error
}

var scenarios = []scenario{
	{"given a calm network, when a piece is written, then all get it soon", written},
	{"given many writes, when they follow one another, then all end with the newest", manyWrites},
	{"given an owner that was replaced, when it still writes, then nobody goes back", fencedOwner},
	{"given a member that restarts empty, when it asks, then it gets all", restartsEmpty},
	{"given a member that was cut off, when it is back, then it catches up", cutOff},
	{"given a source that hangs, when others have announced, then they are asked", hangingSource},
	{"given a source that dies, when others have announced, then they are asked", dyingSource},
	{"given a member behind, when it tells its digest, then it is told back", toldBack},
	{"given heavy loss, when a piece is written, then exchanges bring it", heavyLoss},
	{"given a piece that comes twice, when it is the same, then it is reported once", twice},
}

func written(seed uint64) error {
	w := newNetwork(32, seed)
	w.runFor(2 * time.Second)
	piece := w.write(w.hosts[0], view.ConfigurationSection, 1, 1)
	return w.expectAll(piece, 4*time.Second)
}

func manyWrites(seed uint64) error {
	w := newNetwork(32, seed)
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

func fencedOwner(seed uint64) error {
	w := newNetwork(16, seed)
	newer := w.write(w.hosts[1], view.PlacementSection, 2, 1)
	w.runFor(20 * time.Millisecond)
	w.write(w.hosts[0], view.PlacementSection, 1, 900)
	w.runFor(5 * time.Second)
	for _, h := range w.hosts {
		if held := h.spreader.store.Stamp(view.PlacementSection); held != newer.Stamp {
			return fmt.Errorf("%s holds %v", h.address, held)
		}
	}
	return w.broken
}

func restartsEmpty(seed uint64) error {
	w := newNetwork(16, seed)
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

func cutOff(seed uint64) error {
	w := newNetwork(16, seed)
	lost := w.hosts[7]
	w.blocked = func(from, to *host) bool { return from == lost || to == lost }
	piece := w.write(w.hosts[0], view.ConfigurationSection, 1, 1)
	w.runFor(10 * time.Second)
	if holding, running := w.holds(piece.Section, piece.Stamp); holding != running-1 {
		return fmt.Errorf("%d hold it during the cut", holding)
	}
	w.blocked = func(from, to *host) bool { return false }
	return w.expectAll(piece, 4*time.Second)
}

// toldOfBy makes a host learn of a piece from several that hold it.
func (w *network) toldOfBy(h *host, piece view.Update, holders ...*host) {
	for _, holder := range holders {
		message := Message{Digest: view.Digest{piece.Section: piece.Stamp}}
		w.step(h, Input{Datagrams: []Datagram{{holder.address, message}}})
	}
}

// announced is the piece that is told of in networks without exchanges.
var announced = view.Update{Section: view.EndpointsSection, Stamp: view.Stamp{Term: 1, Sequence: 1}}

// withoutExchanges starts a network in which nobody sends whole digests.
func withoutExchanges(size int, seed uint64) *network {
	w := newNetwork(size, seed)
	w.options.DigestInterval = -1
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func hangingSource(seed uint64) error {
	w := withoutExchanges(4, seed)
	w.runFor(time.Second)
	w.hosts[0].spreader.store.Put(announced)
	w.hosts[0].hangs = true
	w.hosts[1].spreader.store.Put(announced)
	w.toldOfBy(w.hosts[2], announced, w.hosts[0], w.hosts[1])
	w.runFor(time.Second)
	if w.hosts[2].spreader.store.Stamp(announced.Section) != announced.Stamp {
		return fmt.Errorf("the other source was not asked")
	}
	return w.broken
}

func dyingSource(seed uint64) error {
	w := withoutExchanges(4, seed)
	w.runFor(time.Second)
	w.hosts[1].spreader.store.Put(announced)
	w.kill(w.hosts[0])
	w.toldOfBy(w.hosts[2], announced, w.hosts[0], w.hosts[1])
	w.runFor(300 * time.Millisecond)
	if w.hosts[2].spreader.store.Stamp(announced.Section) != announced.Stamp {
		return fmt.Errorf("the other source was not asked")
	}
	return w.broken
}

func toldBack(seed uint64) error {
	w := withoutExchanges(2, seed)
	w.loss = 0
	w.runFor(3 * time.Second)
	w.hosts[0].spreader.store.Put(announced)
	w.step(w.hosts[0], Input{Datagrams: []Datagram{{w.hosts[1].address, w.hosts[1].spreader.CompleteDigest()}}})
	w.runFor(100 * time.Millisecond)
	if w.hosts[1].spreader.store.Stamp(announced.Section) != announced.Stamp {
		return fmt.Errorf("the member behind was not told")
	}
	return w.broken
}

func heavyLoss(seed uint64) error {
	w := newNetwork(24, seed)
	w.loss = 0.6
	piece := w.write(w.hosts[0], view.RolloutsSection, 1, 1)
	return w.expectAll(piece, 15*time.Second)
}

func twice(seed uint64) error {
	w := newNetwork(4, seed)
	piece := w.write(w.hosts[0], view.RolloutsSection, 1, 1)
	w.step(w.hosts[0], Input{Pieces: []view.Update{piece, piece}})
	return w.expectAll(piece, 4*time.Second)
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
