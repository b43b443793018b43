package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/view"
)

// Timing of a cluster in memory.
const (
	clusterStep = 5 * time.Millisecond // step of virtual time, and one-way latency of a message
	spreadDelay = 20 * time.Millisecond
	deathDelay  = time.Second // from a kill until membership considers the machine dead
)

// cluster is a number of controllers and stores in memory and in virtual time, run by one goroutine.
type cluster struct {
	t           testing.TB
	nowMutex    sync.Mutex // guards now, which the goroutines of operators read
	environment environment
	now         time.Duration
	machines    map[string]*testMachine // by address
	inFlight    []inFlightMessage
	timers      []timer
	updates     map[view.Section]view.Update
	starts      int
}

type inFlightMessage struct {
	due      time.Duration
	from     *testMachine
	address  string
	envelope group.Envelope
}

type timer struct {
	due time.Duration
	do  func()
}

func newCluster(t testing.TB, stores int) *cluster {
	return newClusterIn(t, stores, environment{faultTolerance: 1, deathDelay: deathDelay})
}

func newClusterIn(t testing.TB, stores int, env environment) *cluster {
	c := &cluster{t: t, environment: env, machines: map[string]*testMachine{}, updates: map[view.Section]view.Update{}}
	for number := range 2*env.faultTolerance + 1 {
		name := fmt.Sprintf("core-%d", number+1)
		member := controllerMember(name, name+"-id", fmt.Sprintf("10.0.0.%d:7000", number+1), fmt.Sprintf("10.0.0.%d:8144", number+1))
		c.add(member)
	}
	for number := range stores {
		c.add(storeMember(number + 1))
	}
	for _, m := range c.sorted() {
		m.start()
	}
	return c
}

// add adds a machine without starting it.
func (c *cluster) add(member membership.Member) *testMachine {
	m := &testMachine{cluster: c, member: member, disk: memorydisk.New()}
	c.machines[member.Address] = m
	return m
}

func (c *cluster) sorted() []*testMachine {
	var list []*testMachine
	for _, address := range slices.Sorted(maps.Keys(c.machines)) {
		list = append(list, c.machines[address])
	}
	return list
}

// storage returns the machine storage-NUMBER.
func (c *cluster) storage(number int) *testMachine {
	return c.machines[storeMember(number).Address]
}

// time returns the virtual time of day.
func (c *cluster) time() time.Time {
	c.nowMutex.Lock()
	defer c.nowMutex.Unlock()
	return time.UnixMilli(1_700_000_000_000).Add(c.now)
}

// Publish disseminates an update to all stores, unless a newer one is known.
func (c *cluster) Publish(update view.Update) {
	if known, ok := c.updates[update.Section]; ok && !known.Stamp.Less(update.Stamp) {
		return
	}
	c.updates[update.Section] = update
	for _, m := range c.sorted() {
		c.after(spreadDelay, func() { m.applyNewest() })
	}
}

func (c *cluster) after(delay time.Duration, do func()) {
	c.timers = append(c.timers, timer{due: c.now + delay, do: do})
}

// run advances virtual time.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
	}
}

// until advances virtual time until the condition holds, and returns how long that took.
func (c *cluster) until(what string, limit time.Duration, condition func() bool) time.Duration {
	c.t.Helper()
	for begin := c.now; ; c.step() {
		if condition() {
			return c.now - begin
		}
		if c.now-begin > limit {
			c.t.Fatalf("%s: not reached within %v", what, limit)
		}
	}
}

func (c *cluster) step() {
	c.now += clusterStep
	c.runDueTimers()
	c.deliver()
	for _, m := range c.sorted() {
		if m.running && !m.frozen {
			m.runGroups()
		}
	}
}

func (c *cluster) runDueTimers() {
	var due []timer
	c.timers = slices.DeleteFunc(c.timers, func(t timer) bool {
		if t.due <= c.now {
			due = append(due, t)
			return true
		}
		return false
	})
	for _, t := range due {
		t.do()
	}
}

func (c *cluster) deliver() {
	waiting := c.inFlight
	c.inFlight = nil
	for _, message := range waiting {
		if message.due > c.now {
			c.inFlight = append(c.inFlight, message)
			continue
		}
		to := c.machines[message.address]
		switch {
		case to == nil || !to.isReachable() || !message.from.isReachable():
		case to.store != nil:
			to.store.Deliver(message.envelope)
		case message.envelope.Group == GroupName:
			to.controller.Group().Deliver(message.envelope.Message)
		}
	}
}

// mustMarshal encodes a value as JSON.
func mustMarshal(t testing.TB, value any) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
