package membership

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"
)

// Input holds the events since the last Step.
type Input struct {
	Datagrams []Datagram        // received
	Arrivals  []PushPullArrival // received; Effects.Replies answers each
	Results   []PushPullResult  // of earlier calls
	Seeds     []string          // replaces the seeds; nil: unchanged
	Payload   json.RawMessage   // attached to pings and acks from now on; nil: unchanged
	Leave     bool              // the process is about to exit
}

// Effects holds the actions that the caller of Step must carry out.
type Effects struct {
	Datagrams []Datagram      // to send
	Calls     []PushPullCall  // to make
	Replies   []PushPullReply // to send
	Events    []Event         // in the order in which they happened
	Payloads  []Payload       // received from other members
	NextWake  time.Duration   // the latest time at which Step must be called again
}

// Payload is application data that another member attached to a ping or ack.
type Payload struct {
	Name    string // of the sender
	Address string // of the sender
	Body    json.RawMessage
}

// Node runs the protocol for one member. It is not safe for concurrent use.
type Node struct {
	options Options
	self    Member
	random  *rand.Rand

	now        time.Duration // of the current Step
	started    time.Duration // time of the first Step
	nextWakeAt time.Duration // NextWake of the last Step; zero before the first
	effects    Effects

	table      *table
	priority   *transmitLimitedQueue // suspicions and refutations; sent first
	broadcasts *transmitLimitedQueue // joins, deaths and leaves
	payload    json.RawMessage
	seeds      []string

	prober     prober
	suspects   []*entry // entries in StateSuspect
	indirect   []indirectProbe
	awareness  awareness
	pushPull   pushPullState
	joiner     joiner
	gossipDue  bool          // an update is to be sent without waiting for a probe
	lastGossip time.Duration // time of the last round of gossip messages
}

// New returns a node, which starts with its first Step.
func New(options Options) *Node {
	options = withDefaults(options)
	self := options.Self
	self.State = StateAlive
	n := &Node{
		options:    options,
		self:       self,
		random:     rand.New(rand.NewPCG(options.Seed, hashString(fnvOffset, self.Name))),
		table:      newTable(),
		priority:   newTransmitLimitedQueue(),
		broadcasts: newTransmitLimitedQueue(),
		seeds:      options.Seeds,
	}
	n.table.hash = recordHash(self)
	return n
}

// Step handles the input and the timers that are due, and returns the resulting effects. now is the time of a monotonic clock. The
// caller must call Step again by NextWake, even without input. If a call is more than ProbeTimeout late, the node assumes that the
// process was frozen.
func (n *Node) Step(now time.Duration, input Input) Effects {
	n.now = now
	n.effects = Effects{}
	n.prober.verifications = 0
	n.initialize()
	n.configure(input)
	n.detectLateWake()
	for _, arrival := range input.Arrivals {
		n.handlePushPull(arrival)
	}
	for _, result := range input.Results {
		n.handlePushPullResult(result)
	}
	for i := range input.Datagrams {
		n.handleMessage(input.Datagrams[i].Address, &input.Datagrams[i].Message)
	}
	if input.Leave {
		n.leave()
	}
	n.runTimers()
	n.nextWakeAt = max(n.nextWake(), now)
	n.effects.NextWake = n.nextWakeAt
	return n.effects
}

// initialize sets the timers in the first Step.
func (n *Node) initialize() {
	if n.nextWakeAt != 0 {
		return
	}
	n.nextWakeAt = n.now
	n.started = n.now
	n.pushPull.lastStart = n.now - n.options.PushPullInterval
	n.prober.nextProbe = n.now + n.jittered(n.options.ProbeInterval)
	n.prober.nextDeadProbe = n.prober.nextProbe
	n.joiner.nextSeedProbe = n.now + n.seedProbeInterval()
	n.broadcasts.queueBroadcast(updateOf(n.self))
}

// configure applies new seeds and a new payload.
func (n *Node) configure(input Input) {
	if input.Seeds != nil {
		n.seeds = input.Seeds
	}
	if input.Payload == nil {
		return
	}
	n.payload = input.Payload
	if len(n.payload) > MaxPayloadBytes {
		n.payload = nil
	}
}

// runTimers handles the timers that are due. A node that has left only completes its indirect probes.
func (n *Node) runTimers() {
	if n.self.State == StateLeft {
		n.expireIndirectProbes()
		return
	}
	n.expireProbes()
	n.expireIndirectProbes()
	n.expireSuspicions()
	n.probe()
	n.reapTombstones()
	n.runPushPull()
	n.gossip()
}

// never is a deadline that is never reached.
const never = time.Duration(math.MaxInt64)

// nextWake returns the earliest time at which a timer of runTimers is due.
func (n *Node) nextWake() time.Duration {
	next := n.nextIndirectExpiry()
	if n.self.State == StateLeft {
		return next
	}
	next = min(next, n.prober.nextProbe, n.nextProbeExpiry(), n.nextPushPull())
	if n.gossipDue {
		next = min(next, n.lastGossip+n.gossipInterval())
	}
	for _, suspected := range n.suspects {
		next = min(next, suspected.suspicion.deadline)
	}
	return next
}

// jittered changes a duration randomly by up to a tenth, so that the timers of members do not synchronise.
func (n *Node) jittered(duration time.Duration) time.Duration {
	const fraction = 10
	return duration - duration/fraction + time.Duration(n.random.Int64N(int64(2*duration/fraction)+1))
}

// Members returns all known members sorted by name, including this node and members with a tombstone. The caller must not modify
// the slice.
func (n *Node) Members() []Member {
	if n.table.members != nil {
		return n.table.members
	}
	members := make([]Member, 0, len(n.table.sorted)+1)
	placed := false
	for _, e := range n.table.sorted {
		if !placed && n.self.Name < e.Name {
			members = append(members, n.self)
			placed = true
		}
		members = append(members, e.Member)
	}
	if !placed {
		members = append(members, n.self)
	}
	n.table.members = members
	return members
}

// Self returns this node's record with its current incarnation.
func (n *Node) Self() Member { return n.self }

// Joined reports whether a push-pull with another member has succeeded since the start.
func (n *Node) Joined() bool { return n.joiner.joined }

// HealthScore returns Lifeguard's local health score, from 0 (healthy) to 5; timeouts are multiplied by 1 + score.
func (n *Node) HealthScore() int { return n.awareness.score }
