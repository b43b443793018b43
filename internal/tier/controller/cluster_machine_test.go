package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// testMachine is one machine with its disk. Each start replaces its process: a controller or a store.
type testMachine struct {
	cluster           *cluster
	member            membership.Member
	disk              *memorydisk.Disk
	starts            int
	running           bool
	skew              time.Duration // of its wall clock
	frozen            bool
	partitionedAt     time.Duration                  // when it was partitioned from all other machines; 0: it isn't partitioned
	advertised        membership.Member              // its entry in the membership of the other machines
	known             bool                           // it is in the membership of the other machines
	membershipChanges int                            // invalidates the timers of earlier changes
	diskFree          time.Duration                  // when its disk will have completed all writes and syncs
	linkFree          time.Duration                  // when its link will have sent all messages
	inboxFree         time.Duration                  // when its link will have received all messages
	busy              map[*group.Group]time.Duration // until when a group waits for the disk
	broken            map[*group.Group]bool          // groups that a disk fault has stopped
	diskFault         diskFault
	staleUpdate       *view.Update // the placement that it gets instead of the newest; nil: the newest
	controller        *Controller
	reconcileDue      time.Duration
	store             *store.Store
	groups            []*group.Group
}

// applyNewest applies the newest placement on a store.
func (m *testMachine) applyNewest() {
	update, known := m.cluster.updates[view.PlacementSection]
	if m.staleUpdate != nil {
		update = *m.staleUpdate
	}
	if known && m.isReachable() && m.store != nil {
		m.store.ApplyUpdate(update)
	}
}

// start starts the machine's process.
func (m *testMachine) start() {
	cluster := m.cluster
	cluster.starts++
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
		cluster.nowMutex.Lock()
		defer cluster.nowMutex.Unlock()
		return cluster.now
	}
	if m.member.Role == membership.Store {
		m.store = store.New(cluster.t.Context(), store.Options{ID: m.member.ID, Address: m.member.Address, Disk: m.disk, Logger: log.NewNopLogger(),
			Seed: uint64(cluster.starts), Now: cluster.time, Send: send, Clock: clock, RunGroup: func(opened *group.Group) { m.groups = append(m.groups, opened) },
			AfterFunc: cluster.after, QueryMembers: m.queryStore})
		if err := m.store.Recover(); err != nil {
			m.retryStart(err)
			return
		}
		cluster.after(spreadDelay, m.applyNewest)
		return
	}
	var initial []replica.Member
	for _, other := range cluster.sorted() {
		if other.member.Role == membership.Controller && m.starts == 1 && !strings.HasSuffix(m.member.ID, "anew") {
			initial = append(initial, replica.Member{ID: other.member.ID, Address: other.member.Address})
		}
	}
	opened, err := Open(Options{ID: m.member.ID, Address: m.member.Address, Settings: &settings.Settings{FaultTolerance: settings.FaultTolerance{Machines: cluster.environment.faultTolerance}},
		Initial: initial, Disk: m.disk, Fleet: machineFleet{m}, Reader: &staticReader{}, Logger: log.NewNopLogger(), Seed: uint64(cluster.starts), SendMessage: send, Clock: clock,
		Now:        func() time.Time { return cluster.time().Add(m.skew) },
		QueryStore: m.queryStore})
	if err != nil {
		m.retryStart(err)
		return
	}
	m.controller, m.reconcileDue = opened, cluster.now
	m.groups = []*group.Group{opened.Group()}
}

// queryStore has a store report on the groups that it leads; an unreachable one doesn't respond.
func (m *testMachine) queryStore(address string, done func(wire.ShardMembersResponse, error)) {
	target := m.cluster.machines[address]
	if target != nil && target.isReachable() && !target.frozen && target.store != nil && m.isReachable() {
		target.store.ReportMembers(func(response wire.ShardMembersResponse) { done(response, nil) })
	}
}

// kill kills the machine's process; membership detects that later.
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
