package controller

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// maxConclusiveAttempts is how often an operator sends an order at most until the response is conclusive.
const maxConclusiveAttempts = 200

// leaderFailures are the ways in which a leader fails.
var leaderFailures = []struct {
	name   string
	inject func(c *faultyCluster, leader *testMachine)
}{
	{"killed", func(c *faultyCluster, leader *testMachine) { c.restart(leader, false) }},
	{"power lost", func(c *faultyCluster, leader *testMachine) { c.restart(leader, true) }},
	{"power of all lost", func(c *faultyCluster, _ *testMachine) {
		for _, m := range c.controllers() {
			c.restart(m, true)
		}
	}},
	{"partitioned", func(c *faultyCluster, leader *testMachine) { c.partition(leader, true, true) }},
	{"outbound links blocked", func(c *faultyCluster, leader *testMachine) { c.partition(leader, true, false) }},
	{"inbound links blocked", func(c *faultyCluster, leader *testMachine) { c.partition(leader, false, true) }},
	{"frozen", func(c *faultyCluster, leader *testMachine) { c.frozen[leader] = true }},
	{"disk lost", func(_ *faultyCluster, leader *testMachine) { leader.wipe() }},
}

// maxSteps is the number of steps of the cluster within which an order is committed and acknowledged.
const maxSteps = 9

// runOperators runs operators concurrently while virtual time advances. At each step of the cluster, event gets the number of steps
// before it.
func (c *faultyCluster) runOperators(event func(step int), calls ...func(o *operator)) {
	c.t.Helper()
	var working sync.WaitGroup
	for number, do := range calls {
		o := c.operator(number)
		working.Add(1)
		go func() {
			defer working.Done()
			o.sleep(0)
			do(o)
		}()
	}
	step := 0
	done := make(chan struct{})
	go func() {
		working.Wait()
		close(done)
	}()
	c.wait("operators end", maxRunTime, func() bool {
		event(step)
		step++
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
}

// startedRollouts holds the log indexes of the roll-outs that any member has seen start, by service, target and duration.
type startedRollouts map[string]map[uint64]bool

func (s startedRollouts) observe(c *faultyCluster) {
	for _, m := range c.sorted() {
		if !m.running {
			continue
		}
		snapshot := m.controller.state.rollouts.Snapshot()
		for _, started := range snapshot.Rollouts {
			s.add(started.Service, started.Target, started.DurationMs, started.Index)
		}
		for _, recent := range snapshot.Recent { // a roll-out may have been replaced between two observations
			s.add(recent.Service, recent.Target, recent.DurationMs, recent.Index)
		}
	}
}

func (s startedRollouts) add(service, target string, overMs int64, index uint64) {
	name := fmt.Sprint(service, " ", target, " ", overMs)
	if s[name] == nil {
		s[name] = map[uint64]bool{}
	}
	s[name][index] = true
}

// wantAcknowledged repeats an order while responses are inconclusive, and checks that the first conclusive one is 200.
func wantAcknowledged(t testing.TB, o *operator, what string, attempt func() reply) {
	t.Helper()
	var rejections []reply
	acknowledged := o.retryUntilConclusive(maxConclusiveAttempts, func() bool {
		got := attempt()
		switch got.status {
		case http.StatusOK:
			return true
		case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			return false
		}
		rejections = append(rejections, got)
		return true
	})
	if !acknowledged || len(rejections) > 0 {
		t.Errorf("%s: acknowledged: %v, other responses: %v", what, acknowledged, rejections)
	}
}

// disturbances are events between an order and its duplicate.
var disturbances = []struct {
	name  string
	apply func(c *faultyCluster)
}{
	{"nothing", func(*faultyCluster) {}},
	{"an election", func(c *faultyCluster) {
		leader := c.leader()
		leader.kill()
		c.wait("another leader", 5*time.Second, func() bool { return c.leader() != nil })
		leader.start()
	}},
	{"a restart of all", func(c *faultyCluster) { c.restartAll(0) }},
	{"clocks ahead", func(c *faultyCluster) {
		for _, m := range c.sorted() {
			m.skew = 2 * time.Second
		}
	}},
	{"clocks ahead, and a restart of all", func(c *faultyCluster) { c.restartAll(2 * time.Second) }},
	{"clocks behind, and a restart of all", func(c *faultyCluster) { c.restartAll(-2 * time.Second) }},
	{"a frozen leader", func(c *faultyCluster) {
		c.frozen[c.leader()] = true
		c.advance(2 * time.Second)
		clear(c.frozen)
	}},
	{"a lost disk", func(c *faultyCluster) {
		c.leader().wipe()
		c.wait("the group is complete", 20*time.Second, c.isComplete)
	}},
}

// restartAll has all machines lose power and restart with skewed wall clocks.
func (c *faultyCluster) restartAll(skew time.Duration) {
	c.t.Helper()
	for _, m := range c.sorted() {
		m.skew = skew
		c.restart(m, true)
	}
	c.wait("all run", 5*time.Second, func() bool {
		return !slices.ContainsFunc(c.sorted(), func(m *testMachine) bool { return !m.running })
	})
}

// advance advances virtual time.
func (c *faultyCluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
	}
}

// commit proposes a command to the leader of the configuration shard until it is committed.
func (c *faultyCluster) commit(command Command) {
	c.t.Helper()
	done := false
	c.wait("the command is committed", 10*time.Second, func() bool {
		if leader := c.leader(); leader != nil && !done {
			leader.controller.Group().ProposeAsync(command, func(_ any, err error) { done = err == nil })
			c.advance(10 * clusterStep)
		}
		return done
	})
}
