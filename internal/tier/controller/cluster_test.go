package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Times of a cluster in memory.
const (
	clusterStep = 5 * time.Millisecond // one way of a message
	spreadDelay = 20 * time.Millisecond
	deathDelay  = time.Second // from a kill until membership takes the machine for dead
)

// cluster is some controllers and stores in virtual time, with one goroutine for all.
type cluster struct {
	t           testing.TB
	nowMutex    sync.Mutex // guards now, which goroutines of operators read
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

// testMachine is one machine with its disk; what runs on it is replaced at each start.
type testMachine struct {
	cluster           *cluster
	member            membership.Member
	disk              *memorydisk.Disk
	starts            int
	running           bool
	skew              time.Duration // of its time of day
	frozen            bool
	partitionedAt     time.Duration     // when it was partitioned from all others; 0: it isn't
	advertised        membership.Member // as the others know it
	known             bool              // to the others
	membershipChanges int
	diskFree          time.Duration // when its disk has done what it was asked for
	linkFree          time.Duration // when its link has taken what was sent
	inboxFree         time.Duration // when its link has brought what was sent to it
	busy              map[*group.Group]time.Duration
	broken            map[*group.Group]bool // by their disk
	diskFault         diskFault
	staleUpdate       *view.Update // the placement that it hears in place of the newest
	controller        *Controller
	reconcileDue      time.Duration
	store             *store.Store
	groups            []*group.Group
}

func newCluster(t testing.TB, stores int) *cluster {
	return newClusterIn(t, stores, environment{faultTolerance: 1, deathDelay: deathDelay})
}

func newClusterIn(t testing.TB, stores int, around environment) *cluster {
	c := &cluster{t: t, environment: around, machines: map[string]*testMachine{}, updates: map[view.Section]view.Update{}}
	for number := range 2*around.faultTolerance + 1 {
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

// add makes a machine that doesn't run yet.
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

// time is the time of day.
func (c *cluster) time() time.Time {
	c.nowMutex.Lock()
	defer c.nowMutex.Unlock()
	return time.UnixMilli(1_700_000_000_000).Add(c.now)
}

// Publish spreads an update.
func (c *cluster) Publish(piece view.Update) {
	if held, ok := c.updates[piece.Section]; ok && !held.Stamp.Less(piece.Stamp) {
		return
	}
	c.updates[piece.Section] = piece
	for _, m := range c.sorted() {
		c.after(spreadDelay, func() { m.applyNewest() })
	}
}

// applyNewest hands a store the newest placement.
func (m *testMachine) applyNewest() {
	piece, known := m.cluster.updates[view.PlacementSection]
	if m.staleUpdate != nil {
		piece = *m.staleUpdate
	}
	if known && m.isReachable() && m.store != nil {
		m.store.ApplyUpdate(piece)
	}
}

func (c *cluster) after(delay time.Duration, do func()) {
	c.timers = append(c.timers, timer{due: c.now + delay, do: do})
}

// start starts the machine's process.
func (m *testMachine) start() {
	c := m.cluster
	c.starts++
	m.starts++
	m.running, m.groups, m.controller, m.store = true, nil, nil, nil
	m.busy, m.diskFree = map[*group.Group]time.Duration{}, 0
	m.broken = map[*group.Group]bool{}
	m.member.Incarnation = uint64(m.starts)
	m.markAlive()
	generation := m.starts
	send := func(address string, envelope group.Envelope) {
		if m.running && m.starts == generation {
			m.send(address, envelope)
		}
	}
	clock := func() time.Duration {
		c.nowMutex.Lock()
		defer c.nowMutex.Unlock()
		return c.now
	}
	if m.member.Role == membership.Store {
		m.store = store.New(c.t.Context(), store.Options{ID: m.member.ID, Address: m.member.Address, Disk: m.disk, Logger: log.NewNopLogger(),
			Seed: uint64(c.starts), Now: c.time, Send: send, Clock: clock, RunGroup: func(opened *group.Group) { m.groups = append(m.groups, opened) },
			AfterFunc: c.after, QueryMembers: m.queryStore})
		if err := m.store.Recover(); err != nil {
			m.retryStart(err)
			return
		}
		c.after(spreadDelay, m.applyNewest)
		return
	}
	var initial []replica.Member
	for _, other := range c.sorted() {
		if other.member.Role == membership.Controller && m.starts == 1 && !strings.HasSuffix(m.member.ID, "anew") {
			initial = append(initial, replica.Member{ID: other.member.ID, Address: other.member.Address})
		}
	}
	opened, err := Open(Options{ID: m.member.ID, Address: m.member.Address, Settings: &settings.Settings{FaultTolerance: settings.FaultTolerance{Machines: c.environment.faultTolerance}},
		Initial: initial, Disk: m.disk, Fleet: machineFleet{m}, Reader: &list{}, Logger: log.NewNopLogger(), Seed: uint64(c.starts), SendMessage: send, Clock: clock,
		Now:        func() time.Time { return c.time().Add(m.skew) },
		QueryStore: m.queryStore})
	if err != nil {
		m.retryStart(err)
		return
	}
	m.controller, m.reconcileDue = opened, c.now
	m.groups = []*group.Group{opened.Group()}
}

// queryStore has a store report on the groups that it leads; one that is out of reach doesn't answer.
func (m *testMachine) queryStore(address string, done func(wire.ShardMembersResponse, error)) {
	asked := m.cluster.machines[address]
	if asked != nil && asked.isReachable() && !asked.frozen && asked.store != nil && m.isReachable() {
		asked.store.ReportMembers(func(answer wire.ShardMembersResponse) { done(answer, nil) })
	}
}

// kill ends the machine's process; membership notices later.
func (m *testMachine) kill() {
	m.running, m.frozen = false, false
	m.disk.Kill()
	m.markFailed()
}

// wipe kills the machine and starts it with an empty disk and a new identity.
func (m *testMachine) wipe() {
	m.kill()
	m.disk = memorydisk.New()
	m.member.ID = fmt.Sprintf("%s-%d-anew", m.member.ID, m.starts)
	m.start()
}

// run lets virtual time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
	}
}

// until lets time pass until the condition holds, and returns how long that took.
func (c *cluster) until(what string, most time.Duration, holds func() bool) time.Duration {
	c.t.Helper()
	for begin := c.now; ; c.step() {
		if holds() {
			return c.now - begin
		}
		if c.now-begin > most {
			c.t.Fatalf("%s: not within %v", what, most)
		}
	}
}

func (c *cluster) step() {
	c.now += clusterStep
	c.doDue()
	c.deliver()
	for _, m := range c.sorted() {
		if m.running && !m.frozen {
			m.runGroups()
		}
	}
}

func (c *cluster) doDue() {
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

func (m *testMachine) runGroups() {
	for _, running := range m.groups {
		if err := m.runGroup(running); err != nil {
			m.cluster.t.Fatalf("%s: %v", m.member.Name, err)
		}
	}
	if m.controller != nil && m.cluster.now >= m.reconcileDue {
		m.reconcileDue = m.cluster.now + m.controller.Reconcile(m.cluster.time())
		m.controller.Publish()
	}
}

// leader is the controller that leads the configuration shard, or nil.
func (c *cluster) leader() *testMachine {
	var leader *testMachine
	for _, m := range c.sorted() {
		if m.isReachable() && m.controller != nil && m.controller.Group().Status().IsLeader {
			if leader == nil || leader.controller.Group().Status().Term < m.controller.Group().Status().Term {
				leader = m
			}
		}
	}
	return leader
}

// propose has the configuration shard agree on a command, whoever leads it.
func (c *cluster) propose(command Command) any {
	c.t.Helper()
	var result any
	done := false
	c.until("agreement", 10*time.Second, func() bool {
		if leader := c.leader(); leader != nil && !done {
			leader.controller.Group().ProposeAsync(command, func(answer any, err error) { result, done = answer, err == nil })
			c.run(10 * clusterStep)
		}
		return done
	})
	return result
}

// decommission asks for a machine to be drained, as the API does.
func (c *cluster) decommission(node string) any {
	c.t.Helper()
	c.until("a leader", 5*time.Second, func() bool { return c.leader() != nil })
	order, err := c.leader().controller.decommissionProposal(c.time(), node)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.propose(Command{Decommission: order})
}

func (c *cluster) decommissionState(node string) decommission.State {
	leader := c.leader()
	if leader == nil {
		return ""
	}
	known, _ := leader.controller.state.decommissions.Operation(node)
	return known.State
}

func (c *cluster) isFinished(node string) func() bool {
	return func() bool { return c.decommissionState(node) == decommission.Finished }
}

// placement is what the leader has committed.
func (c *cluster) placement() decommission.Placement {
	if leader := c.leader(); leader != nil {
		return leader.controller.state.Placement()
	}
	return decommission.Placement{}
}

// shardLeader is the running member that leads a shard's group, with its machine.
func (c *cluster) shardLeader(shard int) (*testMachine, *group.Group) {
	var at *testMachine
	var leader *group.Group
	for _, m := range c.sorted() {
		for _, g := range m.groups {
			if m.isReachable() && g.Name() == fmt.Sprintf("shard-%d", shard) && g.Status().IsLeader {
				if leader == nil || leader.Status().Term < g.Status().Term {
					at, leader = m, g
				}
			}
		}
	}
	return at, leader
}

// isComplete tells whether all groups have the members that are wanted, with votes and caught up.
func (c *cluster) isComplete() bool {
	placed := c.placement()
	if placed.Index == 0 {
		return false
	}
	for shard, wanted := range placed.Shards {
		_, leader := c.shardLeader(shard)
		if leader == nil || !slices.Equal(slices.Sorted(slices.Values(idsOf(wanted.Replicas))), caughtUp(leader.Status())) {
			return false
		}
	}
	return true
}

func idsOf(replicas []view.Replica) []string {
	var ids []string
	for _, r := range replicas {
		ids = append(ids, r.ID)
	}
	return ids
}

// caughtUp lists the identities of a group if all its members have votes and have caught up.
func caughtUp(status replica.Status) []string {
	var ids []string
	for _, m := range status.Members {
		if m.Learner || !status.CaughtUp[m.ID] {
			return nil
		}
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}

// awaitPlacement waits for the first placement.
func (c *cluster) awaitPlacement() {
	c.t.Helper()
	c.until("all groups are complete", 15*time.Second, c.isComplete)
}

// hosts tells whether any identity of a machine is a member of any group, in its leader's view.
func (c *cluster) hosts(id string) bool {
	for shard := range c.placement().Shards {
		_, leader := c.shardLeader(shard)
		if leader == nil || slices.ContainsFunc(leader.Status().Members, func(m replica.Member) bool { return m.ID == id }) {
			return true
		}
	}
	return false
}

// beginTurn has a turn committed by a shard and returns its name once that is acknowledged.
func (c *cluster) beginTurn(shard, number int) string {
	c.t.Helper()
	turn := program.BeginTurn{Turn: fmt.Sprintf("turn-%d-%d", shard, number), Program: "p", Budget: 1 << 40, MaxTokens: 10, AtMs: c.time().UnixMilli(),
		Remembered: true, KeepForS: 600, Input: []byte("input")}
	c.proposeToShard(shard, program.Command{Begin: &turn}, program.Accepted)
	return turn.Turn
}

// proposeToShard has a shard's group agree on a command.
func (c *cluster) proposeToShard(shard int, command program.Command, want program.Verdict) {
	c.t.Helper()
	done := false
	c.until(fmt.Sprintf("shard %d takes a command", shard), 10*time.Second, func() bool {
		if _, leader := c.shardLeader(shard); leader != nil && !done {
			leader.ProposeAsync(command, func(answer any, err error) {
				if err != nil {
					return
				}
				done = true
				if got := answer.(program.Result).Verdict; got != want {
					c.t.Errorf("shard %d: verdict %s, want %s", shard, got, want)
				}
			})
			c.run(10 * clusterStep)
		}
		return done
	})
}

// wantTurns checks that turns that were acknowledged are still known.
func (c *cluster) wantTurns(turns map[string]int) {
	c.t.Helper()
	for _, turn := range slices.Sorted(maps.Keys(turns)) {
		c.proposeToShard(turns[turn], program.Command{End: &program.EndTurn{Turn: turn, Complete: true, Tokens: 1, AtMs: c.time().UnixMilli()}}, program.Accepted)
	}
}

// mustMarshal is a value as JSON.
func mustMarshal(t testing.TB, value any) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
