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
	t        testing.TB
	gate     sync.Mutex // held while now changes: goroutines of operators read it
	around   surroundings
	now      time.Duration
	machines map[string]*machineUnderTest // by address
	queue    []sent
	later    []timed
	pieces   map[view.Section]view.Update
	starts   int
}

type sent struct {
	due      time.Duration
	from     *machineUnderTest
	address  string
	envelope group.Envelope
}

type timed struct {
	due time.Duration
	do  func()
}

// machineUnderTest is one machine with its disk; what runs on it is replaced at each start.
type machineUnderTest struct {
	cluster     *cluster
	member      membership.Member
	disk        *memorydisk.Disk
	starts      int
	running     bool
	skew        time.Duration // of its time of day
	frozen      bool
	cutAt       time.Duration     // when it was cut off from all others; 0: it isn't
	shown       membership.Member // as the others know it
	known       bool              // to the others
	absences    int
	diskFree    time.Duration // when its disk has done what it was asked for
	linkFree    time.Duration // when its link has taken what was sent
	inboxFree   time.Duration // when its link has brought what was sent to it
	busy        map[*group.Group]time.Duration
	broken      map[*group.Group]bool // by their disk
	diskTrouble diskTrouble
	stale       *view.Update // the placement that it hears in place of the newest
	controller  *Controller
	placeDue    time.Duration
	store       *store.Store
	groups      []*group.Group
}

func newCluster(t testing.TB, stores int) *cluster {
	return newClusterIn(t, stores, surroundings{survive: 1, death: deathDelay})
}

func newClusterIn(t testing.TB, stores int, around surroundings) *cluster {
	c := &cluster{t: t, around: around, machines: map[string]*machineUnderTest{}, pieces: map[view.Section]view.Update{}}
	for number := range 2*around.survive + 1 {
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
func (c *cluster) add(member membership.Member) *machineUnderTest {
	m := &machineUnderTest{cluster: c, member: member, disk: memorydisk.New()}
	c.machines[member.Address] = m
	return m
}

func (c *cluster) sorted() []*machineUnderTest {
	var list []*machineUnderTest
	for _, address := range slices.Sorted(maps.Keys(c.machines)) {
		list = append(list, c.machines[address])
	}
	return list
}

// storage returns the machine storage-NUMBER.
func (c *cluster) storage(number int) *machineUnderTest {
	return c.machines[storeMember(number).Address]
}

// time is the time of day.
func (c *cluster) time() time.Time {
	c.gate.Lock()
	defer c.gate.Unlock()
	return time.UnixMilli(1_700_000_000_000).Add(c.now)
}

// Publish spreads a piece.
func (c *cluster) Publish(piece view.Update) {
	if held, ok := c.pieces[piece.Section]; ok && !held.Stamp.Less(piece.Stamp) {
		return
	}
	c.pieces[piece.Section] = piece
	for _, m := range c.sorted() {
		c.after(spreadDelay, func() { m.take() })
	}
}

// take hands a store the newest placement.
func (m *machineUnderTest) take() {
	piece, known := m.cluster.pieces[view.PlacementSection]
	if m.stale != nil {
		piece = *m.stale
	}
	if known && m.isReachable() && m.store != nil {
		m.store.ApplyUpdate(piece)
	}
}

func (c *cluster) after(delay time.Duration, do func()) {
	c.later = append(c.later, timed{due: c.now + delay, do: do})
}

// start starts the machine's process.
func (m *machineUnderTest) start() {
	c := m.cluster
	c.starts++
	m.starts++
	m.running, m.groups, m.controller, m.store = true, nil, nil, nil
	m.busy, m.diskFree = map[*group.Group]time.Duration{}, 0
	m.broken = map[*group.Group]bool{}
	m.member.Incarnation = uint64(m.starts)
	m.appear()
	generation := m.starts
	send := func(address string, envelope group.Envelope) {
		if m.running && m.starts == generation {
			m.send(address, envelope)
		}
	}
	clock := func() time.Duration {
		c.gate.Lock()
		defer c.gate.Unlock()
		return c.now
	}
	if m.member.Role == membership.Store {
		m.store = store.New(c.t.Context(), store.Options{ID: m.member.ID, Address: m.member.Address, Disk: m.disk, Logger: log.NewNopLogger(),
			Seed: uint64(c.starts), Now: c.time, Send: send, Clock: clock, RunGroup: func(opened *group.Group) { m.groups = append(m.groups, opened) },
			AfterFunc: c.after, QueryMembers: m.ask})
		if err := m.store.Recover(); err != nil {
			m.startAgain(err)
			return
		}
		c.after(spreadDelay, m.take)
		return
	}
	var initial []replica.Member
	for _, other := range c.sorted() {
		if other.member.Role == membership.Controller && m.starts == 1 && !strings.HasSuffix(m.member.ID, "anew") {
			initial = append(initial, replica.Member{ID: other.member.ID, Address: other.member.Address})
		}
	}
	opened, err := Open(Options{ID: m.member.ID, Address: m.member.Address, Settings: &settings.Settings{FaultTolerance: settings.FaultTolerance{Machines: c.around.survive}},
		Initial: initial, Disk: m.disk, Fleet: surroundingsOf{m}, Reader: &list{}, Logger: log.NewNopLogger(), Seed: uint64(c.starts), SendMessage: send, Clock: clock,
		Now:        func() time.Time { return c.time().Add(m.skew) },
		QueryStore: m.ask})
	if err != nil {
		m.startAgain(err)
		return
	}
	m.controller, m.placeDue = opened, c.now
	m.groups = []*group.Group{opened.Group()}
}

// ask has a store report on the groups that it owns; one that is out of reach doesn't answer.
func (m *machineUnderTest) ask(address string, done func(wire.ShardMembersResponse, error)) {
	asked := m.cluster.machines[address]
	if asked != nil && asked.isReachable() && !asked.frozen && asked.store != nil && m.isReachable() {
		asked.store.ReportMembers(func(answer wire.ShardMembersResponse) { done(answer, nil) })
	}
}

// kill ends the machine's process; membership notices later.
func (m *machineUnderTest) kill() {
	m.running, m.frozen = false, false
	m.disk.Kill()
	m.vanish()
}

// wipe kills the machine and starts it with an empty disk and a new identity.
func (m *machineUnderTest) wipe() {
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
			m.turn()
		}
	}
}

func (c *cluster) doDue() {
	var due []timed
	c.later = slices.DeleteFunc(c.later, func(t timed) bool {
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
	waiting := c.queue
	c.queue = nil
	for _, message := range waiting {
		if message.due > c.now {
			c.queue = append(c.queue, message)
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

func (m *machineUnderTest) turn() {
	for _, running := range m.groups {
		if err := m.turnOf(running); err != nil {
			m.cluster.t.Fatalf("%s: %v", m.member.Name, err)
		}
	}
	if m.controller != nil && m.cluster.now >= m.placeDue {
		m.placeDue = m.cluster.now + m.controller.Reconcile(m.cluster.time())
		m.controller.Publish()
	}
}

// owner is the controller that owns the configuration shard, or nil.
func (c *cluster) owner() *machineUnderTest {
	var owner *machineUnderTest
	for _, m := range c.sorted() {
		if m.isReachable() && m.controller != nil && m.controller.Group().Status().IsLeader {
			if owner == nil || owner.controller.Group().Status().Term < m.controller.Group().Status().Term {
				owner = m
			}
		}
	}
	return owner
}

// propose has the configuration shard agree on a command, whoever owns it.
func (c *cluster) propose(command Command) any {
	c.t.Helper()
	var result any
	done := false
	c.until("agreement", 10*time.Second, func() bool {
		if owner := c.owner(); owner != nil && !done {
			owner.controller.Group().ProposeAsync(command, func(answer any, err error) { result, done = answer, err == nil })
			c.run(10 * clusterStep)
		}
		return done
	})
	return result
}

// retire asks for a machine to be emptied, as the API does.
func (c *cluster) retire(node string) any {
	c.t.Helper()
	c.until("an owner", 5*time.Second, func() bool { return c.owner() != nil })
	order, err := c.owner().controller.decommissionProposal(c.time(), node)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.propose(Command{Decommission: order})
}

func (c *cluster) state(node string) decommission.State {
	owner := c.owner()
	if owner == nil {
		return ""
	}
	known, _ := owner.controller.state.decommissions.Operation(node)
	return known.State
}

func (c *cluster) isFinished(node string) func() bool {
	return func() bool { return c.state(node) == decommission.Finished }
}

// placement is what the owner has agreed on.
func (c *cluster) placement() decommission.Placement {
	if owner := c.owner(); owner != nil {
		return owner.controller.state.Placement()
	}
	return decommission.Placement{}
}

// shardOwner is the running member that owns a shard's group, with its machine.
func (c *cluster) shardOwner(shard int) (*machineUnderTest, *group.Group) {
	var at *machineUnderTest
	var owner *group.Group
	for _, m := range c.sorted() {
		for _, g := range m.groups {
			if m.isReachable() && g.Name() == fmt.Sprintf("shard-%d", shard) && g.Status().IsLeader {
				if owner == nil || owner.Status().Term < g.Status().Term {
					at, owner = m, g
				}
			}
		}
	}
	return at, owner
}

// isWhole tells whether all groups have the members that are wanted, with votes and caught up.
func (c *cluster) isWhole() bool {
	placed := c.placement()
	if placed.Index == 0 {
		return false
	}
	for shard, wanted := range placed.Shards {
		_, owner := c.shardOwner(shard)
		if owner == nil || !slices.Equal(slices.Sorted(slices.Values(idsOf(wanted.Replicas))), caughtUp(owner.Status())) {
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

// settle waits for the first placement.
func (c *cluster) settle() {
	c.t.Helper()
	c.until("all groups are whole", 15*time.Second, c.isWhole)
}

// holds tells whether any identity of a machine is a member of any group, in its owner's view.
func (c *cluster) holds(id string) bool {
	for shard := range c.placement().Shards {
		_, owner := c.shardOwner(shard)
		if owner == nil || slices.ContainsFunc(owner.Status().Members, func(m replica.Member) bool { return m.ID == id }) {
			return true
		}
	}
	return false
}

// begin has a turn taken by a shard and returns its name once that is acknowledged.
func (c *cluster) begin(shard, number int) string {
	c.t.Helper()
	turn := program.BeginTurn{Turn: fmt.Sprintf("turn-%d-%d", shard, number), Program: "p", Budget: 1 << 40, MaxTokens: 10, AtMs: c.time().UnixMilli(),
		Remembered: true, KeepForS: 600, Input: []byte("input")}
	c.order(shard, program.Command{Begin: &turn}, program.Accepted)
	return turn.Turn
}

// order has a shard's group agree on a command.
func (c *cluster) order(shard int, command program.Command, want program.Verdict) {
	c.t.Helper()
	done := false
	c.until(fmt.Sprintf("shard %d takes a command", shard), 10*time.Second, func() bool {
		if _, owner := c.shardOwner(shard); owner != nil && !done {
			owner.ProposeAsync(command, func(answer any, err error) {
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
		c.order(turns[turn], program.Command{End: &program.EndTurn{Turn: turn, Complete: true, Tokens: 1, AtMs: c.time().UnixMilli()}}, program.Accepted)
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
