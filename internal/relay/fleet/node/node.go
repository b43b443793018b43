package node

import (
	"slices"
	"time"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
)

// Config is a relay's configuration of its fleet, fixed from its start on.
type Config struct {
	Name                 string
	Generation           uint64 // grows with each start
	Incarnation          uint64 // drawn at each start
	Seed                 uint64
	Member               uint64   // id in the voters' group; drawn with each new folder
	Voters               []string // relays that are to be voters
	Roster               []string // all relays of the fleet; used when it is bootstrapped, and on an operator's request
	Lease                time.Duration
	MaxClockDrift        float64 // how much faster or slower than another's a relay's clock may run, as a share
	ServeWhenPartitioned bool    // a partitioned relay goes on acting on what it knows
	GuaranteedShare      float64 // of each limit, that is split evenly and never leased to others; 0: no limits are shared
	Zone                 int     // for verdicts on destinations, which count by zone
}

const (
	requestsPerLease    = 8                      // lease requests in a lease
	rebroadcastInterval = 50 * time.Millisecond  // while a change is under way, to those that may not have heard
	retryInterval       = 100 * time.Millisecond // for a lease, by one that has none, and for what others remember
	readIndexInterval   = 20 * time.Millisecond  // between confirmations of the leadership by a majority
	reproposeInterval   = 500 * time.Millisecond // a command that did not come back from the log
	maxMissingNames     = 8                      // in a Progress
	recallLeases        = 3                      // for which a starting voter waits for all others' PositionQuery answers
	maxRemembered       = 32                     // members
	checkLeases         = 10                     // leases that a relay may take to check a change
)

// Node is one relay's member of the fleet. It is not safe for concurrent use.
type Node struct {
	config         Config
	now            time.Duration
	actions        []Action
	random64       uint64
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
	rejected         string
	generationRaises int // how often its generation was found to be an old one
	leader           string
	progress         *Progress
	verdict          *Verdict // on the change under way
	current          *Verdict // on what is in force
	haltedFor        uint64   // the core has halted for that version
	checksStarted    [2]uint64
	mandate          Mandate
	mandateSent      bool
	lessee           *quota.Lessee // nil: nothing is shared
	counters         map[quota.Key]uint64
	nextCountersAt   time.Duration

	// As a voter.
	probation           bool // no vote until others have answered which log position they remember of it
	positionAnswers     map[string]bool
	startedAt           time.Duration
	nextPositionQueryAt time.Duration
	remembered          map[uint64]consensus.LogPosition // newest log position that each other member has shown
	memberRelays        map[uint64]string                // the relay of each member that was heard from, also where the state does not name it yet
	counterTable        *quota.CounterTable
	nextTalliesAt       time.Duration

	leadership leadership
}

// New returns a relay's node, recovered from what lies on its disk.
func New(cfg Config, image *consensus.Image, now time.Duration) (*Node, error) {
	n := &Node{config: cfg, now: now, random64: cfg.Seed | 1, applied: &policy.State{}, newest: &policy.State{}, pendingRequests: map[uint64]time.Duration{},
		positionAnswers: map[string]bool{}, remembered: map[uint64]consensus.LogPosition{}, memberRelays: map[uint64]string{}, startedAt: now}
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
	if s := n.engine.Snapshot(); s != nil {
		n.restoreState(s)
	}
	n.counterTable = quota.NewCounterTable()
	n.probation = cfg.Generation > 1 // also with an empty log: an older folder may be from before it was filled
	for id, p := range image.Remembered {
		n.remembered[id] = p
	}
	n.leadership.reset(now)
	return n, nil
}

func (n *Node) random() uint64 {
	n.random64 += 0x9e3779b97f4a7c15
	z := n.random64
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) log(text string, fields ...any) { n.emit(Action{Log: text, Fields: fields}) }

func (n *Node) send(to string, m *Message) {
	if to != n.config.Name && to != "" {
		n.emit(Action{To: to, Message: m})
	}
}

// Step takes in what has happened and returns what is to be done, good until the next call.
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

// Next is how long nothing needs to be done unless something happens.
func (n *Node) Next(now time.Duration) time.Duration {
	d := max(n.nextRequestAt-now, 0)
	switch {
	case n.engine == nil:
	case n.engine.IsLeader() && (len(n.leadership.pendingGrants) > 0 || n.newest.Change != nil):
		d = min(d, readIndexInterval)
	case n.newest.Change != nil || n.probation:
		d = min(d, rebroadcastInterval)
	default:
		d = min(d, consensus.HeartbeatInterval/2)
	}
	return max(min(d, n.config.Lease/requestsPerLease), time.Millisecond)
}

func (n *Node) handleEvent(ev *Event) {
	switch {
	case ev.Message != nil:
		n.handleMessage(ev.From, ev.Message)
	case ev.HaltedFor != 0:
		n.haltedFor = max(n.haltedFor, ev.HaltedFor)
		n.nextRequestAt = n.now
	case ev.Verdict != nil:
		if ch := n.newest.Change; ch != nil && ch.Version == ev.Verdict.Version {
			n.verdict, n.nextRequestAt = ev.Verdict, n.now
		}
		if n.newest.Version == ev.Verdict.Version {
			n.current = ev.Verdict
		}
	case ev.Demands != nil && n.lessee != nil:
		n.lessee.SetDemands(*ev.Demands)
	case ev.Counters != nil:
		n.counters = *ev.Counters
	case ev.ConfirmedLease != nil && n.lessee != nil:
		n.lessee.Confirm(ev.ConfirmedLease[0], ev.ConfirmedLease[1])
		n.nextRequestAt = min(n.nextRequestAt, n.now+rebroadcastInterval) // what it no longer goes by is free for others then
	case ev.SaveFailed != nil:
		n.disableVoting(ev.SaveFailed.Error())
	case ev.AdminRequest != nil:
		n.handleAdminRequest(ev.AdminRequest)
	}
}

func (n *Node) handleMessage(from string, m *Message) {
	switch {
	case m.Raft != nil:
		r := m.Raft
		if n.engine == nil || r.To != n.engine.ID || n.probation {
			return
		}
		if len(n.memberRelays) > 64 {
			clear(n.memberRelays)
		}
		n.memberRelays[r.From] = from
		shown, err := n.engine.Receive(n.now, r.Data)
		if n.rememberPosition(r.From, shown); err != nil {
			n.log("dropped consensus message", "peer", from, "err", err)
		}
	case m.LeaseRequest != nil:
		n.handleLeaseRequest(from, m.LeaseRequest)
	case m.LeaseGrant != nil:
		if m.LeaseGrant.To != n.config.Name {
			n.send(m.LeaseGrant.To, m)
			return
		}
		n.handleLeaseGrant(from, m.LeaseGrant)
	case m.StateUpdate != nil && m.StateUpdate.State != nil:
		n.adoptState(m.StateUpdate.State)
		n.progress, n.leader = m.StateUpdate.Progress, from
	case m.PositionQuery != nil:
		n.handlePositionQuery(from, m.PositionQuery)
	case m.Propose != nil:
		n.propose(m.Propose, false)
	case len(m.Tallies) > 0:
		n.mergeTallies(m.Tallies)
	case m.Totals != nil:
		n.handleTotals(from, m.Totals)
	}
}

// adoptState takes over a committed state if it is newer.
func (n *Node) adoptState(s *policy.State) {
	if s.NewerThan(n.newest.Epoch, n.newest.Index) {
		if n.newest.Epoch != 0 && s.Epoch > n.newest.Epoch && n.engine != nil && s.Members[n.engine.ID] == "" {
			n.rejoinAsNewMember("the fleet goes on without its former majority")
		}
		n.newest = s
	}
}

// stepRelay does what every relay does: it requests leases, checks proposed changes, and updates the core's mandate.
func (n *Node) stepRelay() {
	s := n.newest
	if ch := s.Change; ch == nil {
		n.verdict = nil
	} else if n.verdict != nil && n.verdict.Version != ch.Version {
		n.verdict = nil
	}
	if ch := s.Change; ch != nil && ch.Phase == policy.Proposed && n.checksStarted[0] != ch.Version {
		n.checksStarted[0] = ch.Version
		n.emit(Action{Check: ch})
	}
	if n.current != nil && n.current.Version != s.Version {
		n.current = nil
	}
	if n.current == nil && s.Version != 0 && n.checksStarted[1] != s.Version {
		n.checksStarted[1] = s.Version
		n.emit(Action{Check: &policy.Change{Version: s.Version, Doc: s.Doc, Phase: policy.None}})
	}
	n.updateMandate()
	if n.lessee != nil {
		n.sendCounters()
	}
	if n.now >= n.nextRequestAt {
		n.requestLease()
	}
}

// updateMandate hands the core a new mandate where it has changed.
func (n *Node) updateMandate() {
	s := n.newest
	st := Mandate{Version: s.Version, Doc: s.Doc, Until: n.leaseUntil}
	switch {
	case n.leaseUntil == 0:
		st.WhyNot = "no lease yet"
		if n.rejected != "" {
			st.WhyNot = n.rejected
		}
	case s.Index < n.leaseIndex:
		st.Until, st.WhyNot = 0, "it has not caught up"
	case s.Version != 0 && n.current == nil:
		st.Until, st.WhyNot = 0, "the policy in force is being checked"
	case s.Version != 0 && n.current.Reason != "":
		st.Until, st.WhyNot = 0, "it can't apply the policy in force: "+n.current.Reason
	case n.rejected != "" && !n.config.ServeWhenPartitioned:
		st.WhyNot = n.rejected // the current lease still runs out
	}
	if s.Halted() {
		st.Halted = s.Change.Version
	}
	if st.Until != 0 && n.config.ServeWhenPartitioned && n.rejected == "" {
		st.Until = n.now + 24*time.Hour // partitioned, it goes on
		if n.mandateSent && n.mandate.Until-n.now > 12*time.Hour {
			st.Until = n.mandate.Until
		}
	}
	if n.mandateSent && st.Version == n.mandate.Version && st.Until == n.mandate.Until && st.Halted == n.mandate.Halted && st.WhyNot == n.mandate.WhyNot {
		return
	}
	if n.mandate.WhyNot != st.WhyNot {
		n.log("fleet mandate changed", "why_not", st.WhyNot, "version", st.Version)
	}
	n.mandate, n.mandateSent = st, true
	n.emit(Action{Mandate: &st})
}

// requestLease sends a lease request to the leader, or to a voter that forwards it.
func (n *Node) requestLease() {
	gap := n.config.Lease / requestsPerLease
	if n.now-n.grantedAt > 2*gap && n.requestSeq > 0 && len(n.config.Voters) > 0 {
		n.voterIndex = (n.voterIndex + 1) % len(n.config.Voters)
	}
	if n.leaseUntil-n.now < n.config.Lease/2 {
		gap = min(gap, retryInterval)
	}
	n.nextRequestAt = n.now + gap
	n.requestSeq++
	n.pendingRequests[n.requestSeq] = n.now
	for seq, at := range n.pendingRequests {
		if n.now-at > 2*n.config.Lease {
			delete(n.pendingRequests, seq)
		}
	}
	p := LeaseRequest{From: n.config.Name, Generation: n.config.Generation, Incarnation: n.config.Incarnation, Seq: n.requestSeq, Epoch: n.newest.Epoch, Index: n.newest.Index,
		Verdict: n.verdict}
	if n.lessee != nil {
		p.QuotaRequest = n.lessee.NextRequest(n.now, n.config.Zone)
	}
	if n.newest.Halted() && n.haltedFor >= n.newest.Change.Version {
		p.Stopped = n.haltedFor
	}
	if n.engine != nil {
		p.Member = n.engine.ID
		at := n.engine.Position()
		p.Term, p.LastIndex = at.Term, at.LastIndex
		record := p
		record.Forwarded, record.QuotaRequest = true, nil
		for _, name := range n.config.Voters { // its log position must be remembered by more than the leader
			n.send(name, &Message{LeaseRequest: &record})
		}
		if n.engine.IsLeader() && !n.probation {
			n.handleLeaseRequest(n.config.Name, &p)
			return
		}
		if to := n.applied.Members[n.engine.Leader()]; to != "" && n.now-n.grantedAt <= 2*gap {
			n.send(to, &Message{LeaseRequest: &p})
			return
		}
	}
	if len(n.config.Voters) > 0 {
		n.send(n.config.Voters[n.voterIndex], &Message{LeaseRequest: &p})
	}
}

// raiseGeneration begins a new incarnation with a generation above newest, which was heard of this relay's name: a folder that was
// lost, or restored, does not know how often the relay was started. Two relays of one name would outbid each other for ever, so
// that it does so twice at most.
func (n *Node) raiseGeneration(newest uint64) {
	if n.generationRaises++; n.generationRaises > 2 {
		if n.generationRaises == 3 {
			n.log("another relay uses this relay's name", "relay", n.config.Name, "generation", newest)
		}
		return
	}
	n.config.Generation, n.config.Incarnation = newest+1, n.random()|1
	clear(n.pendingRequests)
	n.nextRequestAt = n.now
	n.emit(Action{Generation: n.config.Generation})
}

// handleLeaseGrant takes a lease. It counts from when its request was sent, and is shortened by the clocks' drift, so that it
// always ends before the leader takes it for over.
func (n *Node) handleLeaseGrant(from string, g *LeaseGrant) {
	at, ok := n.pendingRequests[g.Seq]
	if !ok || g.Generation != n.config.Generation || g.Incarnation != n.config.Incarnation {
		return // of a former incarnation, or answered
	}
	n.grantedAt, n.leader, n.progress = n.now, from, g.Progress
	if g.State != nil {
		n.adoptState(g.State)
	}
	if g.NewestGeneration >= n.config.Generation {
		n.raiseGeneration(g.NewestGeneration)
	}
	if n.rejected = g.Rejected; g.Rejected != "" || g.Lease <= 0 {
		return
	}
	delete(n.pendingRequests, g.Seq)
	n.leaseIndex = max(n.leaseIndex, g.Index)
	until := at + time.Duration(float64(g.Lease)*(1-n.config.MaxClockDrift))
	if n.lessee != nil && g.QuotaGrant != nil {
		if s := n.lessee.HandleGrant(until, g.QuotaGrant); s != nil {
			n.emit(Action{Lease: s})
		}
		if g.QuotaGrant.ReportLeased {
			n.nextRequestAt = min(n.nextRequestAt, n.now+rebroadcastInterval)
		}
	}
	n.leaseUntil = max(n.leaseUntil, until)
}
