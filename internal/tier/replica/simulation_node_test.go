package replica

import (
	"encoding/json"
	"fmt"
	"time"
)

// node is a simulated machine. Its disk survives its process.
type node struct {
	slot              int // index in simulation.nodes
	id                string
	clockRate         float64       // speed of its clock; 1 is exact
	clockAtRateChange time.Duration // reading of its clock when clockRate was set
	rateChangedAt     time.Duration // simulation time at which clockRate was set
	initial           []Member
	disk              Recovered
	chunks            [][]byte // received chunks of an incomplete snapshot, written but not synced
	replica           *Replica
	machine           machine
	alive             bool
	frozen            bool
	syncing           bool // a sync is in progress
	ready             Ready
	inbox             Input
	wakeAt            time.Duration
	incarnation       int // counts process starts and ends, so that events of an earlier process are ignored
}

// machine is the state machine: a checksum over all commands up to an index.
type machine struct {
	Index    uint64 `json:"index"`
	Checksum uint64 `json:"checksum"`
}

func (m *machine) apply(entry Entry) {
	m.Index = entry.Index
	m.Checksum = updateChecksum(m.Checksum, entry)
}

func updateChecksum(checksum uint64, entry Entry) uint64 {
	if entry.Kind != Command {
		return checksum
	}
	for _, char := range entry.Data {
		checksum = (checksum ^ uint64(char)) * 1099511628211
	}
	return checksum * 31
}

// assignIdentity gives a node a new identity, as for an empty disk.
func (s *simulation) assignIdentity(node *node) {
	s.lastIdentity++
	node.id = fmt.Sprintf("m%d", s.lastIdentity)
	s.slotOf[node.id] = node.slot
}

// start starts a node's process from its disk.
func (s *simulation) start(node *node) {
	options := Options{
		ID:                     node.id,
		Address:                address(node.slot),
		InitialMembers:         node.initial,
		HeartbeatInterval:      testHeartbeat,
		ElectionTimeout:        testElection,
		InitialElectionTimeout: s.initialElectionTimeout,
		Seed:                   s.random.Uint64(),
	}
	replica, err := New(options, withoutStates(node.disk), s.clock(node))
	if err != nil {
		s.checker.fail("%s does not start: %v", node.id, err)
		return
	}
	if s.limits != nil {
		replica.limits = *s.limits
	}
	node.replica = replica
	node.machine = machine{}
	if node.disk.Snapshot != nil {
		_ = json.Unmarshal(node.disk.Snapshot.State, &node.machine)
	}
	node.alive, node.frozen, node.syncing = true, false, false
	node.inbox = Input{TargetMembers: s.targetMembers}
	node.incarnation++
	s.step(node)
}

// kill ends a process. A prefix of the writes that are not synced may survive.
func (s *simulation) kill(node *node) {
	if !node.alive {
		return
	}
	if node.syncing {
		node.disk = save(node.disk, node.ready, s.random.IntN(countWrites(node.ready)+1))
	}
	node.alive, node.syncing = false, false
	node.replica, node.chunks = nil, nil
	node.incarnation++
	s.checker.dropPending(node.id)
}

// wipe ends a process and empties its disk. The node gets a new identity and no initial members.
func (s *simulation) wipe(node *node) {
	s.kill(node)
	node.disk = Recovered{}
	node.initial = nil
	s.assignIdentity(node)
}

// wake schedules a step for a node that can take one. A syncing node takes its step when the sync completes.
func (s *simulation) wake(node *node) {
	if node.alive && !node.frozen && !node.syncing {
		incarnation := node.incarnation
		s.after(0, func() {
			if node.incarnation == incarnation && node.alive && !node.frozen && !node.syncing && node.hasInput() {
				s.step(node)
			}
		})
	}
}

func (n *node) hasInput() bool {
	in := &n.inbox
	return len(in.Messages)+len(in.Proposals)+len(in.Reads) > 0 || in.TargetMembers != nil || in.Contacts != nil || in.Compact != nil || in.TransferLeadership
}

// step passes all pending input to a node's member. Messages that need not wait for the sync are sent at once, the rest
// afterwards.
func (s *simulation) step(node *node) {
	input := node.inbox
	node.inbox = Input{}
	node.ready = node.replica.Step(s.clock(node), input)
	chunks, problem := receiveChunks(node.chunks, &node.ready)
	if node.chunks = chunks; problem != "" {
		s.checker.fail("%s: %s", node.id, problem)
	}
	s.send(node, node.ready.MessagesBeforeSync)
	incarnation := node.incarnation
	syncTime := time.Duration(0)
	if countWrites(node.ready) > 0 && s.conditions.syncTime > 0 {
		syncTime = time.Duration(1 + s.random.Int64N(int64(s.conditions.syncTime)))
		if s.onSync != nil {
			s.onSync(node)
		}
	}
	if node.incarnation != incarnation {
		return
	}
	node.syncing = true
	if syncTime == 0 {
		s.complete(node)
		return
	}
	s.after(syncTime, func() {
		if node.incarnation == incarnation {
			s.complete(node)
		}
	})
}

// complete carries out the rest of a Ready once its writes are synced.
func (s *simulation) complete(node *node) {
	ready := node.ready
	node.syncing = false
	node.disk = save(node.disk, ready, countWrites(ready))
	s.send(node, ready.MessagesAfterSync)
	if ready.Snapshot != nil {
		before := node.machine.Index
		_ = json.Unmarshal(ready.Snapshot.State, &node.machine)
		s.checker.installed(node, before, ready.Snapshot)
	}
	for _, entry := range ready.CommittedEntries {
		s.checker.committed(node, entry)
		node.machine.apply(entry)
	}
	incarnation := node.incarnation
	for _, outcome := range ready.Outcomes {
		s.checker.outcome(node, outcome)
		if s.onOutcome != nil {
			s.onOutcome(node, outcome)
		}
		if node.incarnation != incarnation {
			return
		}
	}
	if node.frozen {
		return
	}
	if node.hasInput() {
		s.wake(node)
	}
	s.setTimer(node, ready.NextWake)
}

// clock returns the reading of a node's own clock.
func (s *simulation) clock(node *node) time.Duration {
	return node.clockAtRateChange + time.Duration(float64(s.now-node.rateChangedAt)*node.clockRate)
}

// setClockRate sets the speed of a node's clock from now on.
func (s *simulation) setClockRate(n *node, clockRate float64) {
	n.clockAtRateChange, n.rateChangedAt, n.clockRate = s.clock(n), s.now, clockRate
}

// setTimer schedules a step at a time of the node's own clock.
func (s *simulation) setTimer(n *node, wake time.Duration) {
	at := n.rateChangedAt + time.Duration(float64(wake-n.clockAtRateChange)/n.clockRate) + 1
	n.wakeAt = at
	incarnation := n.incarnation
	s.after(max(0, at-s.now), func() {
		if n.incarnation == incarnation && n.wakeAt == at && !n.frozen && !n.syncing {
			s.step(n)
		}
	})
}

// freeze suspends a process. Messages to it are queued.
func (s *simulation) freeze(node *node) { node.frozen = true }

// thaw resumes a frozen process.
func (s *simulation) thaw(node *node) {
	if !node.frozen {
		return
	}
	node.frozen = false
	if node.alive && !node.syncing {
		s.step(node)
	}
}
