package fleettest

import (
	"net/http"
	"os"
	"testing"
	"time"

	"mastusher/internal/tier/placement"
)

// scenario is a fleet in a test, with assertions about it.
type scenario struct {
	*Fleet
	t              *testing.T
	operator       *operator
	secondOperator *operator
}

// newScenario returns a fleet that hasn't been started. The test fails at its end if there are violations.
func newScenario(t *testing.T, seed uint64) *scenario {
	return newScenarioWith(t, Options{Seed: seed})
}

func newScenarioWith(t *testing.T, options Options) *scenario {
	t.Helper()
	if os.Getenv("FLEET_TRACE") != "" {
		options.Trace = t.Logf
	}
	f := New(options)
	s := &scenario{Fleet: f, t: t, operator: f.operators[0], secondOperator: f.operators[1]}
	t.Cleanup(func() {
		for _, violation := range f.Violations() {
			t.Error(violation)
		}
	})
	return s
}

// serving returns a fleet in which configuration 1 is in force and all proxies are ready.
func serving(t *testing.T, seed uint64) *scenario {
	t.Helper()
	s := newScenario(t, seed)
	s.startServing()
	return s
}

func (s *scenario) startServing() {
	s.t.Helper()
	s.Boot()
	s.acknowledged(s.operator.put(0, 1))
	s.within(10*time.Second, "all proxies are ready", func() bool { return len(s.readyProxies()) == len(s.edges) })
}

// within runs until the condition holds, and fails the test if it doesn't within the timeout.
func (s *scenario) within(timeout time.Duration, what string, condition func() bool) {
	s.t.Helper()
	if !s.Until(timeout, condition) {
		s.t.Fatalf("this did not happen within %v: %s", timeout, what)
	}
}

// confirmTime bounds the time until an order is answered by a core whose leader is stable.
const confirmTime = 10 * time.Second

// acknowledged runs until an order is answered, and fails the test unless it was acknowledged.
func (s *scenario) acknowledged(o *order) {
	s.t.Helper()
	s.answered(o)
	if o.Status != http.StatusOK {
		s.t.Fatalf("order %v got status %d, want 200", o.Content, o.Status)
	}
}

// answered runs until an order has a final answer.
func (s *scenario) answered(o *order) {
	s.t.Helper()
	s.within(confirmTime, "the order is answered", func() bool { return o.Ended != 0 })
}

// readsBack reads the configuration and compares it with the wanted one.
func (s *scenario) readsBack(want Content) {
	s.t.Helper()
	read := s.operator.get()
	s.within(confirmTime, "the configuration is read back", func() bool { return read.Ended != 0 })
	if read.Content != want {
		s.t.Errorf("read back %v, want %v", read.Content, want)
	}
}

// inForceEverywhere runs until all proxies have the configuration in force.
func (s *scenario) inForceEverywhere(want Content) {
	s.t.Helper()
	s.within(5*time.Second, "all proxies have the configuration in force", func() bool {
		for _, m := range s.edges {
			serving, ok := m.processes[1].handler.(*proxy)
			if !ok || serving.config == nil || contentOf(serving.config) != want {
				return false
			}
		}
		return true
	})
}

// coreLeader runs until the configuration's group has a leader, and returns it.
func (s *scenario) coreLeader() *Machine {
	s.t.Helper()
	s.within(confirmTime, "the core has a leader", func() bool { return s.CoreLeader() != nil })
	return s.CoreLeader()
}

// others returns the machines except some.
func others(machines []*Machine, without ...*Machine) []*Machine {
	var remaining []*Machine
next:
	for _, m := range machines {
		for _, w := range without {
			if m == w {
				continue next
			}
		}
		remaining = append(remaining, m)
	}
	return remaining
}

// seeds runs a scenario with several seeds, until one fails.
func seeds(t *testing.T, count uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range max(1, count/seedDivisor) {
		run(t, seed+1)
		if t.Failed() {
			t.Fatalf("seed %d", seed+1)
		}
	}
}

// completesProgram runs a program to its end, and fails the test unless its last turn is complete.
func (s *scenario) completesProgram(turns int) {
	s.t.Helper()
	var last *request
	s.within(10*time.Second, "a proxy is ready", func() bool { return len(s.readyProxies()) > 0 })
	s.clients.runProgram(turns, 0, true, func(r *request) { last = r })
	s.within(30*time.Second, "a program has ended", func() bool { return last != nil })
	if last.Outcome != outcomeComplete {
		s.t.Errorf("the program's last turn ended with outcome %d, status %d", last.Outcome, last.Status)
	}
}

// turn sends a turn to a proxy and runs until it has ended.
func (s *scenario) turn(proxy *Machine, sent clientRequest) *request {
	s.t.Helper()
	r := s.begin(proxy, sent)
	s.within(2*requestTimeout, "the turn has ended", func() bool { return r.Outcome != outcomePending })
	return r
}

// begin sends a turn to a proxy without waiting for its end.
func (s *scenario) begin(proxy *Machine, sent clientRequest) *request {
	sent.IsTurn, sent.Service = true, modelService
	if sent.MaxTokens == 0 {
		sent.MaxTokens = maxTurnTokens
	}
	if sent.Input == nil {
		sent.Input = []byte("input ")
	}
	return s.clients.send(proxy.processes[1].address, sent, nil)
}

// completeTurn sends a turn, as new attempts, until one is complete.
func (s *scenario) completeTurn(proxy *Machine, sent clientRequest) *request {
	s.t.Helper()
	for range 10 {
		r := s.turn(proxy, sent)
		if r.Outcome == outcomeComplete {
			return r
		}
		s.RunFor(300 * time.Millisecond)
	}
	s.t.Fatalf("no attempt of a turn of program %s was complete", sent.Program)
	return nil
}

// testProgram is the program whose turns the scenarios send.
const testProgram = "p"

// shardLeader runs until the shard of testProgram has a leader, and returns the leader.
func (s *scenario) shardLeader() *Machine {
	s.t.Helper()
	shard := s.shardOf(testProgram)
	s.within(10*time.Second, "the shard has a leader", func() bool { return s.ShardLeader(shard) != nil })
	return s.ShardLeader(shard)
}

// shardOf returns a program's shard.
func (s *scenario) shardOf(program string) int {
	s.t.Helper()
	for _, m := range s.edges {
		if serving, ok := m.processes[1].handler.(*proxy); ok && serving.programs.isPlaced() {
			return placement.Shard(program, len(serving.programs.placed.Shards))
		}
	}
	s.t.Fatal("no proxy knows the placement")
	return 0
}

// skipUnderRace skips a long test under the race detector: a simulated day runs in one goroutine, so it cannot have data races.
func skipUnderRace(t *testing.T) {
	t.Helper()
	if seedDivisor > 1 {
		t.Skip("too slow under the race detector, which has nothing to find in a single goroutine")
	}
}
