package node

import (
	"slices"
	"time"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
)

// Config is a relay's configuration of its fleet. It does not change while the node runs, but for the generation and the incarnation.
type Config struct {
	Name                 string
	Generation           uint64        // grows with each start
	Incarnation          uint64        // drawn at each start
	Seed                 uint64        // of all random numbers
	Member               uint64        // id in the voters' group; drawn with each new folder
	Voters               []string      // relays that are to be voters
	Roster               []string      // all relays of the fleet; used when it is bootstrapped, and on an operator's request
	Lease                time.Duration // longer ones outlast longer partitions, and delay changes of policy by as much when a relay is lost
	MaxClockDrift        float64       // how much faster or slower than another's a relay's clock may run, as a share
	ServeWhenPartitioned bool          // a partitioned relay goes on acting on what it knows
	GuaranteedShare      float64       // of each limit, that is split evenly and never leased to others; 0: no limits are shared
	Zone                 int           // for verdicts on destinations, which count by zone
}

const (
	requestsPerLease    = 8                      // lease requests in a lease
	rebroadcastInterval = 50 * time.Millisecond  // while a change is under way, to those that may not have heard
	retryInterval       = 100 * time.Millisecond // for a lease, by one that has none, and for what others remember
	readIndexInterval   = 20 * time.Millisecond  // between confirmations of the leadership by a majority
	reproposeInterval   = 500 * time.Millisecond // a command that did not come back from the log
	maxMissingNames     = 8                      // in a Progress
	recallLeases        = 3                      // leases for which a starting voter waits for all others' answers to its PositionQuery
	maxRemembered       = 32                     // log positions of members; beyond that, those of former members are forgotten
	checkLeases         = 10                     // leases that a relay may take to check a change
)

// Node is one relay's member of the fleet. It is not safe for concurrent use. Times are on the caller's clock, and must never go back.
type Node struct {
	config         Config
	now            time.Duration
	actions        []Action          // of the current Step
	random64       uint64            // state of the generator, see random
	engine         *consensus.Engine // nil: it is no voter, and learns the state from the voters
	votingDisabled string            // not empty: why it is no voter until its next start

	applied *policy.State // what the engine has applied
	newest  *policy.State // the newest that is known, from the engine or from others

	// As every relay.
	requestSeq       uint64
	pendingRequests  map[uint64]time.Duration // when unanswered lease requests were sent, by Seq
	nextRequestAt    time.Duration
	grantedAt        time.Duration // when a lease request was last answered
	voterIndex       int           // the voter that is asked
	leaseUntil       time.Duration // of the lease; 0: none in this incarnation
	leaseIndex       uint64        // that the lease asks for
	rejected         string        // why the leader gives no lease; empty: it does
	generationRaises int           // how often its generation was found to be an old one
	leader           string        // as far as is known
	progress         *Progress
	verdict          *Verdict             // on the change under way
	current          *Verdict             // on what is in force
	haltedFor        uint64               // the core has halted for that version
	checksStarted    [2]uint64            // versions whose check was started: under way, and in force
	mandate          Mandate              // the core's
	mandateSent      bool                 // the core has one
	lessee           *quota.Lessee        // nil: nothing is shared
	counters         map[quota.Key]uint64 // of the core, as observed last; nil: never
	nextCountersAt   time.Duration

	// As a voter.
	probation           bool            // no vote until others have answered which log position they remember of it
	positionAnswers     map[string]bool // relays that have answered
	startedAt           time.Duration
	nextPositionQueryAt time.Duration
	remembered          map[uint64]consensus.LogPosition // newest log position that each other member has shown
	memberRelays        map[uint64]string                // the relay of each member that was heard from, also where the state does not name it yet
	counterTable        *quota.CounterTable
	nextTalliesAt       time.Duration

	leadership leadership
}

// New returns a relay's node, restored from the image on its disk. It fails where the image can't be used; see consensus.New.
func New(cfg Config, image *consensus.Image, now time.Duration) (*Node, error) {
	n := &Node{config: cfg, now: now, random64: cfg.Seed | 1, applied: &policy.State{}, newest: &policy.State{},
		pendingRequests: map[uint64]time.Duration{}, positionAnswers: map[string]bool{}, remembered: map[uint64]consensus.LogPosition{},
		memberRelays: map[uint64]string{}, startedAt: now}
	if cfg.GuaranteedShare > 0 {
		n.lessee = &quota.Lessee{ServeAlone: cfg.ServeWhenPartitioned}
	}
	n.voterIndex = int(n.random() % uint64(max(len(cfg.Voters), 1)))
	if !slices.Contains(cfg.Voters, cfg.Name) {
		return n, nil
	}
	var err error
	if n.engine, err = consensus.New(cfg.Member, n.random(), image, now); err != nil {
		return nil, err
	}
	if snapshot := n.engine.Snapshot(); snapshot != nil {
		n.restoreState(snapshot)
	}
	n.counterTable = quota.NewCounterTable()
	n.probation = cfg.Generation > 1 // also with an empty log: an older folder may be from before it was filled
	for id, position := range image.Remembered {
		n.remembered[id] = position
	}
	n.leadership.reset(now)
	return n, nil
}

// random returns the next number of a generator (SplitMix64): the same ones for the same seed.
func (n *Node) random() uint64 {
	n.random64 += 0x9e3779b97f4a7c15
	z := n.random64
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// emit adds an action to those that Step returns.
func (n *Node) emit(action Action) { n.actions = append(n.actions, action) }

// log emits a log line.
func (n *Node) log(text string, fields ...any) { n.emit(Action{Log: text, Fields: fields}) }

// send emits a message to another relay; one to this relay, or to nobody, is passed over.
func (n *Node) send(to string, m *Message) {
	if to != n.config.Name && to != "" {
		n.emit(Action{To: to, Message: m})
	}
}

// Step handles events, and all that is due, and returns what is to be done, in that order. The actions are valid until the next call.
func (n *Node) Step(now time.Duration, events []Event) []Action {
	n.now, n.actions = now, n.actions[:0]
	for i := range events {
		n.handleEvent(&events[i])
	}
	if n.engine != nil {
		n.stepVoter()
	}
	n.stepRelay()
	if n.engine != nil && n.engine.IsLeader() {
		n.stepVoter() // its lease request to itself
	}
	return n.actions
}

// Next returns how long no Step is due unless an event comes: a millisecond at least.
func (n *Node) Next(now time.Duration) time.Duration {
	next := max(n.nextRequestAt-now, 0)
	switch {
	case n.engine == nil:
	case n.engine.IsLeader() && (len(n.leadership.pendingGrants) > 0 || n.newest.Change != nil):
		next = min(next, readIndexInterval)
	case n.newest.Change != nil || n.probation:
		next = min(next, rebroadcastInterval)
	default:
		next = min(next, consensus.HeartbeatInterval/2)
	}
	return max(min(next, n.config.Lease/requestsPerLease), time.Millisecond)
}

// handleEvent handles one event.
func (n *Node) handleEvent(event *Event) {
	switch {
	case event.Message != nil:
		n.handleMessage(event.From, event.Message)
	case event.HaltedFor != 0:
		n.haltedFor = max(n.haltedFor, event.HaltedFor)
		n.nextRequestAt = n.now
	case event.Verdict != nil:
		if change := n.newest.Change; change != nil && change.Version == event.Verdict.Version {
			n.verdict, n.nextRequestAt = event.Verdict, n.now
		}
		if n.newest.Version == event.Verdict.Version {
			n.current = event.Verdict
		}
	case event.Demands != nil && n.lessee != nil:
		n.lessee.SetDemands(*event.Demands)
	case event.Counters != nil:
		n.counters = *event.Counters
	case event.ConfirmedLease != nil && n.lessee != nil:
		n.lessee.Confirm(event.ConfirmedLease[0], event.ConfirmedLease[1])
		n.nextRequestAt = min(n.nextRequestAt, n.now+rebroadcastInterval) // what this relay gives up can be leased to others then
	case event.SaveFailed != nil:
		n.disableVoting(event.SaveFailed.Error())
	case event.AdminRequest != nil:
		n.handleAdminRequest(event.AdminRequest)
	}
}

// handleMessage handles a message from another relay.
func (n *Node) handleMessage(from string, message *Message) {
	switch {
	case message.Raft != nil:
		n.handleRaft(from, message.Raft)
	case message.LeaseRequest != nil:
		n.handleLeaseRequest(from, message.LeaseRequest)
	case message.LeaseGrant != nil:
		if message.LeaseGrant.To != n.config.Name {
			n.send(message.LeaseGrant.To, message)
			return
		}
		n.handleLeaseGrant(from, message.LeaseGrant)
	case message.StateUpdate != nil && message.StateUpdate.State != nil:
		n.adoptState(message.StateUpdate.State)
		n.progress, n.leader = message.StateUpdate.Progress, from
	case message.PositionQuery != nil:
		n.handlePositionQuery(from, message.PositionQuery)
	case message.Propose != nil:
		n.propose(message.Propose, false)
	case len(message.Tallies) > 0:
		n.mergeTallies(message.Tallies)
	case message.Totals != nil:
		n.handleTotals(from, message.Totals)
	}
}

// maxMemberRelays bounds the members whose relays are remembered; with one more all are forgotten.
const maxMemberRelays = 64

// handleRaft passes a message to the engine, if it is a member's that may vote, and remembers the log position that the message shows.
func (n *Node) handleRaft(from string, message *Raft) {
	if n.engine == nil || message.To != n.engine.ID || n.probation {
		return
	}
	if len(n.memberRelays) > maxMemberRelays {
		clear(n.memberRelays)
	}
	n.memberRelays[message.From] = from
	shown, err := n.engine.Receive(n.now, message.Data)
	if n.rememberPosition(message.From, shown); err != nil {
		n.log("dropped consensus message", "peer", from, "err", err)
	}
}

// adoptState takes over a committed state if it is newer.
func (n *Node) adoptState(state *policy.State) {
	if state.NewerThan(n.newest.Epoch, n.newest.Index) {
		if n.newest.Epoch != 0 && state.Epoch > n.newest.Epoch && n.engine != nil && state.Members[n.engine.ID] == "" {
			n.rejoinAsNewMember("the fleet goes on without its former majority")
		}
		n.newest = state
	}
}

// stepRelay does what every relay does: it requests leases, checks proposed changes, and updates the core's mandate.
func (n *Node) stepRelay() {
	state := n.newest
	if change := state.Change; change == nil {
		n.verdict = nil
	} else if n.verdict != nil && n.verdict.Version != change.Version {
		n.verdict = nil
	}
	if change := state.Change; change != nil && change.Phase == policy.Proposed && n.checksStarted[0] != change.Version {
		n.checksStarted[0] = change.Version
		n.emit(Action{Check: change})
	}
	if n.current != nil && n.current.Version != state.Version {
		n.current = nil
	}
	if n.current == nil && state.Version != 0 && n.checksStarted[1] != state.Version {
		n.checksStarted[1] = state.Version
		n.emit(Action{Check: &policy.Change{Version: state.Version, Doc: state.Doc, Phase: policy.None}})
	}
	n.updateMandate()
	if n.lessee != nil {
		n.sendCounters()
	}
	if n.now >= n.nextRequestAt {
		n.requestLease()
	}
}

// updateMandate gives the core a new mandate, if that has changed.
func (n *Node) updateMandate() {
	state := n.newest
	mandate := Mandate{Version: state.Version, Doc: state.Doc, Until: n.leaseUntil}
	switch {
	case n.leaseUntil == 0:
		mandate.WhyNot = "no lease yet"
		if n.rejected != "" {
			mandate.WhyNot = n.rejected
		}
	case state.Index < n.leaseIndex:
		mandate.Until, mandate.WhyNot = 0, "it has not caught up"
	case state.Version != 0 && n.current == nil:
		mandate.Until, mandate.WhyNot = 0, "the policy in force is being checked"
	case state.Version != 0 && n.current.Reason != "":
		mandate.Until, mandate.WhyNot = 0, "it can't apply the policy in force: "+n.current.Reason
	case n.rejected != "" && !n.config.ServeWhenPartitioned:
		mandate.WhyNot = n.rejected // the current lease still lasts until its end
	}
	if state.Halted() {
		mandate.Halted = state.Change.Version
	}
	if mandate.Until != 0 && n.config.ServeWhenPartitioned && n.rejected == "" {
		mandate.Until = n.now + 24*time.Hour // partitioned, it acts on
		if n.mandateSent && n.mandate.Until-n.now > 12*time.Hour {
			mandate.Until = n.mandate.Until
		}
	}
	if n.mandateSent && mandate.Version == n.mandate.Version && mandate.Until == n.mandate.Until && mandate.Halted == n.mandate.Halted &&
		mandate.WhyNot == n.mandate.WhyNot {
		return
	}
	if n.mandate.WhyNot != mandate.WhyNot {
		n.log("fleet mandate changed", "why_not", mandate.WhyNot, "version", mandate.Version)
	}
	n.mandate, n.mandateSent = mandate, true
	n.emit(Action{Mandate: &mandate})
}
