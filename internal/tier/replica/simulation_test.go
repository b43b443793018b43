package replica

import (
	"container/heap"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	testHeartbeat = 20 * time.Millisecond
	testElection  = 80 * time.Millisecond
)

// conditions describe the links and disks of a simulated group.
type conditions struct {
	loss, duplicate float64
	delay, jitter   time.Duration // of a message; jitter is added at random
	straggler       float64       // probability that a message is delayed by up to stragglerDelay more
	stragglerDelay  time.Duration
	syncTime        time.Duration // maximum
}

var noFaults = conditions{delay: time.Millisecond, syncTime: time.Millisecond}

// simulation is a group in simulated time. The same seed gives the same run.
type simulation struct {
	random                 *rand.Rand
	conditions             conditions
	limits                 *limits       // nil: defaultLimits
	initialElectionTimeout time.Duration // set in the members' options
	now                    time.Duration
	sequence               int
	queue                  eventQueue
	nodes                  []*node
	slotOf                 map[string]int // node of each identity, including earlier ones
	partitioned            map[[2]int]bool
	targetMembers          []Member
	checker                *checker
	lastToken              uint64
	lastIdentity           int
	delivered              int
	messages               map[MessageKind]int
	drop                   func(Message) bool // selects messages to drop; nil: none
	onOutcome              func(*node, Outcome)
	onSync                 func(*node) // called when a sync begins
}

// newSimulation creates nodes for the initial members of a group, and spares that belong to no group. No node is started.
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
		n := &node{slot: slot, clockRate: 1}
		s.nodes = append(s.nodes, n)
		s.assignIdentity(n)
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

func (s *simulation) startAll() {
	for _, n := range s.nodes {
		s.start(n)
	}
}

// setTargetMembers sets the target members on all running nodes, and for nodes that start later.
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

// runFor runs the events of a period.
func (s *simulation) runFor(span time.Duration) {
	s.runUntil(s.now+span, func() bool { return false })
}

// runUntil runs events until the condition holds or the end time is reached, and reports whether the condition holds.
func (s *simulation) runUntil(end time.Duration, condition func() bool) bool {
	for len(s.queue) > 0 && s.queue[0].at <= end && s.checker.violation == "" {
		if condition() {
			return true
		}
		next := heap.Pop(&s.queue).(*event)
		s.now = next.at
		next.run()
	}
	s.now = max(s.now, end)
	return condition()
}

// send sends messages over the simulated links.
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

// isolate disconnects a node from all others, in both directions.
func (s *simulation) isolate(n *node) {
	for _, other := range s.nodes {
		s.partitioned[[2]int{n.slot, other.slot}] = true
		s.partitioned[[2]int{other.slot, n.slot}] = true
	}
}

// heal reconnects all nodes.
func (s *simulation) heal() { clear(s.partitioned) }

// propose queues a new command at a node and returns its token.
func (s *simulation) propose(n *node) uint64 {
	s.lastToken++
	token := s.lastToken
	data := strconv.AppendUint(nil, token, 10)
	s.checker.invoked(n, token, false)
	n.inbox.Proposals = append(n.inbox.Proposals, Proposal{Token: token, Data: data})
	s.wake(n)
	return token
}

// read queues a read at a node and returns its token.
func (s *simulation) read(n *node) uint64 {
	s.lastToken++
	s.checker.invoked(n, s.lastToken, true)
	n.inbox.Reads = append(n.inbox.Reads, s.lastToken)
	s.wake(n)
	return s.lastToken
}

// compactNode saves a snapshot of a node's state machine. Its disk then keeps only the entries after the snapshot.
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
	n.chunks = nil // the saved snapshot overwrites them
	for len(n.disk.Entries) > 0 && n.disk.Entries[0].Index <= snapshot.Index {
		n.disk.Entries = n.disk.Entries[1:]
	}
	n.disk.Snapshot = &snapshot
	n.inbox.Compact = withoutState(&snapshot)
	s.wake(n)
}

// leader returns the running node whose member leads in the highest term, or nil.
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
