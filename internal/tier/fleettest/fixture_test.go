package fleettest

import (
	"net/http"
	"os"
	"testing"
	"time"

	"mastusher/internal/tier/placement"
)

// story is a fleet in a test, with words for what happens to it.
type story struct {
	*Fleet
	t        *testing.T
	operator *operator
	rival    *operator
}

// newStory lays a fleet out that has not been started.
func newStory(t *testing.T, seed uint64) *story {
	return newStoryWith(t, Options{Seed: seed})
}

func newStoryWith(t *testing.T, options Options) *story {
	t.Helper()
	if os.Getenv("FLEET_TRACE") != "" {
		options.Trace = t.Logf
	}
	f := New(options)
	s := &story{Fleet: f, t: t, operator: f.operators[0], rival: f.operators[1]}
	t.Cleanup(func() {
		for _, violation := range f.Violations() {
			t.Error(violation)
		}
	})
	return s
}

// serving gives a fleet in which configuration 1 is in force and all proxies are ready.
func serving(t *testing.T, seed uint64) *story {
	t.Helper()
	s := newStory(t, seed)
	s.startServing()
	return s
}

func (s *story) startServing() {
	s.t.Helper()
	s.Boot()
	s.acknowledged(s.operator.put(0, 1))
	s.within(10*time.Second, "all proxies are ready", func() bool { return len(s.readyProxies()) == len(s.edges) })
}

// within fails the test unless the condition holds in time.
func (s *story) within(most time.Duration, what string, holds func() bool) {
	s.t.Helper()
	if !s.Until(most, holds) {
		s.t.Fatalf("after %v it does not hold that %s", most, what)
	}
}

// confirmTime is how long an order may take in a core that is stable.
const confirmTime = 10 * time.Second

// acknowledged plays until an order is acknowledged.
func (s *story) acknowledged(o *order) {
	s.t.Helper()
	s.answered(o)
	if o.Status != http.StatusOK {
		s.t.Fatalf("order %v was answered %d", o.Content, o.Status)
	}
}

// answered plays until an order has a clear answer.
func (s *story) answered(o *order) {
	s.t.Helper()
	s.within(confirmTime, "the order is answered", func() bool { return o.Ended != 0 })
}

// readsBack plays until the configuration is read back, and compares it.
func (s *story) readsBack(want Content) {
	s.t.Helper()
	read := s.operator.get()
	s.within(confirmTime, "the configuration is read back", func() bool { return read.Ended != 0 })
	if read.Content != want {
		s.t.Errorf("read back %v, want %v", read.Content, want)
	}
}

// inForceEverywhere plays until every proxy has a configuration in force.
func (s *story) inForceEverywhere(want Content) {
	s.t.Helper()
	s.within(5*time.Second, "all proxies have it in force", func() bool {
		for _, m := range s.edges {
			serving, ok := m.processes[1].handler.(*proxy)
			if !ok || serving.config == nil || contentOf(serving.config) != want {
				return false
			}
		}
		return true
	})
}

// owner plays until the configuration has an owner, and gives it.
func (s *story) owner() *Machine {
	s.t.Helper()
	s.within(confirmTime, "the core has an owner", func() bool { return s.CoreOwner() != nil })
	return s.CoreOwner()
}

// others lists machines without some.
func others(machines []*Machine, without ...*Machine) []*Machine {
	var kept []*Machine
next:
	for _, m := range machines {
		for _, w := range without {
			if m == w {
				continue next
			}
		}
		kept = append(kept, m)
	}
	return kept
}

// seeds runs a story with several seeds.
func seeds(t *testing.T, count uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range max(1, count/seedShare) {
		run(t, seed+1)
		if t.Failed() {
			t.Fatalf("seed %d", seed+1)
		}
	}
}

// playsWhole plays a program to its end.
func (s *story) playsWhole(turns int) {
	s.t.Helper()
	var last *request
	s.within(10*time.Second, "a proxy is ready", func() bool { return len(s.readyProxies()) > 0 })
	s.clients.play(turns, 0, true, func(r *request) { last = r })
	s.within(30*time.Second, "a program has ended", func() bool { return last != nil })
	if last.Outcome != whole {
		s.t.Errorf("the program's last turn ended with outcome %d, status %d", last.Outcome, last.Status)
	}
}

// turn sends a turn to a proxy and plays until it has ended.
func (s *story) turn(proxy *Machine, sent clientRequest) *request {
	s.t.Helper()
	r := s.begin(proxy, sent)
	s.within(2*requestTime, "the turn has ended", func() bool { return r.Outcome != underWay })
	return r
}

// begin sends a turn to a proxy.
func (s *story) begin(proxy *Machine, sent clientRequest) *request {
	sent.IsTurn, sent.Service = true, modelService
	if sent.Most == 0 {
		sent.Most = turnMost
	}
	if sent.Input == nil {
		sent.Input = []byte("input ")
	}
	return s.clients.send(proxy.processes[1].address, sent, nil)
}

// wholeTurn sends a turn until one is answered whole.
func (s *story) wholeTurn(proxy *Machine, sent clientRequest) *request {
	s.t.Helper()
	for range 10 {
		r := s.turn(proxy, sent)
		if r.Outcome == whole {
			return r
		}
		s.RunFor(300 * time.Millisecond)
	}
	s.t.Fatalf("no turn of %s is answered whole", sent.Program)
	return nil
}

// ownerOf gives the store that owns a program's shard.
func (s *story) ownerOf(program string) *Machine {
	s.t.Helper()
	shard := s.shardOf(program)
	s.within(10*time.Second, "the shard has an owner", func() bool { return s.ShardOwner(shard) != nil })
	return s.ShardOwner(shard)
}

// shardOf gives a program's shard.
func (s *story) shardOf(program string) int {
	s.t.Helper()
	for _, m := range s.edges {
		if serving, ok := m.processes[1].handler.(*proxy); ok && serving.programs.isPlaced() {
			return placement.Shard(program, len(serving.programs.placed.Shards))
		}
	}
	s.t.Fatal("no proxy knows the placement")
	return 0
}

// skipWhereWatched skips a long test where each memory access is watched: a day is played by one goroutine.
func skipWhereWatched(t *testing.T) {
	t.Helper()
	if seedShare > 1 {
		t.Skip("it takes long where each memory access is watched, and a day is played by one goroutine")
	}
}
