package node

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
)

// leader is what a voter keeps while it leads. Nothing of it outlasts its leading: it is told again by pings, and what it
// can't know of those before it, it waits out.
type leader struct {
	since     time.Duration // leading, or at most a start ago
	leads     bool
	seen      map[string]*seen
	waits     []wait // grants that a majority has not confirmed yet
	reads     uint64
	readAt    time.Duration
	confirmed uint64
	pushed    uint64
	pushAt    time.Duration
	said      map[string]time.Duration // commands that have not come back from the log
	dutyAt    time.Duration
	ledger    *quota.Allocator // nil: nothing is shared
}

// seen is a relay as its pings tell.
type seen struct {
	ping     Ping
	at       time.Duration
	over     time.Duration // from then on it surely has no lease from this leader
	before   uint64        // the life before this one, what it sent last, and how often since
	last     uint64
	late     int
	conflict time.Duration // two relays of one name were seen
}

type wait struct {
	read uint64
	via  string
	ping Ping
	came time.Duration
}

func (l *leader) reset(now time.Duration) {
	*l = leader{since: now, seen: map[string]*seen{}, said: map[string]time.Duration{}}
}

// over is how long a lease that is given now may last on any clock that keeps to the bound.
func (n *Node) over() time.Duration {
	return time.Duration(float64(n.cfg.Lease)*(1+n.cfg.Drift)) + time.Millisecond
}

// pinged takes a ping. One that leads answers it once a majority has confirmed that it does; others pass it on.
func (n *Node) pinged(from string, p *Ping) {
	if p.Member != 0 {
		n.remember(p.Member, consensus.Position{Term: p.Term, Last: p.Last})
	}
	if n.engine == nil || n.probation {
		return
	}
	if !n.engine.Leads() {
		if to := n.agreed.Members[n.engine.Leader()]; !p.Passed && to != "" && to != from {
			q := *p
			q.Passed = true
			n.send(to, &Message{Ping: &q})
		}
		return
	}
	if p.Passed && p.From == from && from != n.cfg.Name {
		return // for the record only
	}
	s := n.lead.seen[p.From]
	if s == nil {
		if len(n.lead.seen) > 4*len(n.agreed.Roster)+64 {
			return
		}
		s = &seen{over: n.lead.since + n.over()}
		n.lead.seen[p.From] = s
	}
	switch was := &s.ping; {
	case was.Life == 0:
	case p.Life == was.Life:
		if p.Seq <= was.Seq {
			return // late or twice
		}
	case p.Life == s.before || p.Gen < was.Gen:
		// Of a former life, which a datagram that was long under way may be; not several new ones.
		if s.before = p.Life; p.Seq > s.last {
			s.last = p.Seq
			s.late++
		}
		if s.late > 3 {
			n.twice(s, p)
		}
		n.later(from, p, was.Gen)
		return
	case p.Gen == was.Gen:
		n.twice(s, p)
	default:
		s.before, s.last, s.late = was.Life, was.Seq, 0
	}
	s.ping, s.at = *p, n.now
	reason := ""
	switch {
	case !slices.Contains(n.agreed.Roster, p.From):
		reason = "it is not on the roster"
	case s.conflict != 0 && n.now-s.conflict < 2*n.over():
		reason = sameName
	}
	if reason != "" {
		n.answer(from, p, 0, reason, 0)
		return
	}
	if n.agreed.Halted() && p.Stopped < n.agreed.Change.Version {
		// It may still act on the version before: it is told so, and gets no longer lease.
		n.answer(from, p, 0, "", 0)
		return
	}
	s.over = n.now + n.over()
	if n.lead.ledger != nil && p.Share != nil {
		n.lead.ledger.SetRoster(n.agreed.Roster)
		n.lead.ledger.HandleRequest(n.now, p.From, p.Life, p.Share)
	}
	n.lead.waits = append(n.lead.waits, wait{n.lead.reads + 1, from, *p, n.now})
}

const sameName = "another relay goes by the same name"

// twice notes that two relays go by one name: neither gets a lease for a while.
func (n *Node) twice(s *seen, p *Ping) {
	if s.conflict == 0 || n.now-s.conflict > n.over() {
		n.log("two relays go by one name", "name", p.From)
	}
	s.conflict = n.now
}

// later tells a relay that a later life of its name has been heard.
func (n *Node) later(via string, p *Ping, newest uint64) {
	n.send(via, &Message{Grant: &Grant{To: p.From, Gen: p.Gen, Life: p.Life, Seq: p.Seq, Refused: sameName, Newest: newest}})
}

// answer tells a relay what has been agreed on, and lends it a lease upon a ping that came at a time, and what it may spend with it.
func (n *Node) answer(via string, p *Ping, lease time.Duration, refused string, came time.Duration) {
	g := &Grant{To: p.From, Gen: p.Gen, Life: p.Life, Seq: p.Seq, Lease: lease, Epoch: n.agreed.Epoch, Index: n.agreed.Index,
		Refused: refused, Progress: n.progress}
	if n.agreed.Newer(p.Epoch, p.Index) {
		g.State = n.agreed
	}
	if n.lead.ledger != nil && p.Share != nil && lease > 0 {
		g.Share = n.lead.ledger.Grant(n.now, came, p.From)
	}
	if p.From == n.cfg.Name {
		n.granted(n.cfg.Name, g)
		return
	}
	n.send(via, &Message{Grant: g})
}

// govern does a leader's work.
func (n *Node) govern() {
	l := &n.lead
	if !l.leads {
		l.reset(n.now)
		l.leads = true
		if n.purse != nil {
			l.ledger = quota.NewAllocator(quota.Options{MinimumSum: n.cfg.Kept, LeaseDuration: n.over(), ServeAlone: n.cfg.Serve}, n.engine.Position().Term, n.now)
		}
		n.log("this relay leads its fleet", "members", len(n.agreed.Members))
	}
	if len(l.waits) > 0 && n.now >= l.readAt {
		l.readAt = n.now + readEvery
		l.reads++
		_ = n.engine.Read(l.reads)
		if n.run() != nil { // a leader that is alone has its own word at once
			return
		}
	}
	keep := l.waits[:0]
	for _, w := range l.waits {
		switch {
		case w.read <= l.confirmed:
			n.answer(w.via, &w.ping, n.cfg.Lease, "", w.came)
		case n.now-n.lead.seen[w.ping.From].at < 2*n.cfg.Lease:
			keep = append(keep, w)
		}
	}
	l.waits = keep
	n.progress = nil
	if len(n.agreed.Roster) > 0 {
		n.drive()
	}
	n.push()
	if n.now >= l.dutyAt {
		l.dutyAt = n.now + sayAgain
		n.members()
	}
}

// say puts a command to the log, and again if it does not come back.
func (n *Node) say(key string, c *policy.Command) {
	if at, ok := n.lead.said[key]; ok && n.now-at < sayAgain {
		return
	}
	if len(n.lead.said) > 64 {
		clear(n.lead.said)
	}
	n.lead.said[key] = n.now
	b, err := cbor.Marshal(c)
	if err == nil {
		err = n.engine.Propose(b)
	}
	if err != nil {
		n.log("a command of the fleet is not taken", "error", err)
	}
}

// drive brings the change under way to its next step, once every relay has said what that asks for, or can't act any more.
func (n *Node) drive() {
	ch := n.agreed.Change
	if ch == nil {
		return
	}
	p := &Progress{Version: ch.Version, Phase: ch.Phase.String()}
	var excused []string
	no := ""
	all := slices.Concat(n.agreed.Roster, n.agreed.Former)
	for _, name := range all {
		s := n.lead.seen[name]
		over := n.lead.since + n.over()
		if s != nil {
			over = s.over
		}
		done := false
		switch {
		case s == nil:
		case ch.Phase == policy.Decided:
			done = s.ping.Stopped >= ch.Version
		case s.ping.Verdict != nil && s.ping.Verdict.Version == ch.Version:
			if done = true; s.ping.Verdict.No != "" {
				no = fmt.Sprintf("%s: %s", name, s.ping.Verdict.No)
			}
		}
		if !done && n.now >= over {
			done = true
			excused = append(excused, name)
		}
		if p.Of++; done {
			p.Done++
			continue
		}
		p.Within = max(p.Within, over-n.now)
		if len(p.Missing) < mostMissing {
			p.Missing = append(p.Missing, name)
		}
	}
	n.progress = p
	key := fmt.Sprintf("%d %d", ch.Version, ch.Phase)
	at, begun := n.lead.said["begun "+key]
	if !begun {
		n.lead.said["begun "+key] = n.now
		at = n.now
	}
	switch {
	case ch.Phase < policy.Decided && no != "":
		n.say("drop "+key, &policy.Command{Kind: policy.Decide, Version: ch.Version, Why: no})
	case ch.Phase == policy.Proposed && p.Done == p.Of:
		if len(excused) > mostMissing {
			excused = append(excused[:mostMissing:mostMissing], fmt.Sprintf("and %d more", len(excused)-mostMissing))
		}
		n.say(key, &policy.Command{Kind: policy.Check, Version: ch.Version, Excused: excused})
		n.say("decide "+key, &policy.Command{Kind: policy.Decide, Version: ch.Version})
	case ch.Phase == policy.Proposed && n.now-at > checkLeases*n.cfg.Lease:
		n.say("drop "+key, &policy.Command{Kind: policy.Decide, Version: ch.Version,
			Why: fmt.Sprintf("%v did not say whether they can apply it", p.Missing)})
	case ch.Phase == policy.Checked:
		n.say("decide "+key, &policy.Command{Kind: policy.Decide, Version: ch.Version})
	case ch.Phase == policy.Decided && p.Done == p.Of:
		n.say(key, &policy.Command{Kind: policy.Enforce, Version: ch.Version})
	}
}

// push tells all relays of news, and while a change is under way those again that may not have heard.
func (n *Node) push() {
	s := n.agreed
	if len(s.Roster) == 0 {
		return
	}
	m := &Message{Push: &Push{State: s, Progress: n.progress}}
	if s.Index != n.lead.pushed {
		n.lead.pushed, n.lead.pushAt = s.Index, n.now+pushAgain
		for _, name := range s.Roster {
			n.send(name, m)
		}
		return
	}
	if s.Change == nil || n.now < n.lead.pushAt {
		return
	}
	n.lead.pushAt = n.now + pushAgain
	for _, name := range s.Roster {
		if x := n.lead.seen[name]; x == nil || x.ping.Epoch != s.Epoch || x.ping.Index < s.Index {
			n.send(name, m)
		}
	}
}

// members brings those who have a say in line with the configuration, one change at a time.
func (n *Node) members() {
	e := n.engine
	if e.Joint() {
		return
	}
	var err error
	defer func() {
		if err != nil {
			n.log("a change of members is not taken", "error", err)
		}
	}()
	if n.agreed.Members[e.ID] == "" || len(n.agreed.Roster) == 0 {
		return
	}
	for _, name := range n.cfg.Voters {
		s := n.lead.seen[name]
		if s == nil || s.ping.Member == 0 || n.now-s.at > n.cfg.Lease {
			continue
		}
		id := s.ping.Member
		var old []uint64
		for m, of := range n.agreed.Members {
			if of == name && m != id {
				old = append(old, m)
			}
		}
		slices.Sort(old)
		switch {
		case n.agreed.Members[id] == "":
			err = e.Learn(id, name, old)
			return
		case slices.Contains(e.Learners(), id) && e.Matches(id)+8 >= e.Applied():
			err = e.Promote(id, name)
			return
		}
	}
	var gone []uint64
	for m, name := range n.agreed.Members {
		if !slices.Contains(n.cfg.Voters, name) && m != e.ID {
			gone = append(gone, m)
		}
	}
	if slices.Sort(gone); len(gone) > 0 {
		err = e.Remove(gone)
	}
}

// propose puts a change to the log: at the leader, or by a voter to it.
func (n *Node) propose(c *policy.Command, own bool) {
	switch {
	case n.engine != nil && !n.probation && n.engine.Leader() != 0:
		b, err := cbor.Marshal(c)
		if err == nil {
			err = n.engine.Propose(b)
		}
		if err != nil {
			n.log("a proposal is not taken", "error", err)
		}
	case own && len(n.cfg.Voters) > 0:
		n.send(n.cfg.Voters[n.via], &Message{Propose: c})
	}
}

// ask answers an operator.
func (n *Node) ask(a *Ask) {
	no := ""
	switch a.Op {
	case "counts":
		n.askSums(a.No)
		return
	case "status":
	case "propose":
		n.propose(&policy.Command{Kind: policy.Propose, Version: a.Version, Doc: a.Doc, By: a.By, Ticket: a.Ticket}, true)
	case "roster":
		n.propose(&policy.Command{Kind: policy.Enlist, Roster: n.cfg.Roster}, true)
	case "found":
		switch {
		case n.engine == nil:
			no = "this relay is not one of peers.voters"
		case n.known.Epoch != 0 || len(n.engine.Voters()) > 0:
			no = "this relay belongs to a fleet already"
		default:
			no = n.found(&policy.State{Epoch: 1, Roster: slices.Sorted(slices.Values(n.cfg.Roster))}, 1, 1)
		}
	case "force":
		switch {
		case n.engine == nil || n.agreed.Epoch == 0:
			no = "this relay has no say in a fleet"
		default:
			s := n.agreed.Clone()
			s.Epoch++
			at := n.engine.Position()
			no = n.found(s, at.Last+1, at.Term+1)
		}
	default:
		no = fmt.Sprintf("%q is not known here", a.Op)
	}
	st := n.Status()
	st.Error = no
	n.do(Action{Answer: st, No: a.No})
}

// found begins a group of members anew, with this relay as the only one.
func (n *Node) found(s *policy.State, index, term uint64) string {
	id := n.draw() | 1
	s.Index, s.Members = index, map[uint64]string{id: n.cfg.Name}
	n.agreed = s
	e, err := consensus.Found(id, n.draw(), n.cfg.Name, index, term, n.pack(), n.now)
	if err != nil {
		return err.Error()
	}
	n.engine, n.probation = e, false
	n.lead.reset(n.now)
	n.do(Action{Save: &consensus.Image{Whole: true}, Member: id})
	n.log("this relay has founded a group of voters", "epoch", s.Epoch, "roster", len(s.Roster))
	return ""
}

// Status is what this relay knows.
func (n *Node) Status() *Status {
	st := &Status{Relay: n.cfg.Name, Gen: n.cfg.Gen, Leader: n.leader, State: n.known, Progress: n.progress,
		Acts: n.stand.Until > n.now && n.stand.Halted == 0, Lease: max(n.until-n.now, 0), Why: n.stand.Why}
	switch {
	case n.engine == nil && n.broken != "":
		st.Voter = "not until it is started again: " + n.broken
	case n.engine == nil:
	case n.probation:
		st.Voter = "asks what others remember of it"
	case n.engine.Leads():
		st.Voter, st.Leader = "leads", n.cfg.Name
	case slices.Contains(n.engine.Voters(), n.engine.ID):
		st.Voter = "votes"
	case slices.Contains(n.engine.Learners(), n.engine.ID):
		st.Voter = "learns"
	default:
		st.Voter = "waits to be taken in"
	}
	if !st.Acts && st.Why == "" {
		if st.Why = "its lease is over"; n.stand.Halted != 0 {
			st.Why = "a change is about to be in force"
		}
	}
	if n.lead.ledger != nil {
		st.Odd, st.Shared = n.lead.ledger.Contradictions, n.lead.ledger.Usage()
	}
	for _, name := range n.known.Members {
		st.Voters = append(st.Voters, name)
	}
	slices.Sort(st.Voters)
	return st
}
