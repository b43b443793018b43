package membership

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"
)

// The pauses between tries to join: the first, doubled up to the longest, each drawn between a half and the whole.
const (
	firstJoinPause   = 100 * time.Millisecond
	longestJoinPause = 2 * time.Second
)

// youngContact is the pause between tries of seeds that aren't known, while the node is young: where each has found other seeds, the
// parts meet well before anybody is taken for lost.
const youngContact = 250 * time.Millisecond

// maxCalls bounds the calls whose outcome is waited for.
const maxCalls = 16

// reconcile decides when and with whom lists are compared over a reliable connection.
type reconcile struct {
	joined    bool
	joinAt    time.Duration // next try, until joined
	joinTries int
	seed      int // index of the next seed

	calls     []call
	token     uint64
	lastStart time.Duration

	target       string // address to reconcile with; empty: none
	targetDue    time.Duration
	differsSince time.Duration // how long hashes have differed with no change here; zero: they do not
	unequalSince time.Duration // how long hashes have differed; zero: they do not
	agreed       int           // pings with the same hash since the list last changed
	afterFreeze  bool
	contactSeed  time.Duration // when seeds that are not known to be alive are pinged
}

// call is a PushPullCall whose outcome is waited for.
type call struct {
	token   uint64
	address string
}

// young tells whether the node has started lately: lists differ a lot then.
func (n *Node) young() bool { return n.now-n.started < n.options.PushPullInterval }

// compare notes whether another member's list has the same hash. Lists differ for a moment with every change, so only a
// difference that lasts leads to a reconciliation.
func (n *Node) compare(address string, message *Message) {
	if message.Hash == 0 {
		return
	}
	r := &n.reconcile
	if message.Hash == n.table.hash {
		r.differsSince = 0
		r.unequalSince = 0
		n.loseInterest(message.Kind)
		return
	}
	if r.differsSince == 0 {
		r.differsSince = n.now
	}
	if r.unequalSince == 0 {
		r.unequalSince = n.now
	}
	settled := n.now-r.differsSince >= n.settleTime()
	overdue := n.now-r.unequalSince >= n.options.PushPullInterval
	if n.young() || settled || overdue {
		n.wantSync(address)
	}
}

// loseInterest stops telling who is there once enough members have shown, by pings of their own, that they know.
func (n *Node) loseInterest(kind MessageKind) {
	if kind != MsgPing {
		return
	}
	n.reconcile.agreed++
	if n.reconcile.agreed >= bits.Len(uint(n.table.living)) {
		n.regular.clear()
	}
}

// settleTime is how long news needs to reach all members.
func (n *Node) settleTime() time.Duration {
	doublings := bits.Len(uint(n.table.living + 1))
	return n.options.ProbeInterval * time.Duration(2+doublings) / 2
}

// wantSync plans a reconciliation, not too soon after the last one.
func (n *Node) wantSync(address string) {
	pause := 2 * n.options.ProbeInterval
	if n.young() {
		pause = n.options.ProbeInterval
	}
	if n.reconcile.target == "" {
		n.reconcile.targetDue = max(n.now, n.reconcile.lastStart+n.jittered(pause))
	}
	n.reconcile.target = address
}

// synchronise makes the calls that are due.
func (n *Node) synchronise() {
	r := &n.reconcile
	if r.afterFreeze {
		r.afterFreeze = false
		n.syncAfterFreeze()
	}
	if !r.joined && n.now >= r.joinAt {
		n.join()
	}
	if r.target != "" && n.now >= r.targetDue {
		n.requestSync(r.target)
	}
	if n.now >= r.contactSeed {
		r.contactSeed = n.now + n.contactPause()
		n.pingLostSeeds()
	}
}

func (n *Node) nextSync() time.Duration {
	r := &n.reconcile
	next := r.contactSeed
	if !r.joined {
		next = min(next, r.joinAt)
	}
	if r.target != "" {
		next = min(next, r.targetDue)
	}
	return next
}

// syncAfterFreeze reconciles with any member, or with a seed when none is left.
func (n *Node) syncAfterFreeze() {
	if chosen := n.randomLiving(1, ""); len(chosen) > 0 {
		n.requestSync(chosen[0].Address)
		return
	}
	if seed := n.nextSeed(); seed != "" {
		n.requestSync(seed)
	}
}

// join tries the next seed.
func (n *Node) join() {
	r := &n.reconcile
	r.joinAt = n.now + max(n.joinPause(), 2*n.options.ProbeTimeout)
	r.joinTries++
	if seed := n.nextSeed(); seed != "" {
		n.requestSync(seed)
	}
}

func (n *Node) joinPause() time.Duration {
	const mostDoublings = 5
	pause := min(firstJoinPause<<min(n.reconcile.joinTries, mostDoublings), longestJoinPause)
	return pause/2 + time.Duration(n.random.Int64N(int64(pause/2)+1))
}

// nextSeed returns the seeds in turn, from a random one on, without the node itself; empty: there is none.
func (n *Node) nextSeed() string {
	if len(n.seeds) == 0 {
		return ""
	}
	r := &n.reconcile
	if r.seed == 0 {
		r.seed = 1 + n.random.IntN(len(n.seeds))
	}
	for range n.seeds {
		seed := n.seeds[r.seed%len(n.seeds)]
		r.seed++
		if seed != n.self.Address {
			return seed
		}
	}
	return ""
}

// contactPause is the time until seeds that aren't known are tried again.
func (n *Node) contactPause() time.Duration {
	if n.young() {
		return n.jittered(youngContact)
	}
	return n.jittered(n.options.PushPullInterval)
}

// pingLostSeeds pings the seeds at whose addresses no member is known to be alive, so that parts that do not know or remember each
// other meet.
func (n *Node) pingLostSeeds() {
	for _, seed := range n.seeds {
		if seed != n.self.Address && !n.isAliveAt(seed) {
			n.send(seed, Message{Kind: MsgPing})
		}
	}
}

// isAliveAt tells whether a member that isn't gone is known at the address.
func (n *Node) isAliveAt(address string) bool {
	for _, e := range n.table.sorted {
		if e.Address == address && !e.DeadOrLeft() {
			return true
		}
	}
	return false
}

func (n *Node) requestSync(address string) {
	r := &n.reconcile
	r.target = ""
	r.differsSince = 0
	r.unequalSince = 0
	r.lastStart = n.now
	n.callSync(address, PushPullMessage{Kind: PushPullRequest, Digest: n.table.digest(n.self)})
}

func (n *Node) callSync(address string, message PushPullMessage) {
	r := &n.reconcile
	r.token++
	message.From = n.self
	if len(r.calls) >= maxCalls {
		r.calls = slices.Delete(r.calls, 0, 1)
	}
	r.calls = append(r.calls, call{r.token, address})
	n.effects.Calls = append(n.effects.Calls, PushPullCall{r.token, address, message})
}

// finishSync takes in the outcome of a call.
func (n *Node) finishSync(outcome PushPullResult) {
	r := &n.reconcile
	position := slices.IndexFunc(r.calls, func(c call) bool { return c.token == outcome.Token })
	if position < 0 {
		return
	}
	finished := r.calls[position]
	r.calls = slices.Delete(r.calls, position, position+1)
	if outcome.Failed {
		r.joinAt = min(r.joinAt, n.now+n.joinPause())
		return
	}
	n.announce = n.announce || !r.joined
	r.joined = true
	n.applyRecords(outcome.Response)
	if records := n.recordsWith(outcome.Response.Requested); len(records) > 0 {
		n.callSync(finished.address, PushPullMessage{Kind: PushPullPush, Records: records})
	}
}

// answerSync takes in another member's part of a reconciliation and answers it.
func (n *Node) answerSync(arrival PushPullArrival) {
	answer := PushPullMessage{Kind: PushPullResponse}
	if arrival.Message.Kind == PushPullRequest {
		theirs := sortedHashes(arrival.Message.Digest)
		answer.Records = n.recordsMissing(theirs)
		answer.Requested = n.unknownHashes(theirs)
	}
	n.applyRecords(arrival.Message)
	answer.From = n.self
	n.effects.Replies = append(n.effects.Replies, PushPullReply{arrival.Token, answer})
}

func (n *Node) applyRecords(message PushPullMessage) {
	n.apply(Update{Member: message.From})
	for _, record := range message.Records {
		n.apply(Update{Member: record})
	}
}

// recordsMissing lists the records that are not among the sorted hashes. The node's own travels as From.
func (n *Node) recordsMissing(hashes []uint64) []Member {
	var records []Member
	for _, e := range n.table.sorted {
		if _, found := slices.BinarySearch(hashes, e.hash); !found {
			records = append(records, syncRecord(e.Member))
		}
	}
	return records
}

// recordsWith lists the records whose hashes are in the digest.
func (n *Node) recordsWith(digest []byte) []Member {
	wanted := sortedHashes(digest)
	if len(wanted) == 0 {
		return nil
	}
	var records []Member
	for _, e := range n.table.sorted {
		if _, found := slices.BinarySearch(wanted, e.hash); found {
			records = append(records, syncRecord(e.Member))
		}
	}
	return records
}

// syncRecord leaves a suspicion out: it passes, and travels with the probes.
func syncRecord(member Member) Member {
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
