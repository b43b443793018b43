package membership

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"
)

// maxPendingPushPulls bounds the pending calls; beyond it the result of the oldest is ignored.
const maxPendingPushPulls = 16

// pushPullState decides when and with whom this node reconciles its table over a reliable connection.
type pushPullState struct {
	pending   []pendingPushPull
	token     uint64 // of the last call
	lastStart time.Duration

	target              string        // address of the member to reconcile with; empty: none
	targetDue           time.Duration // when the push-pull with target starts
	divergedSinceChange time.Duration // like divergedSince, but restarted when this node's table changes
	divergedSince       time.Duration // when a received hash first differed from this table's; zero if they agree
	agreements          int           // pings received with this table's hash since the table last changed
	resumed             bool          // the process was frozen and must reconcile immediately
}

// pendingPushPull is a PushPullCall without a result yet.
type pendingPushPull struct {
	token   uint64
	address string
}

// recentlyStarted reports whether the node started less than PushPullInterval ago, while tables still differ much.
func (n *Node) recentlyStarted() bool { return n.now-n.started < n.options.PushPullInterval }

// compareHash compares this table's hash with the sender's. As tables differ briefly after every change, a node that has not recently
// started schedules a push-pull only if the difference persists for convergenceTime without a change of this table, or for
// PushPullInterval in total.
func (n *Node) compareHash(address string, message *Message) {
	if message.Hash == 0 {
		return
	}
	state := &n.pushPull
	if message.Hash == n.table.hash {
		state.divergedSinceChange = 0
		state.divergedSince = 0
		n.recordAgreement(message.Kind)
		return
	}
	if state.divergedSinceChange == 0 {
		state.divergedSinceChange = n.now
	}
	if state.divergedSince == 0 {
		state.divergedSince = n.now
	}
	converged := n.now-state.divergedSinceChange >= n.convergenceTime()
	overdue := n.now-state.divergedSince >= n.options.PushPullInterval
	if n.recentlyStarted() || converged || overdue {
		n.schedulePushPull(address)
	}
}

// recordAgreement counts a ping with the same table hash. After enough of them most members know the queued joins, deaths and
// leaves, so these are dropped; push-pull informs the rest.
func (n *Node) recordAgreement(kind MessageKind) {
	if kind != MsgPing {
		return
	}
	n.pushPull.agreements++
	if n.pushPull.agreements >= bits.Len(uint(n.table.liveCount)) {
		n.broadcasts.reset()
	}
}

// convergenceTime estimates how long an update takes to reach all members; it grows with the logarithm of their number (SWIM
// section 4.1).
func (n *Node) convergenceTime() time.Duration {
	doublings := bits.Len(uint(n.table.liveCount + 1))
	return n.options.ProbeInterval * time.Duration(2+doublings) / 2
}

// schedulePushPull schedules a push-pull with the member at an address, about two probe intervals after the last push-pull or one
// if the node has recently started. A later call replaces the address and keeps the time.
func (n *Node) schedulePushPull(address string) {
	spacing := 2 * n.options.ProbeInterval
	if n.recentlyStarted() {
		spacing = n.options.ProbeInterval
	}
	if n.pushPull.target == "" {
		n.pushPull.targetDue = max(n.now, n.pushPull.lastStart+n.jittered(spacing))
	}
	n.pushPull.target = address
}

// runPushPull starts the push-pulls and the probes of seeds that are due.
func (n *Node) runPushPull() {
	state := &n.pushPull
	if state.resumed {
		state.resumed = false
		n.pushPullAfterFreeze()
	}
	if !n.joiner.joined && n.now >= n.joiner.nextAttempt {
		n.join()
	}
	if state.target != "" && n.now >= state.targetDue {
		n.startPushPull(state.target)
	}
	if n.now >= n.joiner.nextSeedProbe {
		n.joiner.nextSeedProbe = n.now + n.seedProbeInterval()
		n.probeUnknownSeeds()
	}
}

// nextPushPull returns when runPushPull must run next.
func (n *Node) nextPushPull() time.Duration {
	state := &n.pushPull
	next := n.joiner.nextSeedProbe
	if !n.joiner.joined {
		next = min(next, n.joiner.nextAttempt)
	}
	if state.target != "" {
		next = min(next, state.targetDue)
	}
	return next
}

// pushPullAfterFreeze reconciles with a random live member, or with a seed if none is known.
func (n *Node) pushPullAfterFreeze() {
	if chosen := n.randomAlive(1, ""); len(chosen) > 0 {
		n.startPushPull(chosen[0].Address)
		return
	}
	if seed := n.nextSeed(); seed != "" {
		n.startPushPull(seed)
	}
}

// startPushPull sends this table's digest to request the records that this node lacks.
func (n *Node) startPushPull(address string) {
	state := &n.pushPull
	state.target = ""
	state.divergedSinceChange = 0
	state.divergedSince = 0
	state.lastStart = n.now
	n.sendPushPull(address, PushPullMessage{Kind: PushPullRequest, Digest: n.table.digest(n.self)})
}

// sendPushPull makes a call and records it as pending.
func (n *Node) sendPushPull(address string, message PushPullMessage) {
	state := &n.pushPull
	state.token++
	message.From = n.self
	if len(state.pending) >= maxPendingPushPulls {
		state.pending = slices.Delete(state.pending, 0, 1)
	}
	state.pending = append(state.pending, pendingPushPull{state.token, address})
	n.effects.Calls = append(n.effects.Calls, PushPullCall{state.token, address, message})
}

// handlePushPullResult merges a response and pushes the records that it requests. After a failure the next attempt to join comes
// earlier.
func (n *Node) handlePushPullResult(result PushPullResult) {
	state := &n.pushPull
	position := slices.IndexFunc(state.pending, func(c pendingPushPull) bool { return c.token == result.Token })
	if position < 0 {
		return
	}
	finished := state.pending[position]
	state.pending = slices.Delete(state.pending, position, position+1)
	if result.Failed {
		n.joiner.nextAttempt = min(n.joiner.nextAttempt, n.now+n.joinBackoff())
		return
	}
	n.gossipDue = n.gossipDue || !n.joiner.joined
	n.joiner.joined = true
	n.mergeRecords(result.Response)
	if records := n.recordsMatching(result.Response.Requested); len(records) > 0 {
		n.sendPushPull(finished.address, PushPullMessage{Kind: PushPullPush, Records: records})
	}
}

// handlePushPull merges the records of a request or push, and answers it. The response is built from the table before the merge, so
// that it does not return the records just received.
func (n *Node) handlePushPull(arrival PushPullArrival) {
	response := PushPullMessage{Kind: PushPullResponse}
	if arrival.Message.Kind == PushPullRequest {
		remote := sortedHashes(arrival.Message.Digest)
		response.Records = n.recordsMissing(remote)
		response.Requested = n.unknownHashes(remote)
	}
	n.mergeRecords(arrival.Message)
	response.From = n.self
	n.effects.Replies = append(n.effects.Replies, PushPullReply{arrival.Token, response})
}

// mergeRecords applies the records of a message as updates.
func (n *Node) mergeRecords(message PushPullMessage) {
	n.applyUpdate(Update{Member: message.From})
	for _, record := range message.Records {
		n.applyUpdate(Update{Member: record})
	}
}

// recordsMissing lists the records whose hashes are not among the sorted hashes. This node's own record is sent as From.
func (n *Node) recordsMissing(hashes []uint64) []Member {
	var records []Member
	for _, e := range n.table.sorted {
		if _, found := slices.BinarySearch(hashes, e.hash); !found {
			records = append(records, pushPullRecord(e.Member))
		}
	}
	return records
}

// recordsMatching lists the records whose hashes are in the digest.
func (n *Node) recordsMatching(digest []byte) []Member {
	requested := sortedHashes(digest)
	if len(requested) == 0 {
		return nil
	}
	var records []Member
	for _, e := range n.table.sorted {
		if _, found := slices.BinarySearch(requested, e.hash); found {
			records = append(records, pushPullRecord(e.Member))
		}
	}
	return records
}

// pushPullRecord returns a record without a suspicion, which is temporary and is disseminated with the probes.
func pushPullRecord(member Member) Member {
	if member.State == StateSuspect {
		member.State = StateAlive
	}
	return updateOf(member).Member
}

// unknownHashes encodes those of the hashes that belong to no record of this node.
func (n *Node) unknownHashes(hashes []uint64) []byte {
	own := sortedHashes(n.table.digest(n.self))
	var unknown []byte
	for _, hash := range hashes {
		if _, found := slices.BinarySearch(own, hash); !found {
			unknown = binary.LittleEndian.AppendUint64(unknown, hash)
		}
	}
	return unknown
}

// sortedHashes decodes a digest, see table.digest. An incomplete hash at the end is ignored.
func sortedHashes(digest []byte) []uint64 {
	hashes := make([]uint64, 0, len(digest)/hashBytes)
	for ; len(digest) >= hashBytes; digest = digest[hashBytes:] {
		hashes = append(hashes, binary.LittleEndian.Uint64(digest))
	}
	slices.Sort(hashes)
	return hashes
}
