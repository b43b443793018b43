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

// leadership is the state that a leader has for its term only. A new leader starts without it: lease requests report it again, and the
// leader waits until the leases of former leaders have expired.
type leadership struct {
	since           time.Duration           // start of the leadership; a former leader may have granted leases until then
	leading         bool                    // false: this relay is not the leader
	relays          map[string]*relayRecord // by name
	pendingGrants   []pendingGrant          // wait for a majority to confirm the leadership
	readRequests    uint64                  // number of the last ReadIndex call
	nextReadAt      time.Duration
	confirmedRead   uint64 // number of the newest ReadIndex call that a majority has confirmed
	broadcastIndex  uint64 // of the last state that was broadcast
	nextBroadcastAt time.Duration
	proposedAt      map[string]time.Duration // when a command was last proposed, or a change's phase started, by key
	nextReconcileAt time.Duration
	allocator       *quota.Allocator // nil: no limits are shared
}

// relayRecord is what the leader knows of a relay from its lease requests.
type relayRecord struct {
	request           LeaseRequest
	receivedAt        time.Duration
	leaseExpiresAt    time.Duration // when its last lease has expired by any clock within MaxClockDrift
	formerIncarnation uint64        // the incarnation before; its newest Seq, and how many requests it sent after the new one started
	formerSeq         uint64
	formerRequests    int
	conflictAt        time.Duration // when two relays with this name were last detected
}

// pendingGrant is a lease request that is granted once a majority has confirmed the leadership.
type pendingGrant struct {
	read       uint64 // number of the ReadIndex call that confirms the leadership
	via        string // the relay that sent it: the requester, or a voter that forwarded it
	request    LeaseRequest
	receivedAt time.Duration
}

// reset clears the state, when the relay becomes the leader or while it is not.
func (l *leadership) reset(now time.Duration) {
	*l = leadership{since: now, relays: map[string]*relayRecord{}, proposedAt: map[string]time.Duration{}}
}

// maxLeaseDuration is the longest time, by this relay's clock, that a lease granted now may last.
func (n *Node) maxLeaseDuration() time.Duration {
	return time.Duration(float64(n.config.Lease)*(1+n.config.MaxClockDrift)) + time.Millisecond
}

// handleLeaseRequest handles a lease request. The leader grants the lease once a majority has confirmed that it still leads; another voter
// forwards the request.
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
		return // only reports a log position
	}
	relay := n.leadership.relays[request.From]
	if relay == nil {
		if len(n.leadership.relays) > 4*len(n.applied.Roster)+64 {
			return
		}
		relay = &relayRecord{leaseExpiresAt: n.leadership.since + n.maxLeaseDuration()}
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
		// The relay may still act under the old version: it gets the new state, but no extension of its lease.
		n.sendGrant(from, request, 0, "", 0)
		return
	}
	relay.leaseExpiresAt = n.now + n.maxLeaseDuration()
	if n.leadership.allocator != nil && request.QuotaRequest != nil {
		n.leadership.allocator.SetRoster(n.applied.Roster)
		n.leadership.allocator.HandleRequest(n.now, request.From, request.Incarnation, request.QuotaRequest)
	}
	n.leadership.pendingGrants = append(n.leadership.pendingGrants, pendingGrant{n.leadership.readRequests + 1, from, *request, n.now})
}

// isNewestRequest reports whether a request is newer than all others under its relay's name. It rejects one from a former incarnation, and
// records a conflict of names for two incarnations with the same generation.
func (n *Node) isNewestRequest(from string, relay *relayRecord, request *LeaseRequest) bool {
	switch previous := &relay.request; {
	case previous.Incarnation == 0:
	case request.Incarnation == previous.Incarnation:
		return request.Seq > previous.Seq // otherwise the request is late, or a duplicate
	case request.Incarnation == relay.formerIncarnation || request.Generation < previous.Generation:
		// A single request from a former incarnation may be a delayed datagram; several with growing Seq show that it still runs.
		if relay.formerIncarnation = request.Incarnation; request.Seq > relay.formerSeq {
			relay.formerSeq = request.Seq
			relay.formerRequests++
		}
		if relay.formerRequests > 3 {
			n.recordNameConflict(relay, request)
		}
		n.rejectFormerIncarnation(from, request, previous.Generation)
		return false
	case request.Generation == previous.Generation:
		n.recordNameConflict(relay, request)
	default:
		relay.formerIncarnation, relay.formerSeq, relay.formerRequests = previous.Incarnation, previous.Seq, 0
	}
	return true
}

// rejectionReason returns why a relay can get no lease; empty: it can.
func (n *Node) rejectionReason(relay *relayRecord, request *LeaseRequest) string {
	switch {
	case !slices.Contains(n.applied.Roster, request.From):
		return "it is not on the roster"
	case relay.conflictAt != 0 && n.now-relay.conflictAt < 2*n.maxLeaseDuration():
		return sameName
	}
	return ""
}

// sameName is the reason for rejecting a relay whose name another relay uses. It is shown to operators.
const sameName = "another relay goes by the same name"

// recordNameConflict records that two relays use the same name: neither gets a lease for twice maxLeaseDuration.
func (n *Node) recordNameConflict(relay *relayRecord, request *LeaseRequest) {
	if relay.conflictAt == 0 || n.now-relay.conflictAt > n.maxLeaseDuration() {
		n.log("two relays with the same name", "relay", request.From)
	}
	relay.conflictAt = n.now
}

// rejectFormerIncarnation rejects a request from a relay under whose name a newer incarnation is known.
func (n *Node) rejectFormerIncarnation(via string, request *LeaseRequest, newest uint64) {
	n.send(via, &Message{LeaseGrant: &LeaseGrant{To: request.From, Generation: request.Generation, Incarnation: request.Incarnation,
		Seq: request.Seq, Rejected: sameName, NewestGeneration: newest}})
}

// sendGrant answers a lease request that arrived at receivedAt. The answer has the lease (0: none), the state if it is newer than the
// relay's, and with a lease also the relay's quota shares.
func (n *Node) sendGrant(via string, request *LeaseRequest, lease time.Duration, rejected string, receivedAt time.Duration) {
	grant := &LeaseGrant{To: request.From, Generation: request.Generation, Incarnation: request.Incarnation, Seq: request.Seq, Lease: lease,
		Epoch: n.applied.Epoch, Index: n.applied.Index, Rejected: rejected, Progress: n.progress}
	if n.applied.NewerThan(request.Epoch, request.Index) {
		grant.State = n.applied
	}
	if n.leadership.allocator != nil && request.QuotaRequest != nil && lease > 0 {
		grant.QuotaGrant = n.leadership.allocator.Grant(n.now, receivedAt, request.From)
	}
	if request.From == n.config.Name {
		n.handleLeaseGrant(n.config.Name, grant)
		return
	}
	n.send(via, &Message{LeaseGrant: grant})
}

// stepLeader does the leader's work in a Step.
func (n *Node) stepLeader() {
	l := &n.leadership
	if !l.leading {
		l.reset(n.now)
		l.leading = true
		if n.lessee != nil {
			l.allocator = quota.NewAllocator(quota.Options{MinimumSum: n.config.GuaranteedShare, LeaseDuration: n.maxLeaseDuration(),
				ServeWhenPartitioned: n.config.ServeWhenPartitioned}, n.engine.Position().Term, n.now)
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
	n.sendConfirmedGrants()
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

// sendConfirmedGrants grants the lease requests that arrived before a majority confirmed the leadership, and drops those that waited too
// long.
func (n *Node) sendConfirmedGrants() {
	l := &n.leadership
	waiting := l.pendingGrants[:0]
	for _, grant := range l.pendingGrants {
		switch {
		case grant.read <= l.confirmedRead:
			n.sendGrant(grant.via, &grant.request, n.config.Lease, "", grant.receivedAt)
		case n.now-l.relays[grant.request.From].receivedAt < 2*n.config.Lease:
			waiting = append(waiting, grant)
		}
	}
	l.pendingGrants = waiting
}

// proposeOnce proposes the command identified by key, unless it did so within the last reproposeInterval.
func (n *Node) proposeOnce(key string, command *policy.Command) {
	if proposedAt, ok := n.leadership.proposedAt[key]; ok && n.now-proposedAt < reproposeInterval {
		return
	}
	if len(n.leadership.proposedAt) > 64 {
		clear(n.leadership.proposedAt)
	}
	n.leadership.proposedAt[key] = n.now
	encoded, err := cbor.Marshal(command)
	if err == nil {
		err = n.engine.Propose(encoded)
	}
	if err != nil {
		n.log("proposing fleet command failed", "err", err)
	}
}

// advanceChange moves the change under way to its next phase once every relay has completed the current one or has no lease any more.
func (n *Node) advanceChange() {
	change := n.applied.Change
	if change == nil {
		return
	}
	progress, excused, dropReason := n.measureProgress(change)
	n.progress = progress
	key := fmt.Sprintf("%d %d", change.Version, change.Phase)
	startedAt, started := n.leadership.proposedAt["begun "+key]
	if !started {
		n.leadership.proposedAt["begun "+key] = n.now
		startedAt = n.now
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
	case change.Phase == policy.Proposed && n.now-startedAt > checkTimeoutLeases*n.config.Lease:
		n.proposeOnce("drop "+key, &policy.Command{Kind: policy.Decide, Version: change.Version,
			DropReason: fmt.Sprintf("no verdict from %v in time", progress.Missing)})
	case change.Phase == policy.Checked:
		n.proposeOnce("decide "+key, &policy.Command{Kind: policy.Decide, Version: change.Version})
	case change.Phase == policy.Decided && progress.Done == progress.Of:
		n.proposeOnce(key, &policy.Command{Kind: policy.Enforce, Version: change.Version})
	}
}

// measureProgress counts the relays that have completed the phase of a change. excused are the others whose lease has expired, which count
// as done; dropReason is why a relay can't apply the change, empty if none reported that.
func (n *Node) measureProgress(change *policy.Change) (progress *Progress, excused []string, dropReason string) {
	progress = &Progress{Version: change.Version, Phase: change.Phase.String()}
	for _, name := range slices.Concat(n.applied.Roster, n.applied.Former) {
		relay := n.leadership.relays[name]
		leaseExpiresAt := n.leadership.since + n.maxLeaseDuration()
		if relay != nil {
			leaseExpiresAt = relay.leaseExpiresAt
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
		if !done && n.now >= leaseExpiresAt {
			done = true
			excused = append(excused, name)
		}
		if progress.Of++; done {
			progress.Done++
			continue
		}
		progress.Within = max(progress.Within, leaseExpiresAt-n.now)
		if len(progress.Missing) < maxMissingNames {
			progress.Missing = append(progress.Missing, name)
		}
	}
	return progress, excused, dropReason
}

// broadcastState sends a new state to all relays, and during a change repeatedly to those that have not reported that they know it.
func (n *Node) broadcastState() {
	state := n.applied
	if len(state.Roster) == 0 {
		return
	}
	update := &Message{StateUpdate: &StateUpdate{State: state, Progress: n.progress}}
	if state.Index != n.leadership.broadcastIndex {
		n.leadership.broadcastIndex, n.leadership.nextBroadcastAt = state.Index, n.now+rebroadcastInterval
		for _, name := range state.Roster {
			n.send(name, update)
		}
		return
	}
	if state.Change == nil || n.now < n.leadership.nextBroadcastAt {
		return
	}
	n.leadership.nextBroadcastAt = n.now + rebroadcastInterval
	for _, name := range state.Roster {
		if relay := n.leadership.relays[name]; relay == nil || relay.request.Epoch != state.Epoch || relay.request.Index < state.Index {
			n.send(name, update)
		}
	}
}
