package membership

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"
)

// maxPendingPushPulls bounds the calls whose outcome is waited for.
const maxPendingPushPulls = 16

// pushPullState decides when and with whom lists are compared over a reliable connection.
type pushPullState struct {
	joined       bool
	joinAt       time.Duration // nextProbe try, until joined
	joinAttempts int
	seed         int // index of the next seed

	pending   []pendingPushPull
	token     uint64
	lastStart time.Duration

	target            string // requesterAddress to reconcile with; empty: none
	targetDue         time.Duration
	divergedUnchanged time.Duration // how long hashes have differed with no change here; zero: they do not
	divergedSince     time.Duration // how long hashes have differed; zero: they do not
	agreements        int           // pings with the same hash since the list last changed
	afterPause        bool
	nextSeedProbe     time.Duration // when seeds that are not known to be alive are pinged
}

// pendingPushPull is a PushPullCall whose outcome is waited for.
type pendingPushPull struct {
	token   uint64
	address string
}

// recentlyStarted tells whether the node has started lately: lists differ a lot then.
func (n *Node) recentlyStarted() bool { return n.now-n.started < n.options.PushPullInterval }

// compareHash notes whether another member's list has the same hash. Lists differ for a moment with every change, so only a
// difference that lasts leads to a reconciliation.
func (n *Node) compareHash(address string, message *Message) {
	if message.Hash == 0 {
		return
	}
	r := &n.pushPull
	if message.Hash == n.table.hash {
		r.divergedUnchanged = 0
		r.divergedSince = 0
		n.noteAgreement(message.Kind)
		return
	}
	if r.divergedUnchanged == 0 {
		r.divergedUnchanged = n.now
	}
	if r.divergedSince == 0 {
		r.divergedSince = n.now
	}
	settled := n.now-r.divergedUnchanged >= n.convergenceTime()
	overdue := n.now-r.divergedSince >= n.options.PushPullInterval
	if n.recentlyStarted() || settled || overdue {
		n.schedulePushPull(address)
	}
}

// noteAgreement stops telling who is there once enough members have shown, by pings of their own, that they know.
func (n *Node) noteAgreement(kind MessageKind) {
	if kind != MsgPing {
		return
	}
	n.pushPull.agreements++
	if n.pushPull.agreements >= bits.Len(uint(n.table.liveCount)) {
		n.broadcasts.reset()
	}
}

// convergenceTime is how long news needs to reach all members.
func (n *Node) convergenceTime() time.Duration {
	doublings := bits.Len(uint(n.table.liveCount + 1))
	return n.options.ProbeInterval * time.Duration(2+doublings) / 2
}

// schedulePushPull plans a reconciliation, not too soon after the last one.
func (n *Node) schedulePushPull(address string) {
	pause := 2 * n.options.ProbeInterval
	if n.recentlyStarted() {
		pause = n.options.ProbeInterval
	}
	if n.pushPull.target == "" {
		n.pushPull.targetDue = max(n.now, n.pushPull.lastStart+n.jittered(pause))
	}
	n.pushPull.target = address
}

// runPushPull makes the calls that are due.
func (n *Node) runPushPull() {
	r := &n.pushPull
	if r.afterPause {
		r.afterPause = false
		n.pushPullAfterPause()
	}
	if !r.joined && n.now >= r.joinAt {
		n.join()
	}
	if r.target != "" && n.now >= r.targetDue {
		n.startPushPull(r.target)
	}
	if n.now >= r.nextSeedProbe {
		r.nextSeedProbe = n.now + n.seedProbeInterval()
		n.probeUnknownSeeds()
	}
}

func (n *Node) nextPushPull() time.Duration {
	r := &n.pushPull
	next := r.nextSeedProbe
	if !r.joined {
		next = min(next, r.joinAt)
	}
	if r.target != "" {
		next = min(next, r.targetDue)
	}
	return next
}

// pushPullAfterPause reconciles with any member, or with a seed when none is left.
func (n *Node) pushPullAfterPause() {
	if chosen := n.randomAlive(1, ""); len(chosen) > 0 {
		n.startPushPull(chosen[0].Address)
		return
	}
	if seed := n.nextSeed(); seed != "" {
		n.startPushPull(seed)
	}
}

func (n *Node) startPushPull(address string) {
	r := &n.pushPull
	r.target = ""
	r.divergedUnchanged = 0
	r.divergedSince = 0
	r.lastStart = n.now
	n.sendPushPull(address, PushPullMessage{Kind: PushPullRequest, Digest: n.table.digest(n.self)})
}

func (n *Node) sendPushPull(address string, message PushPullMessage) {
	r := &n.pushPull
	r.token++
	message.From = n.self
	if len(r.pending) >= maxPendingPushPulls {
		r.pending = slices.Delete(r.pending, 0, 1)
	}
	r.pending = append(r.pending, pendingPushPull{r.token, address})
	n.effects.Calls = append(n.effects.Calls, PushPullCall{r.token, address, message})
}

// handlePushPullResult takes in the outcome of a call.
func (n *Node) handlePushPullResult(outcome PushPullResult) {
	r := &n.pushPull
	position := slices.IndexFunc(r.pending, func(c pendingPushPull) bool { return c.token == outcome.Token })
	if position < 0 {
		return
	}
	finished := r.pending[position]
	r.pending = slices.Delete(r.pending, position, position+1)
	if outcome.Failed {
		r.joinAt = min(r.joinAt, n.now+n.joinBackoff())
		return
	}
	n.gossipDue = n.gossipDue || !r.joined
	r.joined = true
	n.mergeRecords(outcome.Response)
	if records := n.recordsMatching(outcome.Response.Requested); len(records) > 0 {
		n.sendPushPull(finished.address, PushPullMessage{Kind: PushPullPush, Records: records})
	}
}

// handlePushPull takes in another member's part of a reconciliation and answers it.
func (n *Node) handlePushPull(arrival PushPullArrival) {
	answer := PushPullMessage{Kind: PushPullResponse}
	if arrival.Message.Kind == PushPullRequest {
		theirs := sortedHashes(arrival.Message.Digest)
		answer.Records = n.recordsMissing(theirs)
		answer.Requested = n.unknownHashes(theirs)
	}
	n.mergeRecords(arrival.Message)
	answer.From = n.self
	n.effects.Replies = append(n.effects.Replies, PushPullReply{arrival.Token, answer})
}

func (n *Node) mergeRecords(message PushPullMessage) {
	n.applyUpdate(Update{Member: message.From})
	for _, record := range message.Records {
		n.applyUpdate(Update{Member: record})
	}
}

// recordsMissing lists the records that are not among the sorted hashes. The node's own travels as From.
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
	wanted := sortedHashes(digest)
	if len(wanted) == 0 {
		return nil
	}
	var records []Member
	for _, e := range n.table.sorted {
		if _, found := slices.BinarySearch(wanted, e.hash); found {
			records = append(records, pushPullRecord(e.Member))
		}
	}
	return records
}

// pushPullRecord leaves a suspicion out: it passes, and travels with the probes.
func pushPullRecord(member Member) Member {
	if member.State == StateSuspect {
		member.State = StateAlive
	}
	return updateOf(member).Member
}

// unknownHashes lists those of the sorted hashes that belong to no record of this node.
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

func sortedHashes(digest []byte) []uint64 {
	hashes := make([]uint64, 0, len(digest)/hashBytes)
	for ; len(digest) >= hashBytes; digest = digest[hashBytes:] {
		hashes = append(hashes, binary.LittleEndian.Uint64(digest))
	}
	slices.Sort(hashes)
	return hashes
}
