package membership

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"
)

// Input is what has happened since the last Step.
type Input struct {
	Datagrams []Datagram        // received
	Arrivals  []PushPullArrival // received, each to be answered
	Results   []PushPullResult  // of earlier calls
	Seeds     []string          // replaces the seeds; nil: unchanged
	Payload   json.RawMessage   // attached to pings and acks from now on; nil: unchanged
	Leave     bool              // the process is about to end
}

// Effects is what the caller of Step must do.
type Effects struct {
	Datagrams []Datagram      // to be sent
	Calls     []PushPullCall  // to be made
	Replies   []PushPullReply // to be sent
	Events    []Event         // in the order in which they happened
	Payloads  []Payload       // received from other members
	NextWake  time.Duration   // when Step is to be called again at the latest
}

// Payload is what the application of another member attached to a ping or ack.
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

	now        time.Duration // of the present Step
	started    time.Duration // time of the first Step
	nextWakeAt time.Duration // last NextWake; zero before the first Step
	effects    Effects

	table      *table
	priority   *transmitLimitedQueue // suspicions and refutations; sent first
	broadcasts *transmitLimitedQueue // joins, deaths and leaves
	payload    json.RawMessage
	seeds      []string

	prober     prober
	suspects   []*entry // those in StateSuspect
	indirect   []indirectProbe
	awareness  awareness
	pushPull   pushPullState
	joiner     joiner
	gossipDue  bool          // an update must be gossiped without waiting for a probe
	lastGossip time.Duration // time of the last gossip messages
}

// New returns a node. The first Step starts it.
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

// Step handles what has happened up to now and returns what must be done. now is a monotonic clock; the caller must call
// Step again at NextWake at the latest, also without input. A call that comes later by more than ProbeTimeout is taken for a
// process that was frozen.
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

// configure takes new seeds and a new payload.
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

// runTimers does what is due. A node that has left only finishes the probes that it makes for others.
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

// never is a deadline that does not pass.
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

// jittered returns a duration within a tenth of the one given, so that members do not synchronise.
func (n *Node) jittered(duration time.Duration) time.Duration {
	const fraction = 10
	return duration - duration/fraction + time.Duration(n.random.Int64N(int64(2*duration/fraction)+1))
}

// Members returns all known members, this node and those with a tombstone included, sorted by name. The slice must not be
// changed.
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

// Self returns this node's record with its present incarnation.
func (n *Node) Self() Member { return n.self }

// Joined reports whether a push-pull with another member has succeeded since the start.
func (n *Node) Joined() bool { return n.joiner.joined }

// HealthScore returns Lifeguard's local health score, from 0 (healthy) to 5; time-outs are one more times as long.
func (n *Node) HealthScore() int { return n.awareness.score }
