package controller

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// maxClearAttempts is how often an operator sends an order until its answer is a clear one.
const maxClearAttempts = 200

// losses are the ways in which a leader doesn't answer any more.
var losses = []struct {
	name string
	lose func(c *faultyCluster, leader *testMachine)
}{
	{"killed", func(c *faultyCluster, leader *testMachine) { c.restart(leader, false) }},
	{"without power", func(c *faultyCluster, leader *testMachine) { c.restart(leader, true) }},
	{"all without power", func(c *faultyCluster, _ *testMachine) {
		for _, m := range c.controllers() {
			c.restart(m, true)
		}
	}},
	{"cut off", func(c *faultyCluster, leader *testMachine) { c.partition(leader, true, true) }},
	{"unheard", func(c *faultyCluster, leader *testMachine) { c.partition(leader, true, false) }},
	{"deaf", func(c *faultyCluster, leader *testMachine) { c.partition(leader, false, true) }},
	{"frozen", func(c *faultyCluster, leader *testMachine) { c.frozen[leader] = true }},
	{"its disk lost", func(_ *faultyCluster, leader *testMachine) { leader.wipe() }},
}

// maxSteps is the number of steps of the cluster within which an order is committed and answered.
const maxSteps = 9

// runOperators has operators do something at once while time passes; at each step of the cluster, event is told how many have passed.
func (c *faultyCluster) runOperators(event func(step int), does ...func(o *operator)) {
	c.t.Helper()
	var working sync.WaitGroup
	for number, do := range does {
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

// startedRollouts counts the roll-outs that have begun, by what their order names, as any member has come to know.
type startedRollouts map[string]map[uint64]bool

func (b startedRollouts) observe(c *faultyCluster) {
	for _, m := range c.sorted() {
		if !m.running {
			continue
		}
		saved := m.controller.state.rollouts.Snapshot()
		for _, roll := range saved.Rollouts {
			b.add(roll.Service, roll.Target, roll.OverMs, roll.Index)
		}
		for _, taken := range saved.Recent { // one that another has followed at once
			b.add(taken.Service, taken.Target, taken.OverMs, taken.Index)
		}
	}
}

func (b startedRollouts) add(service, target string, overMs int64, index uint64) {
	name := fmt.Sprint(service, " ", target, " ", overMs)
	if b[name] == nil {
		b[name] = map[uint64]bool{}
	}
	b[name][index] = true
}

// wantAcknowledged fails unless an order ends with 200 after answers that are no clear ones.
func wantAcknowledged(t testing.TB, o *operator, what string, attempt func() reply) {
	t.Helper()
	var refused []reply
	taken := o.retryUntilClear(maxClearAttempts, func() bool {
		got := attempt()
		switch got.status {
		case http.StatusOK:
			return true
		case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			return false
		}
		refused = append(refused, got)
		return true
	})
	if !taken || len(refused) > 0 {
		t.Errorf("%s: taken: %v, refused: %v", what, taken, refused)
	}
}

// interludes lie between an order and its repeat.
var interludes = []struct {
	name string
	pass func(c *faultyCluster)
}{
	{"nothing", func(*faultyCluster) {}},
	{"an election", func(c *faultyCluster) {
		leader := c.leader()
		leader.kill()
		c.wait("another leader", 5*time.Second, func() bool { return c.leader() != nil })
		leader.start()
	}},
	{"a restart of all", func(c *faultyCluster) { c.restartAll(0) }},
	{"clocks that go ahead", func(c *faultyCluster) {
		for _, m := range c.sorted() {
			m.skew = 2 * time.Second
		}
	}},
	{"clocks that go ahead, and a restart of all", func(c *faultyCluster) { c.restartAll(2 * time.Second) }},
	{"clocks that go back, and a restart of all", func(c *faultyCluster) { c.restartAll(-2 * time.Second) }},
	{"a leader that is frozen", func(c *faultyCluster) {
		c.frozen[c.leader()] = true
		c.passBy(2 * time.Second)
		clear(c.frozen)
	}},
	{"a lost disk", func(c *faultyCluster) {
		c.leader().wipe()
		c.wait("the group is complete", 20*time.Second, c.isComplete)
	}},
}

// restartAll has all machines lose their power and come back with another time of day.
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

// passBy lets time pass.
func (c *faultyCluster) passBy(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
	}
}

// agree has the configuration shard agree on a command, whoever leads it.
func (c *faultyCluster) agree(command Command) {
	c.t.Helper()
	done := false
	c.wait("agreement", 10*time.Second, func() bool {
		if leader := c.leader(); leader != nil && !done {
			leader.controller.Group().ProposeAsync(command, func(_ any, err error) { done = err == nil })
			c.passBy(10 * clusterStep)
		}
		return done
	})
}
