package node

import (
	"slices"
	"time"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
)

// Config is a relay's configuration of its fleet. It is constant while the node runs, except for Generation and Incarnation.
type Config struct {
	Name                 string
	Generation           uint64        // grows with each start
	Incarnation          uint64        // random, drawn at each start
	Seed                 uint64        // of the random generator
	Member               uint64        // id in the voter group, drawn for each new folder
	Voters               []string      // names of the relays that should be voters
	Roster               []string      // names of all relays of the fleet; applied at the bootstrap, and on an operator's request
	Lease                time.Duration // a longer lease outlasts longer partitions, but delays changes longer when a relay is lost
	MaxClockDrift        float64       // maximum difference in speed between two relays' clocks, as a fraction
	ServeWhenPartitioned bool          // a partitioned relay continues to act under the newest version that it knows
	GuaranteedShare      float64       // fraction of each limit that is split evenly and never leased to others; 0: no limits are shared
	Zone                 int           // verdicts on destinations are made per zone
}

const (
	requestsPerLease    = 8                      // lease requests within the duration of a lease
	rebroadcastInterval = 50 * time.Millisecond  // during a change, to relays that may not know the newest state
	retryInterval       = 100 * time.Millisecond // of lease requests without a lease, and of a PositionQuery
	readIndexInterval   = 20 * time.Millisecond  // between confirmations of the leadership by a majority
	reproposeInterval   = 500 * time.Millisecond // of a command that was not committed, and of the check of the members
	maxMissingNames     = 8                      // in a Progress, and of excused relays in a change
	positionQueryLeases = 3                      // durations of a lease for which a starting voter waits for all answers to its queries
	maxRemembered       = 32                     // log positions that are remembered; beyond that, those of former members are dropped
	checkTimeoutLeases  = 10                     // durations of a lease after which a change without all verdicts is dropped
)

// Node is the state of one relay's membership in its fleet. It is not safe for concurrent use. Times are on the caller's clock, which must
// never go back.
type Node struct {
	config         Config
	now            time.Duration
	actions        []Action          // that the current Step returns
	randomState    uint64            // of the random generator, see random
	engine         *consensus.Engine // nil: this relay is not a voter, and gets the state from voters
	votingDisabled string            // why this relay does not vote until its next start; empty: it may

	applied *policy.State // the state that the engine has applied
	newest  *policy.State // the newest known state, from the engine or other relays

	// Of every relay.
	requestSeq       uint64
	pendingRequests  map[uint64]time.Duration // when lease requests without a grant were sent, by Seq
	nextRequestAt    time.Duration
	grantedAt        time.Duration // when the last answer to a lease request arrived
	voterIndex       int           // in Config.Voters: the voter that requests are sent to
	leaseUntil       time.Duration // end of the lease; 0: there was none in this incarnation
	leaseIndex       uint64        // index of the state that the lease requires
	rejected         string        // why the leader grants no lease; empty: it does
	generationRaises int           // how often this relay raised its generation, see raiseGeneration
	leader           string        // name, as far as this relay knows
	progress         *Progress
	changeVerdict    *Verdict             // on the proposed change
	currentVerdict   *Verdict             // on the version in force
	haltedFor        uint64               // the version until which the core has halted
	checksStarted    [2]uint64            // versions whose checks were started: of the proposed change, and in force
	mandate          Mandate              // that the core was given last
	mandateSent      bool                 // the core was given a mandate
	lessee           *quota.Lessee        // nil: no limits are shared
	counters         map[quota.Key]uint64 // of the core, as last observed; nil: never observed
	nextCountersAt   time.Duration

	// Of a voter.
	probation           bool            // does not vote until other voters have reported the log position that they remember of this one
	positionAnswers     map[string]bool // relays that have answered a PositionQuery
	startedAt           time.Duration
	nextPositionQueryAt time.Duration
	remembered          map[uint64]consensus.LogPosition // newest log position that each member has shown
	memberRelays        map[uint64]string                // relays of the members that sent messages; the state may not have them yet
	counterTable        *quota.CounterTable
	nextTalliesAt       time.Duration

	leadership leadership
}

// New returns a relay's node, restored from the image on its disk. It fails if the image can't be used, see consensus.New.
func New(cfg Config, image *consensus.Image, now time.Duration) (*Node, error) {
	n := &Node{config: cfg, now: now, randomState: cfg.Seed | 1, applied: &policy.State{}, newest: &policy.State{},
		pendingRequests: map[uint64]time.Duration{}, positionAnswers: map[string]bool{}, remembered: map[uint64]consensus.LogPosition{},
		memberRelays: map[uint64]string{}, startedAt: now}
	if cfg.GuaranteedShare > 0 {
		n.lessee = &quota.Lessee{ServeWhenPartitioned: cfg.ServeWhenPartitioned}
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
	n.probation = cfg.Generation > 1 // also with an empty log: a restored folder may be older than the first entry
	for id, position := range image.Remembered {
		n.remembered[id] = position
	}
	n.leadership.reset(now)
	return n, nil
}

// random returns the next number of a deterministic random generator (SplitMix64).
func (n *Node) random() uint64 {
	n.randomState += 0x9e3779b97f4a7c15
	z := n.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// emit appends an action to those that Step returns.
func (n *Node) emit(action Action) { n.actions = append(n.actions, action) }

// log emits a log line.
func (n *Node) log(text string, fields ...any) { n.emit(Action{Log: text, Fields: fields}) }

// send emits a message to another relay. A message to this relay, or with an empty receiver, is dropped.
func (n *Node) send(to string, m *Message) {
	if to != n.config.Name && to != "" {
		n.emit(Action{To: to, Message: m})
	}
}

// Step handles events and everything that is due, and returns actions to be executed in order. The actions are valid until the next call.
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
		n.stepVoter() // handles its lease request to itself
	}
	return n.actions
}

// Next returns the time until the next Step is due if no event arrives before: at least a millisecond.
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
			n.changeVerdict, n.nextRequestAt = event.Verdict, n.now
		}
		if n.newest.Version == event.Verdict.Version {
			n.currentVerdict = event.Verdict
		}
	case event.Demands != nil && n.lessee != nil:
		n.lessee.SetDemands(*event.Demands)
	case event.Counters != nil:
		n.counters = *event.Counters
	case event.ConfirmedLease != nil && n.lessee != nil:
		n.lessee.Confirm(event.ConfirmedLease[0], event.ConfirmedLease[1])
		n.nextRequestAt = min(n.nextRequestAt, n.now+rebroadcastInterval) // then the leader can lease to others what this relay gave up
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

// maxMemberRelays bounds Node.memberRelays, which is cleared when it has more entries.
const maxMemberRelays = 64

// handleRaft passes a message to the engine if this relay may vote, and remembers the log position that the message shows.
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

// adoptState replaces the newest known state by a committed one if that is newer.
func (n *Node) adoptState(state *policy.State) {
	if state.NewerThan(n.newest.Epoch, n.newest.Index) {
		if n.newest.Epoch != 0 && state.Epoch > n.newest.Epoch && n.engine != nil && state.Members[n.engine.ID] == "" {
			n.rejoinAsNewMember("the voter group was bootstrapped anew without this member")
		}
		n.newest = state
	}
}

// stepRelay does the work of every relay in a Step: it starts checks of policies, updates the core's mandate, and requests leases.
func (n *Node) stepRelay() {
	state := n.newest
	if change := state.Change; change == nil {
		n.changeVerdict = nil
	} else if n.changeVerdict != nil && n.changeVerdict.Version != change.Version {
		n.changeVerdict = nil
	}
	if change := state.Change; change != nil && change.Phase == policy.Proposed && n.checksStarted[0] != change.Version {
		n.checksStarted[0] = change.Version
		n.emit(Action{Check: change})
	}
	if n.currentVerdict != nil && n.currentVerdict.Version != state.Version {
		n.currentVerdict = nil
	}
	if n.currentVerdict == nil && state.Version != 0 && n.checksStarted[1] != state.Version {
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

// updateMandate emits a new mandate for the core if it differs from the last.
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
		mandate.Until, mandate.WhyNot = 0, "it does not know the state that its lease requires"
	case state.Version != 0 && n.currentVerdict == nil:
		mandate.Until, mandate.WhyNot = 0, "the policy in force is being checked"
	case state.Version != 0 && n.currentVerdict.Reason != "":
		mandate.Until, mandate.WhyNot = 0, "it can't apply the policy in force: "+n.currentVerdict.Reason
	case n.rejected != "" && !n.config.ServeWhenPartitioned:
		mandate.WhyNot = n.rejected // the current lease is still valid until its end
	}
	if state.Halted() {
		mandate.Halted = state.Change.Version
	}
	if mandate.Until != 0 && n.config.ServeWhenPartitioned && n.rejected == "" {
		mandate.Until = n.now + 24*time.Hour // so that the relay continues to act when it is partitioned
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
