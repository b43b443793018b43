package replica

import (
	"encoding/json"
	"fmt"
	"time"
)

// node is one machine: its disk outlasts its process.
type node struct {
	slot              int
	id                string
	rate              float64       // of its clock
	clockAtRateChange time.Duration // what its clock showed when the rate was set
	rateChangedAt     time.Duration // when that was
	initial           []Member
	disk              Recovered
	chunks            [][]byte // of a snapshot that is being received: written and not synced
	replica           *Replica
	machine           machine
	alive             bool
	frozen            bool
	syncing           bool // a sync is under way
	ready             Ready
	inbox             Input
	wakeAt            time.Duration
	incarnation       int // counts processes, so that events of an earlier one are void
}

// machine is the state machine: a checksum over all commands up to an index.
type machine struct {
	Index    uint64 `json:"index"`
	Checksum uint64 `json:"checksum"`
}

func (m *machine) apply(entry Entry) {
	m.Index = entry.Index
	m.Checksum = fold(m.Checksum, entry)
}

func fold(checksum uint64, entry Entry) uint64 {
	if entry.Kind != Command {
		return checksum
	}
	for _, char := range entry.Data {
		checksum = (checksum ^ uint64(char)) * 1099511628211
	}
	return checksum * 31
}

// identify gives a node a new identity, as on an empty disk.
func (s *simulation) identify(n *node) {
	s.identities++
	n.id = fmt.Sprintf("m%d", s.identities)
	s.slotOf[n.id] = n.slot
}

// start starts a node's process on its disk.
func (s *simulation) start(n *node) {
	options := Options{
		ID:                     n.id,
		Address:                address(n.slot),
		InitialMembers:         n.initial,
		HeartbeatInterval:      testHeartbeat,
		ElectionTimeout:        testElection,
		InitialElectionTimeout: s.initialElectionTimeout,
		Seed:                   s.random.Uint64(),
	}
	replica, err := New(options, withoutStates(n.disk), s.clock(n))
	if err != nil {
		s.checker.fail("%s does not start: %v", n.id, err)
		return
	}
	if s.limits != nil {
		replica.limits = *s.limits
	}
	n.replica = replica
	n.machine = machine{}
	if n.disk.Snapshot != nil {
		_ = json.Unmarshal(n.disk.Snapshot.State, &n.machine)
	}
	n.alive, n.frozen, n.syncing = true, false, false
	n.inbox = Input{TargetMembers: s.targetMembers}
	n.incarnation++
	s.step(n)
}

// kill ends a process. Of the writes that are not synced, a prefix may last.
func (s *simulation) kill(n *node) {
	if !n.alive {
		return
	}
	if n.syncing {
		n.disk = save(n.disk, n.ready, s.random.IntN(countWrites(n.ready)+1))
	}
	n.alive, n.syncing = false, false
	n.replica, n.chunks = nil, nil
	n.incarnation++
	s.checker.forget(n.id)
}

// wipe ends a process and empties its disk; it comes back with a new identity and no group.
func (s *simulation) wipe(n *node) {
	s.kill(n)
	n.disk = Recovered{}
	n.initial = nil
	s.identify(n)
}

// wake gives a node a step as soon as it is free.
func (s *simulation) wake(n *node) {
	if n.alive && !n.frozen && !n.syncing {
		incarnation := n.incarnation
		s.after(0, func() {
			if n.incarnation == incarnation && n.alive && !n.frozen && !n.syncing && n.hasInput() {
				s.step(n)
			}
		})
	}
}

func (n *node) hasInput() bool {
	in := &n.inbox
	return len(in.Messages)+len(in.Proposals)+len(in.Reads) > 0 || in.TargetMembers != nil || in.Compact != nil || in.TransferLeadership
}

// step hands a node all that has come in. What must not wait leaves at once, the rest after the sync.
func (s *simulation) step(n *node) {
	input := n.inbox
	n.inbox = Input{}
	n.ready = n.replica.Step(s.clock(n), input)
	chunks, wrong := receiveChunks(n.chunks, &n.ready)
	if n.chunks = chunks; wrong != "" {
		s.checker.fail("%s: %s", n.id, wrong)
	}
	s.send(n, n.ready.MessagesBeforeSync)
	incarnation := n.incarnation
	syncTime := time.Duration(0)
	if countWrites(n.ready) > 0 && s.conditions.syncTime > 0 {
		syncTime = time.Duration(1 + s.random.Int64N(int64(s.conditions.syncTime)))
		if s.onSync != nil {
			s.onSync(n)
		}
	}
	if n.incarnation != incarnation {
		return
	}
	n.syncing = true
	if syncTime == 0 {
		s.complete(n)
		return
	}
	s.after(syncTime, func() {
		if n.incarnation == incarnation {
			s.complete(n)
		}
	})
}

// complete does what comes after the sync.
func (s *simulation) complete(n *node) {
	ready := n.ready
	n.syncing = false
	n.disk = save(n.disk, ready, countWrites(ready))
	s.send(n, ready.MessagesAfterSync)
	if ready.Snapshot != nil {
		before := n.machine.Index
		_ = json.Unmarshal(ready.Snapshot.State, &n.machine)
		s.checker.installed(n, before, ready.Snapshot)
	}
	for _, entry := range ready.CommittedEntries {
		s.checker.committed(n, entry)
		n.machine.apply(entry)
	}
	incarnation := n.incarnation
	for _, outcome := range ready.Outcomes {
		s.checker.outcome(n, outcome)
		if s.onOutcome != nil {
			s.onOutcome(n, outcome)
		}
		if n.incarnation != incarnation {
			return
		}
	}
	if n.frozen {
		return
	}
	if n.hasInput() {
		s.wake(n)
	}
	s.setTimer(n, ready.NextWake)
}

// clock is what a node's own clock shows.
func (s *simulation) clock(n *node) time.Duration {
	return n.clockAtRateChange + time.Duration(float64(s.now-n.rateChangedAt)*n.rate)
}

// setRate makes a node's clock slower or faster from now on.
func (s *simulation) setRate(n *node, rate float64) {
	n.clockAtRateChange, n.rateChangedAt, n.rate = s.clock(n), s.now, rate
}

// setTimer gives a node a step at a time of its own clock.
func (s *simulation) setTimer(n *node, wake time.Duration) {
	at := n.rateChangedAt + time.Duration(float64(wake-n.clockAtRateChange)/n.rate) + 1
	n.wakeAt = at
	incarnation := n.incarnation
	s.after(max(0, at-s.now), func() {
		if n.incarnation == incarnation && n.wakeAt == at && !n.frozen && !n.syncing {
			s.step(n)
		}
	})
}

// freeze stops a process without ending it; what is sent to it waits.
func (s *simulation) freeze(n *node) { n.frozen = true }

// thaw lets a frozen process go on.
func (s *simulation) thaw(n *node) {
	if !n.frozen {
		return
	}
	n.frozen = false
	if n.alive && !n.syncing {
		s.step(n)
	}
}
