package membership

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"
)

// Input is all that has happened since the last Step.
type Input struct {
	Datagrams []Datagram
	Arrivals  []PushPullArrival
	Results   []PushPullResult
	Seeds     []string        // replace the seeds; nil: as they are
	Payload   json.RawMessage // is attached from now on; nil: as it is
	Leave     bool            // the process is about to end
}

// Effects is what must be done.
type Effects struct {
	Datagrams []Datagram
	Calls     []PushPullCall
	Replies   []PushPullReply
	Events    []Event
	Payloads  []Payload
	NextWake  time.Duration // when Step is to be called again at the latest
}

// Payload is what the application of another member has attached.
type Payload struct {
	Name    string // of the sender
	Address string // of the sender
	Body    json.RawMessage
}

// Node is one member's part of the protocol.
type Node struct {
	options Options
	self    Member
	random  *rand.Rand

	now        time.Duration
	started    time.Duration
	nextWakeAt time.Duration // last NextWake; zero before the first Step
	effects    Effects

	table      *table
	priority   *transmitLimitedQueue // suspicions and refutations
	broadcasts *transmitLimitedQueue // who is there and who is gone
	payload    json.RawMessage
	seeds      []string

	prober     prober
	suspects   []*entry // those with a suspicion
	indirect   []indirectProbe
	awareness  int // how slow this node itself seems, from 0 to maxHealthScore
	pushPull   pushPullState
	gossipDue  bool          // there is news that a few members are told at once
	lastGossip time.Duration // when that was last done
}

// New returns a node that has not been started: the first Step does that.
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

// Step takes in what has happened up to now, a clock that never goes back, and returns what must be done.
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
	for _, outcome := range input.Results {
		n.handlePushPullResult(outcome)
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

// initialize sets the first times up in the first Step.
func (n *Node) initialize() {
	if n.nextWakeAt != 0 {
		return
	}
	n.nextWakeAt = n.now
	n.started = n.now
	n.pushPull.lastStart = n.now - n.options.PushPullInterval
	n.prober.nextProbe = n.now + n.jittered(n.options.ProbeInterval)
	n.prober.nextDeadProbe = n.prober.nextProbe
	n.pushPull.nextSeedProbe = n.now + n.seedProbeInterval()
	n.broadcasts.queueBroadcast(updateOf(n.self))
}

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

// runTimers does what is due.
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

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

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

// jittered returns a duration within a tenth of the one given, so that members do not fall into step.
func (n *Node) jittered(duration time.Duration) time.Duration {
	const share = 10
	return duration - duration/share + time.Duration(n.random.Int64N(int64(2*duration/share)+1))
}

// Members returns all members that are known, the node itself among them, by name. The slice must not be changed.
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

// Self returns the node's own record with its present incarnation.
func (n *Node) Self() Member { return n.self }

// Joined tells whether another member has answered since the start.
func (n *Node) Joined() bool { return n.pushPull.joined }

// HealthScore tells how slow the node itself seems: 0 is well.
func (n *Node) HealthScore() int { return n.awareness }
