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

// leadership is what a leader keeps for its term. A new leader starts with none of it: lease requests tell it again, and the
// leases of former leaders it waits out.
type leadership struct {
	since           time.Duration // of the leadership; a former leader may have granted leases until then
	leading         bool
	relays          map[string]*relayRecord
	pendingGrants   []pendingGrant // grants that a majority has not confirmed yet
	readRequests    uint64
	nextReadAt      time.Duration
	confirmedRead   uint64
	broadcastIndex  uint64
	nextBroadcastAt time.Duration
	proposedAt      map[string]time.Duration // commands that have not come back from the log
	nextReconcileAt time.Duration
	allocator       *quota.Allocator // nil: nothing is shared
}

// relayRecord is a relay as its lease requests report it.
type relayRecord struct {
	request           LeaseRequest
	receivedAt        time.Duration
	leaseOverAt       time.Duration // from then on it surely has no lease
	formerIncarnation uint64        // the incarnation before this one, its newest Seq, and how many it sent since
	formerSeq         uint64
	formerRequests    int
	conflictAt        time.Duration // when two relays of one name were seen last
}

type pendingGrant struct {
	read       uint64
	via        string
	request    LeaseRequest
	receivedAt time.Duration
}

func (l *leadership) reset(now time.Duration) {
	*l = leadership{since: now, relays: map[string]*relayRecord{}, proposedAt: map[string]time.Duration{}}
}

// maxLeaseDuration is how long a lease granted now may last by any clock within MaxClockDrift.
func (n *Node) maxLeaseDuration() time.Duration {
	return time.Duration(float64(n.config.Lease)*(1+n.config.MaxClockDrift)) + time.Millisecond
}

// handleLeaseRequest takes a lease request. The leader grants it once a majority has confirmed that it still leads; another
// voter forwards it.
func (n *Node) handleLeaseRequest(from string, p *LeaseRequest) {
	if p.Member != 0 {
		n.rememberPosition(p.Member, consensus.LogPosition{Term: p.Term, LastIndex: p.LastIndex})
	}
	if n.engine == nil || n.probation {
		return
	}
	if !n.engine.IsLeader() {
		if to := n.applied.Members[n.engine.Leader()]; !p.Forwarded && to != "" && to != from {
			q := *p
			q.Forwarded = true
			n.send(to, &Message{LeaseRequest: &q})
		}
		return
	}
	if p.Forwarded && p.From == from && from != n.config.Name {
		return // for the record only
	}
	s := n.leadership.relays[p.From]
	if s == nil {
		if len(n.leadership.relays) > 4*len(n.applied.Roster)+64 {
			return
		}
		s = &relayRecord{leaseOverAt: n.leadership.since + n.maxLeaseDuration()}
		n.leadership.relays[p.From] = s
	}
	if !n.isNewestRequest(from, s, p) {
		return
	}
	s.request, s.receivedAt = *p, n.now
	if reason := n.rejectionReason(s, p); reason != "" {
		n.sendGrant(from, p, 0, reason, 0)
		return
	}
	if n.applied.Halted() && p.Stopped < n.applied.Change.Version {
		// It may still act on the version before: it gets the new state, and its lease is not extended.
		n.sendGrant(from, p, 0, "", 0)
		return
	}
	s.leaseOverAt = n.now + n.maxLeaseDuration()
	if n.leadership.allocator != nil && p.QuotaRequest != nil {
		n.leadership.allocator.SetRoster(n.applied.Roster)
		n.leadership.allocator.HandleRequest(n.now, p.From, p.Incarnation, p.QuotaRequest)
	}
	n.leadership.pendingGrants = append(n.leadership.pendingGrants, pendingGrant{n.leadership.readRequests + 1, from, *p, n.now})
}

// isNewestRequest tells whether a request is newer than the last one of its relay's name. One of a former incarnation is
// answered with a rejection; of two incarnations of one generation the conflict is noted.
func (n *Node) isNewestRequest(from string, s *relayRecord, p *LeaseRequest) bool {
	switch was := &s.request; {
	case was.Incarnation == 0:
	case p.Incarnation == was.Incarnation:
		return p.Seq > was.Seq // otherwise it is late, or a duplicate
	case p.Incarnation == s.formerIncarnation || p.Generation < was.Generation:
		// One of a former incarnation may be a delayed datagram; several with growing Seq show that it still runs.
		if s.formerIncarnation = p.Incarnation; p.Seq > s.formerSeq {
			s.formerSeq = p.Seq
			s.formerRequests++
		}
		if s.formerRequests > 3 {
			n.recordNameConflict(s, p)
		}
		n.rejectFormerIncarnation(from, p, was.Generation)
		return false
	case p.Generation == was.Generation:
		n.recordNameConflict(s, p)
	default:
		s.formerIncarnation, s.formerSeq, s.formerRequests = was.Incarnation, was.Seq, 0
	}
	return true
}

// rejectionReason is why a relay gets no lease at all; empty: it may get one.
func (n *Node) rejectionReason(s *relayRecord, p *LeaseRequest) string {
	switch {
	case !slices.Contains(n.applied.Roster, p.From):
		return "it is not on the roster"
	case s.conflictAt != 0 && n.now-s.conflictAt < 2*n.maxLeaseDuration():
		return sameName
	}
	return ""
}

const sameName = "another relay goes by the same name"

// recordNameConflict notes that two relays use one name: neither gets a lease for two lease durations.
func (n *Node) recordNameConflict(s *relayRecord, p *LeaseRequest) {
	if s.conflictAt == 0 || n.now-s.conflictAt > n.maxLeaseDuration() {
		n.log("two relays with the same name", "relay", p.From)
	}
	s.conflictAt = n.now
}

// rejectFormerIncarnation answers a relay of whose name a later incarnation is known.
func (n *Node) rejectFormerIncarnation(via string, p *LeaseRequest, newest uint64) {
	n.send(via, &Message{LeaseGrant: &LeaseGrant{To: p.From, Generation: p.Generation, Incarnation: p.Incarnation, Seq: p.Seq, Rejected: sameName, NewestGeneration: newest}})
}

// sendGrant answers a lease request that arrived at came: with the lease, 0 for none, the state if it is newer than the relay's,
// and the relay's quota shares.
func (n *Node) sendGrant(via string, p *LeaseRequest, lease time.Duration, refused string, came time.Duration) {
	g := &LeaseGrant{To: p.From, Generation: p.Generation, Incarnation: p.Incarnation, Seq: p.Seq, Lease: lease, Epoch: n.applied.Epoch, Index: n.applied.Index,
		Rejected: refused, Progress: n.progress}
	if n.applied.NewerThan(p.Epoch, p.Index) {
		g.State = n.applied
	}
	if n.leadership.allocator != nil && p.QuotaRequest != nil && lease > 0 {
		g.QuotaGrant = n.leadership.allocator.Grant(n.now, came, p.From)
	}
	if p.From == n.config.Name {
		n.handleLeaseGrant(n.config.Name, g)
		return
	}
	n.send(via, &Message{LeaseGrant: g})
}

// stepLeader does a leader's work in a Step.
func (n *Node) stepLeader() {
	l := &n.leadership
	if !l.leading {
		l.reset(n.now)
		l.leading = true
		if n.lessee != nil {
			l.allocator = quota.NewAllocator(quota.Options{MinimumSum: n.config.GuaranteedShare, LeaseDuration: n.maxLeaseDuration(), ServeAlone: n.config.ServeWhenPartitioned}, n.engine.Position().Term, n.now)
		}
		n.log("became fleet leader", "members", len(n.applied.Members))
	}
	if len(l.pendingGrants) > 0 && n.now >= l.nextReadAt {
		l.nextReadAt = n.now + readIndexInterval
		l.readRequests++
		_ = n.engine.ReadIndex(l.readRequests)
		if n.processReady() != nil { // a single voter confirms its leadership at once
			return
		}
	}
	keep := l.pendingGrants[:0]
	for _, w := range l.pendingGrants {
		switch {
		case w.read <= l.confirmedRead:
			n.sendGrant(w.via, &w.request, n.config.Lease, "", w.receivedAt)
		case n.now-n.leadership.relays[w.request.From].receivedAt < 2*n.config.Lease:
			keep = append(keep, w)
		}
	}
	l.pendingGrants = keep
	n.progress = nil
	if len(n.applied.Roster) > 0 {
		n.advanceChange()
	}
	n.broadcastState()
	if n.now >= l.nextReconcileAt {
		l.nextReconcileAt = n.now + reproposeInterval
		n.reconcileMembers()
	}
}

// proposeOnce proposes a command, and again only if it was not committed within reproposeInterval. The key names the command.
func (n *Node) proposeOnce(key string, c *policy.Command) {
	if at, ok := n.leadership.proposedAt[key]; ok && n.now-at < reproposeInterval {
		return
	}
	if len(n.leadership.proposedAt) > 64 {
		clear(n.leadership.proposedAt)
	}
	n.leadership.proposedAt[key] = n.now
	b, err := cbor.Marshal(c)
	if err == nil {
		err = n.engine.Propose(b)
	}
	if err != nil {
		n.log("proposing fleet command failed", "err", err)
	}
}

// advanceChange moves the change under way to its next phase, once every relay has answered for this one or its lease is over.
func (n *Node) advanceChange() {
	ch := n.applied.Change
	if ch == nil {
		return
	}
	p, excused, dropReason := n.measureProgress(ch)
	n.progress = p
	key := fmt.Sprintf("%d %d", ch.Version, ch.Phase)
	at, begun := n.leadership.proposedAt["begun "+key]
	if !begun {
		n.leadership.proposedAt["begun "+key] = n.now
		at = n.now
	}
	switch {
	case ch.Phase < policy.Decided && dropReason != "":
		n.proposeOnce("drop "+key, &policy.Command{Kind: policy.Decide, Version: ch.Version, DropReason: dropReason})
	case ch.Phase == policy.Proposed && p.Done == p.Of:
		if len(excused) > maxMissingNames {
			excused = append(excused[:maxMissingNames:maxMissingNames], fmt.Sprintf("and %d more", len(excused)-maxMissingNames))
		}
		n.proposeOnce(key, &policy.Command{Kind: policy.Check, Version: ch.Version, Excused: excused})
		n.proposeOnce("decide "+key, &policy.Command{Kind: policy.Decide, Version: ch.Version})
	case ch.Phase == policy.Proposed && n.now-at > checkLeases*n.config.Lease:
		n.proposeOnce("drop "+key, &policy.Command{Kind: policy.Decide, Version: ch.Version,
			DropReason: fmt.Sprintf("%v did not say whether they can apply it", p.Missing)})
	case ch.Phase == policy.Checked:
		n.proposeOnce("decide "+key, &policy.Command{Kind: policy.Decide, Version: ch.Version})
	case ch.Phase == policy.Decided && p.Done == p.Of:
		n.proposeOnce(key, &policy.Command{Kind: policy.Enforce, Version: ch.Version})
	}
}

// measureProgress counts the relays that have answered for the change's phase. Excused are those that did not and whose lease
// is over; dropReason is why a relay can't apply the change, empty if none said so.
func (n *Node) measureProgress(ch *policy.Change) (p *Progress, excused []string, dropReason string) {
	p = &Progress{Version: ch.Version, Phase: ch.Phase.String()}
	for _, name := range slices.Concat(n.applied.Roster, n.applied.Former) {
		s := n.leadership.relays[name]
		over := n.leadership.since + n.maxLeaseDuration()
		if s != nil {
			over = s.leaseOverAt
		}
		done := false
		switch {
		case s == nil:
		case ch.Phase == policy.Decided:
			done = s.request.Stopped >= ch.Version
		case s.request.Verdict != nil && s.request.Verdict.Version == ch.Version:
			if done = true; s.request.Verdict.Reason != "" {
				dropReason = fmt.Sprintf("%s: %s", name, s.request.Verdict.Reason)
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
		if len(p.Missing) < maxMissingNames {
			p.Missing = append(p.Missing, name)
		}
	}
	return p, excused, dropReason
}

// broadcastState sends a new state to all relays, and during a change again to those that have not reported it.
func (n *Node) broadcastState() {
	s := n.applied
	if len(s.Roster) == 0 {
		return
	}
	m := &Message{StateUpdate: &StateUpdate{State: s, Progress: n.progress}}
	if s.Index != n.leadership.broadcastIndex {
		n.leadership.broadcastIndex, n.leadership.nextBroadcastAt = s.Index, n.now+rebroadcastInterval
		for _, name := range s.Roster {
			n.send(name, m)
		}
		return
	}
	if s.Change == nil || n.now < n.leadership.nextBroadcastAt {
		return
	}
	n.leadership.nextBroadcastAt = n.now + rebroadcastInterval
	for _, name := range s.Roster {
		if x := n.leadership.relays[name]; x == nil || x.request.Epoch != s.Epoch || x.request.Index < s.Index {
			n.send(name, m)
		}
	}
}

// reconcileMembers moves the voters towards those of the configuration, one change at a time.
func (n *Node) reconcileMembers() {
	e := n.engine
	if e.InJointConfig() {
		return
	}
	var err error
	defer func() {
		if err != nil {
			n.log("proposing membership change failed", "err", err)
		}
	}()
	if n.applied.Members[e.ID] == "" || len(n.applied.Roster) == 0 {
		return
	}
	for _, name := range n.config.Voters {
		s := n.leadership.relays[name]
		if s == nil || s.request.Member == 0 || n.now-s.receivedAt > n.config.Lease {
			continue
		}
		id := s.request.Member
		var old []uint64
		for m, of := range n.applied.Members {
			if of == name && m != id {
				old = append(old, m)
			}
		}
		slices.Sort(old)
		switch {
		case n.applied.Members[id] == "":
			err = e.AddLearner(id, name, old)
			return
		case slices.Contains(e.Learners(), id) && e.MatchIndex(id)+8 >= e.Applied():
			err = e.Promote(id, name)
			return
		}
	}
	var gone []uint64
	for m, name := range n.applied.Members {
		if !slices.Contains(n.config.Voters, name) && m != e.ID {
			gone = append(gone, m)
		}
	}
	if slices.Sort(gone); len(gone) > 0 {
		err = e.Remove(gone)
	}
}

// propose proposes a command by this relay's engine. Without one, or without a leader, it asks a voter to, if the command is
// its own.
func (n *Node) propose(c *policy.Command, own bool) {
	switch {
	case n.engine != nil && !n.probation && n.engine.Leader() != 0:
		b, err := cbor.Marshal(c)
		if err == nil {
			err = n.engine.Propose(b)
		}
		if err != nil {
			n.log("proposing policy change failed", "err", err)
		}
	case own && len(n.config.Voters) > 0:
		n.send(n.config.Voters[n.voterIndex], &Message{Propose: c})
	}
}

// handleAdminRequest carries out and answers an operator's request.
func (n *Node) handleAdminRequest(a *AdminRequest) {
	no := ""
	switch a.Op {
	case "counts":
		n.requestTotals(a.Number)
		return
	case "status":
	case "propose":
		n.propose(&policy.Command{Kind: policy.Propose, Version: a.Version, Doc: a.Doc, By: a.By, Ticket: a.Ticket}, true)
	case "roster":
		n.propose(&policy.Command{Kind: policy.SetRoster, Roster: n.config.Roster}, true)
	case "found":
		switch {
		case n.engine == nil:
			no = "this relay is not one of peers.voters"
		case n.newest.Epoch != 0 || len(n.engine.Voters()) > 0:
			no = "this relay belongs to a fleet already"
		default:
			no = n.bootstrap(&policy.State{Epoch: 1, Roster: slices.Sorted(slices.Values(n.config.Roster))}, 1, 1)
		}
	case "force":
		switch {
		case n.engine == nil || n.applied.Epoch == 0:
			no = "this relay has no say in a fleet"
		default:
			s := n.applied.Clone()
			s.Epoch++
			at := n.engine.Position()
			no = n.bootstrap(s, at.LastIndex+1, at.Term+1)
		}
	default:
		no = fmt.Sprintf("%q is not known here", a.Op)
	}
	st := n.Status()
	st.Error = no
	n.emit(Action{Answer: st, RequestNumber: a.Number})
}

// bootstrap begins a new voters' group, with this relay as its only member. It returns why it can't; empty: it has.
func (n *Node) bootstrap(s *policy.State, index, term uint64) string {
	id := n.random() | 1
	s.Index, s.Members = index, map[uint64]string{id: n.config.Name}
	n.applied = s
	e, err := consensus.Bootstrap(id, n.random(), index, term, n.encodeState(), n.now)
	if err != nil {
		return err.Error()
	}
	n.engine, n.probation = e, false
	n.leadership.reset(n.now)
	n.emit(Action{Save: &consensus.Image{Complete: true}, Member: id})
	n.log("bootstrapped voter group", "epoch", s.Epoch, "roster", len(s.Roster))
	return ""
}

// Status returns what this relay knows.
func (n *Node) Status() *Status {
	st := &Status{Relay: n.config.Name, Generation: n.config.Generation, Leader: n.leader, State: n.newest, Progress: n.progress,
		MayAct: n.mandate.Until > n.now && n.mandate.Halted == 0, LeaseLeft: max(n.leaseUntil-n.now, 0), WhyNot: n.mandate.WhyNot}
	switch {
	case n.engine == nil && n.votingDisabled != "":
		st.Voter = "not until it is started again: " + n.votingDisabled
	case n.engine == nil:
	case n.probation:
		st.Voter = "asks what others remember of it"
	case n.engine.IsLeader():
		st.Voter, st.Leader = "leads", n.config.Name
	case slices.Contains(n.engine.Voters(), n.engine.ID):
		st.Voter = "votes"
	case slices.Contains(n.engine.Learners(), n.engine.ID):
		st.Voter = "learns"
	default:
		st.Voter = "waits to be taken in"
	}
	if !st.MayAct && st.WhyNot == "" {
		if st.WhyNot = "its lease is over"; n.mandate.Halted != 0 {
			st.WhyNot = "a change is about to be in force"
		}
	}
	if n.leadership.allocator != nil {
		st.Contradictions, st.Shared = n.leadership.allocator.Contradictions, n.leadership.allocator.Usage()
	}
	for _, name := range n.newest.Members {
		st.Voters = append(st.Voters, name)
	}
	slices.Sort(st.Voters)
	return st
}
