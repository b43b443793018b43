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
func (n *Node) handleLeaseRequest(from string, request *LeaseRequest) {
	if request.Member != 0 {
		n.rememberPosition(request.Member, consensus.LogPosition{Term: request.Term, LastIndex: request.LastIndex})
	}
	if n.engine == nil || n.probation {
		return
	}
	if !n.engine.IsLeader() {
		if to := n.applied.Members[n.engine.Leader()]; !request.Forwarded && to != "" && to != from {
			forwarded := *request
			forwarded.Forwarded = true
			n.send(to, &Message{LeaseRequest: &forwarded})
		}
		return
	}
	if request.Forwarded && request.From == from && from != n.config.Name {
		return // for the record only
	}
	relay := n.leadership.relays[request.From]
	if relay == nil {
		if len(n.leadership.relays) > 4*len(n.applied.Roster)+64 {
			return
		}
		relay = &relayRecord{leaseOverAt: n.leadership.since + n.maxLeaseDuration()}
		n.leadership.relays[request.From] = relay
	}
	if !n.isNewestRequest(from, relay, request) {
		return
	}
	relay.request, relay.receivedAt = *request, n.now
	if reason := n.rejectionReason(relay, request); reason != "" {
		n.sendGrant(from, request, 0, reason, 0)
		return
	}
	if n.applied.Halted() && request.Stopped < n.applied.Change.Version {
		// It may still act on the version before: it gets the new state, and its lease is not extended.
		n.sendGrant(from, request, 0, "", 0)
		return
	}
	relay.leaseOverAt = n.now + n.maxLeaseDuration()
	if n.leadership.allocator != nil && request.QuotaRequest != nil {
		n.leadership.allocator.SetRoster(n.applied.Roster)
		n.leadership.allocator.HandleRequest(n.now, request.From, request.Incarnation, request.QuotaRequest)
	}
	n.leadership.pendingGrants = append(n.leadership.pendingGrants, pendingGrant{n.leadership.readRequests + 1, from, *request, n.now})
}

// isNewestRequest tells whether a request is newer than the last one of its relay's name. One of a former incarnation is
// answered with a rejection; of two incarnations of one generation the conflict is noted.
func (n *Node) isNewestRequest(from string, relay *relayRecord, request *LeaseRequest) bool {
	switch was := &relay.request; {
	case was.Incarnation == 0:
	case request.Incarnation == was.Incarnation:
		return request.Seq > was.Seq // otherwise it is late, or a duplicate
	case request.Incarnation == relay.formerIncarnation || request.Generation < was.Generation:
		// One of a former incarnation may be a delayed datagram; several with growing Seq show that it still runs.
		if relay.formerIncarnation = request.Incarnation; request.Seq > relay.formerSeq {
			relay.formerSeq = request.Seq
			relay.formerRequests++
		}
		if relay.formerRequests > 3 {
			n.recordNameConflict(relay, request)
		}
		n.rejectFormerIncarnation(from, request, was.Generation)
		return false
	case request.Generation == was.Generation:
		n.recordNameConflict(relay, request)
	default:
		relay.formerIncarnation, relay.formerSeq, relay.formerRequests = was.Incarnation, was.Seq, 0
	}
	return true
}

// rejectionReason is why a relay gets no lease at all; empty: it may get one.
func (n *Node) rejectionReason(relay *relayRecord, request *LeaseRequest) string {
	switch {
	case !slices.Contains(n.applied.Roster, request.From):
		return "it is not on the roster"
	case relay.conflictAt != 0 && n.now-relay.conflictAt < 2*n.maxLeaseDuration():
		return sameName
	}
	return ""
}

const sameName = "another relay goes by the same name"

// recordNameConflict notes that two relays use one name: neither gets a lease for two lease durations.
func (n *Node) recordNameConflict(relay *relayRecord, request *LeaseRequest) {
	if relay.conflictAt == 0 || n.now-relay.conflictAt > n.maxLeaseDuration() {
		n.log("two relays with the same name", "relay", request.From)
	}
	relay.conflictAt = n.now
}

// rejectFormerIncarnation answers a relay of whose name a later incarnation is known.
func (n *Node) rejectFormerIncarnation(via string, request *LeaseRequest, newest uint64) {
	n.send(via, &Message{LeaseGrant: &LeaseGrant{To: request.From, Generation: request.Generation, Incarnation: request.Incarnation, Seq: request.Seq, Rejected: sameName, NewestGeneration: newest}})
}

// sendGrant answers a lease request that arrived at came: with the lease, 0 for none, the state if it is newer than the relay's,
// and the relay's quota shares.
func (n *Node) sendGrant(via string, request *LeaseRequest, lease time.Duration, rejected string, came time.Duration) {
	grant := &LeaseGrant{To: request.From, Generation: request.Generation, Incarnation: request.Incarnation, Seq: request.Seq, Lease: lease, Epoch: n.applied.Epoch, Index: n.applied.Index,
		Rejected: rejected, Progress: n.progress}
	if n.applied.NewerThan(request.Epoch, request.Index) {
		grant.State = n.applied
	}
	if n.leadership.allocator != nil && request.QuotaRequest != nil && lease > 0 {
		grant.QuotaGrant = n.leadership.allocator.Grant(n.now, came, request.From)
	}
	if request.From == n.config.Name {
		n.handleLeaseGrant(n.config.Name, grant)
		return
	}
	n.send(via, &Message{LeaseGrant: grant})
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
	change := n.applied.Change
	if change == nil {
		return
	}
	progress, excused, dropReason := n.measureProgress(change)
	n.progress = progress
	key := fmt.Sprintf("%d %d", change.Version, change.Phase)
	begunAt, begun := n.leadership.proposedAt["begun "+key]
	if !begun {
		n.leadership.proposedAt["begun "+key] = n.now
		begunAt = n.now
	}
	switch {
	case change.Phase < policy.Decided && dropReason != "":
		n.proposeOnce("drop "+key, &policy.Command{Kind: policy.Decide, Version: change.Version, DropReason: dropReason})
	case change.Phase == policy.Proposed && progress.Done == progress.Of:
		if len(excused) > maxMissingNames {
			excused = append(excused[:maxMissingNames:maxMissingNames], fmt.Sprintf("and %d more", len(excused)-maxMissingNames))
		}
		n.proposeOnce(key, &policy.Command{Kind: policy.Check, Version: change.Version, Excused: excused})
		n.proposeOnce("decide "+key, &policy.Command{Kind: policy.Decide, Version: change.Version})
	case change.Phase == policy.Proposed && n.now-begunAt > checkLeases*n.config.Lease:
		n.proposeOnce("drop "+key, &policy.Command{Kind: policy.Decide, Version: change.Version,
			DropReason: fmt.Sprintf("%v did not say whether they can apply it", progress.Missing)})
	case change.Phase == policy.Checked:
		n.proposeOnce("decide "+key, &policy.Command{Kind: policy.Decide, Version: change.Version})
	case change.Phase == policy.Decided && progress.Done == progress.Of:
		n.proposeOnce(key, &policy.Command{Kind: policy.Enforce, Version: change.Version})
	}
}

// measureProgress counts the relays that have answered for the change's phase. Excused are those that did not and whose lease
// is over; dropReason is why a relay can't apply the change, empty if none said so.
func (n *Node) measureProgress(change *policy.Change) (progress *Progress, excused []string, dropReason string) {
	progress = &Progress{Version: change.Version, Phase: change.Phase.String()}
	for _, name := range slices.Concat(n.applied.Roster, n.applied.Former) {
		relay := n.leadership.relays[name]
		leaseOverAt := n.leadership.since + n.maxLeaseDuration()
		if relay != nil {
			leaseOverAt = relay.leaseOverAt
		}
		done := false
		switch {
		case relay == nil:
		case change.Phase == policy.Decided:
			done = relay.request.Stopped >= change.Version
		case relay.request.Verdict != nil && relay.request.Verdict.Version == change.Version:
			if done = true; relay.request.Verdict.Reason != "" {
				dropReason = fmt.Sprintf("%s: %s", name, relay.request.Verdict.Reason)
			}
		}
		if !done && n.now >= leaseOverAt {
			done = true
			excused = append(excused, name)
		}
		if progress.Of++; done {
			progress.Done++
			continue
		}
		progress.Within = max(progress.Within, leaseOverAt-n.now)
		if len(progress.Missing) < maxMissingNames {
			progress.Missing = append(progress.Missing, name)
		}
	}
	return progress, excused, dropReason
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
