package node

import (
	"slices"
	"time"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
)

// Config is what a relay is told of its fleet at its start.
type Config struct {
	Name   string
	Gen    uint64 // grows with each start
	Life   uint64 // drawn at each start
	Seed   uint64
	Member uint64   // of the image; drawn with each new folder
	Voters []string // relays that should have a say
	Roster []string // all relays of the fleet; for its founding, and when an operator says so
	Lease  time.Duration
	Drift  float64 // how much faster or slower than another's a relay's clock may run, as a share
	Serve  bool    // a relay that is cut off goes on acting on what it knows
	Kept   float64 // of each right, that is all relays' own and never lent; 0: nothing is shared
	Zone   int     // where it stands, for what relays tell each other of destinations
}

const (
	pingParts    = 8                      // pings in a lease
	pushAgain    = 50 * time.Millisecond  // while a change is under way, to those that may not have heard
	askAgain     = 100 * time.Millisecond // for a lease, by one that has none, and for what others remember
	readEvery    = 20 * time.Millisecond  // a majority's word for leases
	sayAgain     = 500 * time.Millisecond // a command that did not come back from the log
	mostMissing  = 8                      // names in a progress
	recallLeases = 3                      // for which a voter that starts waits for what all others remember of it
	mostMemory   = 32                     // members
	checkLeases  = 10                     // leases that a relay may take to check a change
)

// Node is one relay's part. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	now    time.Duration
	acts   []Action
	rng    uint64
	engine *consensus.Engine // nil: it has no say, and learns from those who have
	broken string            // why it will have none in this life

	agreed *policy.State // what the engine has applied
	known  *policy.State // the newest that is known, from the engine or from others

	// As one that acts.
	seq      uint64
	sent     map[uint64]time.Duration // when pings were sent that are not answered
	pingAt   time.Duration
	heardAt  time.Duration // when a ping was last answered
	via      int           // the voter that is asked
	until    time.Duration // of the lease; 0: none in this life
	index    uint64        // that the lease asks for
	refused  string
	raised   int // how often its generation was found to be an old one
	leader   string
	progress *Progress
	verdict  *Verdict // on the change under way
	current  *Verdict // on what is in force
	stopped  uint64   // the core has stopped for that version
	asked    [2]uint64
	stand    Stand
	stood    bool
	purse    *quota.Lessee // nil: nothing is shared
	counts   map[quota.Key]uint64
	countAt  time.Duration

	// As a voter.
	probation bool // until others have said what they remember of it
	answers   map[string]bool
	since     time.Duration
	recallAt  time.Duration
	memory    map[uint64]consensus.Position // what others' members have shown
	routes    map[uint64]string             // where members were heard from that the state does not name yet
	book      *quota.CounterTable
	sayAt     time.Duration

	lead leader
}

// New returns a relay's part with what lies on its disk.
func New(cfg Config, image *consensus.Image, now time.Duration) (*Node, error) {
	n := &Node{cfg: cfg, now: now, rng: cfg.Seed | 1, agreed: &policy.State{}, known: &policy.State{}, sent: map[uint64]time.Duration{},
		answers: map[string]bool{}, memory: map[uint64]consensus.Position{}, routes: map[uint64]string{}, since: now}
	if cfg.Kept > 0 {
		n.purse = &quota.Lessee{ServeAlone: cfg.Serve}
	}
	n.via = int(n.draw() % uint64(max(len(cfg.Voters), 1)))
	if !slices.Contains(cfg.Voters, cfg.Name) {
		return n, nil
	}
	var err error
	if n.engine, err = consensus.New(cfg.Member, n.draw(), image, now); err != nil {
		return nil, err
	}
	if s := n.engine.Snapshot(); s != nil {
		n.restore(s)
	}
	n.book = quota.NewCounterTable()
	n.probation = cfg.Gen > 1 // also with an empty log: an older folder may be from before it was filled
	for id, p := range image.Memory {
		n.memory[id] = p
	}
	n.lead.reset(now)
	return n, nil
}

func (n *Node) draw() uint64 {
	n.rng += 0x9e3779b97f4a7c15
	z := n.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (n *Node) do(a Action) { n.acts = append(n.acts, a) }

func (n *Node) log(text string, fields ...any) { n.do(Action{Log: text, Fields: fields}) }

func (n *Node) send(to string, m *Message) {
	if to != n.cfg.Name && to != "" {
		n.do(Action{To: to, Message: m})
	}
}

// Step takes in what has happened and returns what is to be done, good until the next call.
func (n *Node) Step(now time.Duration, events []Event) []Action {
	n.now, n.acts = now, n.acts[:0]
	for i := range events {
		n.event(&events[i])
	}
	if n.engine != nil {
		n.vote()
	}
	n.follow()
	if n.engine != nil && n.engine.Leads() {
		n.vote() // what it has told itself
	}
	return n.acts
}

// Next is how long nothing needs to be done unless something happens.
func (n *Node) Next(now time.Duration) time.Duration {
	d := max(n.pingAt-now, 0)
	switch {
	case n.engine == nil:
	case n.engine.Leads() && (len(n.lead.waits) > 0 || n.known.Change != nil):
		d = min(d, readEvery)
	case n.known.Change != nil || n.probation:
		d = min(d, pushAgain)
	default:
		d = min(d, consensus.Heartbeat/2)
	}
	return max(min(d, n.cfg.Lease/pingParts), time.Millisecond)
}

func (n *Node) event(ev *Event) {
	switch {
	case ev.Message != nil:
		n.message(ev.From, ev.Message)
	case ev.Stopped != 0:
		n.stopped = max(n.stopped, ev.Stopped)
		n.pingAt = n.now
	case ev.Verdict != nil:
		if ch := n.known.Change; ch != nil && ch.Version == ev.Verdict.Version {
			n.verdict, n.pingAt = ev.Verdict, n.now
		}
		if n.known.Version == ev.Verdict.Version {
			n.current = ev.Verdict
		}
	case ev.Needs != nil && n.purse != nil:
		n.purse.SetDemands(*ev.Needs)
	case ev.Counts != nil:
		n.counts = *ev.Counts
	case ev.Goes != nil && n.purse != nil:
		n.purse.Confirm(ev.Goes[0], ev.Goes[1])
		n.pingAt = min(n.pingAt, n.now+pushAgain) // what it holds no more is others' then
	case ev.Broken != nil:
		n.retire(ev.Broken.Error())
	case ev.Ask != nil:
		n.ask(ev.Ask)
	}
}

func (n *Node) message(from string, m *Message) {
	switch {
	case m.Raft != nil:
		r := m.Raft
		if n.engine == nil || r.To != n.engine.ID || n.probation {
			return
		}
		if len(n.routes) > 64 {
			clear(n.routes)
		}
		n.routes[r.From] = from
		shown, err := n.engine.Receive(n.now, r.Data)
		if n.remember(r.From, shown); err != nil {
			n.log("a message of the fleet's agreement is dropped", "from", from, "error", err)
		}
	case m.Ping != nil:
		n.pinged(from, m.Ping)
	case m.Grant != nil:
		if m.Grant.To != n.cfg.Name {
			n.send(m.Grant.To, m)
			return
		}
		n.granted(from, m.Grant)
	case m.Push != nil && m.Push.State != nil:
		n.learn(m.Push.State)
		n.progress, n.leader = m.Push.Progress, from
	case m.Recall != nil:
		n.recall(from, m.Recall)
	case m.Propose != nil:
		n.propose(m.Propose, false)
	case len(m.Tallies) > 0:
		n.tallied(m.Tallies)
	case m.Sums != nil:
		n.sums(from, m.Sums)
	}
}

// learn takes what has been agreed on, if it is news.
func (n *Node) learn(s *policy.State) {
	if s.Newer(n.known.Epoch, n.known.Index) {
		if n.known.Epoch != 0 && s.Epoch > n.known.Epoch && n.engine != nil && s.Members[n.engine.ID] == "" {
			n.reborn("the fleet goes on without its former majority")
		}
		n.known = s
	}
}

// follow does what every relay does: it asks for leases, checks what is proposed, and tells the core where it stands.
func (n *Node) follow() {
	s := n.known
	if ch := s.Change; ch == nil {
		n.verdict = nil
	} else if n.verdict != nil && n.verdict.Version != ch.Version {
		n.verdict = nil
	}
	if ch := s.Change; ch != nil && ch.Phase == policy.Proposed && n.asked[0] != ch.Version {
		n.asked[0] = ch.Version
		n.do(Action{Check: ch})
	}
	if n.current != nil && n.current.Version != s.Version {
		n.current = nil
	}
	if n.current == nil && s.Version != 0 && n.asked[1] != s.Version {
		n.asked[1] = s.Version
		n.do(Action{Check: &policy.Change{Version: s.Version, Doc: s.Doc, Phase: policy.None}})
	}
	n.place()
	if n.purse != nil {
		n.tell()
	}
	if n.now >= n.pingAt {
		n.ping()
	}
}

// place tells the core what it may do, where that has changed.
func (n *Node) place() {
	s := n.known
	st := Stand{Version: s.Version, Doc: s.Doc, Until: n.until}
	switch {
	case n.until == 0:
		st.Why = "no lease yet"
		if n.refused != "" {
			st.Why = n.refused
		}
	case s.Index < n.index:
		st.Until, st.Why = 0, "it has not caught up"
	case s.Version != 0 && n.current == nil:
		st.Until, st.Why = 0, "the policy in force is being checked"
	case s.Version != 0 && n.current.No != "":
		st.Until, st.Why = 0, "it can't apply the policy in force: "+n.current.No
	case n.refused != "" && !n.cfg.Serve:
		st.Why = n.refused // the lease it has runs out
	}
	if s.Halted() {
		st.Halted = s.Change.Version
	}
	if st.Until != 0 && n.cfg.Serve && n.refused == "" {
		st.Until = n.now + 24*time.Hour // cut off, it goes on
		if n.stood && n.stand.Until-n.now > 12*time.Hour {
			st.Until = n.stand.Until
		}
	}
	if n.stood && st.Version == n.stand.Version && st.Until == n.stand.Until && st.Halted == n.stand.Halted && st.Why == n.stand.Why {
		return
	}
	if n.stand.Why != st.Why {
		n.log("the relay's standing in its fleet", "why_not", st.Why, "version", st.Version)
	}
	n.stand, n.stood = st, true
	n.do(Action{Stand: &st})
}

// ping asks for a lease.
func (n *Node) ping() {
	gap := n.cfg.Lease / pingParts
	if n.now-n.heardAt > 2*gap && n.seq > 0 && len(n.cfg.Voters) > 0 {
		n.via = (n.via + 1) % len(n.cfg.Voters)
	}
	if n.until-n.now < n.cfg.Lease/2 {
		gap = min(gap, askAgain)
	}
	n.pingAt = n.now + gap
	n.seq++
	n.sent[n.seq] = n.now
	for seq, at := range n.sent {
		if n.now-at > 2*n.cfg.Lease {
			delete(n.sent, seq)
		}
	}
	p := Ping{From: n.cfg.Name, Gen: n.cfg.Gen, Life: n.cfg.Life, Seq: n.seq, Epoch: n.known.Epoch, Index: n.known.Index,
		Verdict: n.verdict}
	if n.purse != nil {
		p.Share = n.purse.NextRequest(n.now, n.cfg.Zone)
	}
	if n.known.Halted() && n.stopped >= n.known.Change.Version {
		p.Stopped = n.stopped
	}
	if n.engine != nil {
		p.Member = n.engine.ID
		at := n.engine.Position()
		p.Term, p.Last = at.Term, at.Last
		record := p
		record.Passed, record.Share = true, nil
		for _, name := range n.cfg.Voters { // what it has shown must be remembered by more than one
			n.send(name, &Message{Ping: &record})
		}
		if n.engine.Leads() && !n.probation {
			n.pinged(n.cfg.Name, &p)
			return
		}
		if to := n.agreed.Members[n.engine.Leader()]; to != "" && n.now-n.heardAt <= 2*gap {
			n.send(to, &Message{Ping: &p})
			return
		}
	}
	if len(n.cfg.Voters) > 0 {
		n.send(n.cfg.Voters[n.via], &Message{Ping: &p})
	}
}

// raise begins this life anew above a later one of its name: a folder that was lost, or restored, does not know how often
// the relay was started. Two relays of one name would outdo each other for ever: they stay refused.
func (n *Node) raise(newest uint64) {
	if n.raised++; n.raised > 2 {
		if n.raised == 3 {
			n.log("another relay goes by this relay's name", "name", n.cfg.Name, "generation", newest)
		}
		return
	}
	n.cfg.Gen, n.cfg.Life = newest+1, n.draw()|1
	clear(n.sent)
	n.pingAt = n.now
	n.do(Action{Gen: n.cfg.Gen})
}

// granted takes a lease: it counts from when its ping was sent, and ends a little sooner than its giver thinks.
func (n *Node) granted(from string, g *Grant) {
	at, ok := n.sent[g.Seq]
	if !ok || g.Gen != n.cfg.Gen || g.Life != n.cfg.Life {
		return // of a former life, or answered
	}
	n.heardAt, n.leader, n.progress = n.now, from, g.Progress
	if g.State != nil {
		n.learn(g.State)
	}
	if g.Newest >= n.cfg.Gen {
		n.raise(g.Newest)
	}
	if n.refused = g.Refused; g.Refused != "" || g.Lease <= 0 {
		return
	}
	delete(n.sent, g.Seq)
	n.index = max(n.index, g.Index)
	until := at + time.Duration(float64(g.Lease)*(1-n.cfg.Drift))
	if n.purse != nil && g.Share != nil {
		if s := n.purse.HandleGrant(until, g.Share); s != nil {
			n.do(Action{Spend: s})
		}
		if g.Share.ReportLeased {
			n.pingAt = min(n.pingAt, n.now+pushAgain)
		}
	}
	n.until = max(n.until, until)
}
