package replica

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	testHeartbeat = 20 * time.Millisecond
	testElection  = 80 * time.Millisecond
)

// conditions are what links and disks of a simulated group are like.
type conditions struct {
	loss, duplicate float64
	delay, jitter   time.Duration // of a message
	straggler       float64       // share of messages that take up to stragglerDelay
	stragglerDelay  time.Duration
	syncTime        time.Duration // at most
}

var noFaults = conditions{delay: time.Millisecond, syncTime: time.Millisecond}

// simulation is a group in virtual time. The same seed gives the same run.
type simulation struct {
	random                 *rand.Rand
	conditions             conditions
	limits                 *limits       // nil: the usual ones
	initialElectionTimeout time.Duration // of the members' options
	now                    time.Duration
	sequence               int
	queue                  eventQueue
	nodes                  []*node
	slotOf                 map[string]int // where an identity lives or lived
	partitioned            map[[2]int]bool
	targetMembers          []Member
	checker                *checker
	tokens                 uint64
	identities             int
	delivered              int
	messages               map[MessageKind]int
	drop                   func(Message) bool // nil: nothing is dropped on purpose
	onOutcome              func(*node, Outcome)
	onSync                 func(*node) // before a step's saves are synced
}

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

// newSimulation starts a group with the members, and spares that belong to no group yet.
func newSimulation(seed uint64, members, spares int, with conditions) *simulation {
	s := &simulation{
		random:      rand.New(rand.NewPCG(seed, 7)),
		conditions:  with,
		slotOf:      map[string]int{},
		partitioned: map[[2]int]bool{},
		messages:    map[MessageKind]int{},
	}
	var initial []Member
	for slot := range members + spares {
		n := &node{slot: slot, rate: 1}
		s.nodes = append(s.nodes, n)
		s.identify(n)
		if slot < members {
			initial = append(initial, Member{ID: n.id, Address: address(slot)})
		}
	}
	for slot := range members {
		s.nodes[slot].initial = initial
	}
	s.targetMembers = initial
	s.checker = newChecker(initial)
	return s
}

func address(slot int) string { return "10.0.0." + strconv.Itoa(slot) }

// identify gives a node a new identity, as on an empty disk.
func (s *simulation) identify(n *node) {
	s.identities++
	n.id = fmt.Sprintf("m%d", s.identities)
	s.slotOf[n.id] = n.slot
}

func (s *simulation) startAll() {
	for _, n := range s.nodes {
		s.start(n)
	}
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

// setTargetMembers tells all members which group is target.
func (s *simulation) setTargetMembers(target []Member) {
	s.targetMembers = target
	for _, n := range s.nodes {
		if n.alive {
			n.inbox.TargetMembers = target
			s.wake(n)
		}
	}
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, &event{at: s.now + delay, sequence: s.sequence, run: run})
}

// runFor plays the events of a span.
func (s *simulation) runFor(span time.Duration) {
	s.runUntil(s.now+span, func() bool { return false })
}

// runUntil plays events until the condition holds or the time is over, and tells whether it holds.
func (s *simulation) runUntil(end time.Duration, holds func() bool) bool {
	for len(s.queue) > 0 && s.queue[0].at <= end && s.checker.violation == "" {
		if holds() {
			return true
		}
		next := heap.Pop(&s.queue).(*event)
		s.now = next.at
		next.run()
	}
	s.now = max(s.now, end)
	return holds()
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

// send brings messages on their way.
func (s *simulation) send(from *node, messages []Message) {
	for i := range messages {
		message := messages[i]
		s.messages[message.Kind]++
		s.checker.sent(message)
		slot, known := s.slotOf[message.To]
		if s.drop != nil && s.drop(message) || !addChunk(&message, from.disk) {
			continue
		}
		if !known || s.partitioned[[2]int{from.slot, slot}] || s.random.Float64() < s.conditions.loss {
			continue
		}
		s.deliver(slot, message)
		if s.random.Float64() < s.conditions.duplicate {
			s.deliver(slot, message)
		}
	}
}

func (s *simulation) deliver(slot int, message Message) {
	delay := s.conditions.delay
	if s.conditions.jitter > 0 {
		delay += time.Duration(s.random.Int64N(int64(s.conditions.jitter)))
	}
	if s.random.Float64() < s.conditions.straggler {
		delay += time.Duration(s.random.Int64N(int64(s.conditions.stragglerDelay)))
	}
	s.after(delay, func() {
		n := s.nodes[slot]
		if !n.alive {
			return
		}
		s.delivered++
		n.inbox.Messages = append(n.inbox.Messages, message)
		s.wake(n)
	})
}

// isolate cuts a node off from all others, in both directions.
func (s *simulation) isolate(n *node) {
	for _, other := range s.nodes {
		s.partitioned[[2]int{n.slot, other.slot}] = true
		s.partitioned[[2]int{other.slot, n.slot}] = true
	}
}

// heal joins all nodes again.
func (s *simulation) heal() { clear(s.partitioned) }

// propose hands a new command to a node.
func (s *simulation) propose(n *node) uint64 {
	s.tokens++
	token := s.tokens
	data := strconv.AppendUint(nil, token, 10)
	s.checker.invoked(n, token, false)
	n.inbox.Proposals = append(n.inbox.Proposals, Proposal{Token: token, Data: data})
	s.wake(n)
	return token
}

// read asks a node for a confirmed read.
func (s *simulation) read(n *node) uint64 {
	s.tokens++
	s.checker.invoked(n, s.tokens, true)
	n.inbox.Reads = append(n.inbox.Reads, s.tokens)
	s.wake(n)
	return s.tokens
}

// compactNode takes a snapshot of a node's machine; its disk keeps the entries after it.
func (s *simulation) compactNode(n *node) {
	if !n.alive || n.syncing || n.frozen {
		return
	}
	snapshot := n.replica.SnapshotMetadata()
	if snapshot.Index == 0 || n.disk.Snapshot != nil && n.disk.Snapshot.Index >= snapshot.Index {
		return
	}
	snapshot.State, _ = json.Marshal(n.machine)
	snapshot.Chunks = snapshotChunks
	n.chunks = nil // the new one lies in their place
	for len(n.disk.Entries) > 0 && n.disk.Entries[0].Index <= snapshot.Index {
		n.disk.Entries = n.disk.Entries[1:]
	}
	n.disk.Snapshot = &snapshot
	n.inbox.Compact = withoutState(&snapshot)
	s.wake(n)
}

// leader is the living node that believes itself the leader in the highest term, or nil.
func (s *simulation) leader() *node {
	var best *node
	for _, n := range s.nodes {
		if !n.alive || n.frozen || !n.replica.IsLeader() {
			continue
		}
		if best == nil || n.replica.hardState.Term > best.replica.hardState.Term {
			best = n
		}
	}
	return best
}
