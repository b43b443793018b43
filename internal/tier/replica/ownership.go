package replica

import (
	"slices"
	"time"
)

// ownership is what an owner keeps for its epoch.
type ownership struct {
	opening      uint64 // index of the first entry of the epoch
	heartbeatDue time.Duration
	peers        []*peer // all members but this one, in the order of the list
	open         []openProposal
	openBytes    int
	round        uint64 // of heartbeats
	reads        []openRead
	resigning    bool
	resignBy     time.Duration
	ranking      []uint64 // scratch of quorum
}

// openProposal is a command that waits for its commit.
type openProposal struct {
	index uint64
	token uint64
	size  int
}

// isOpen tells whether the owner has committed an entry of its own epoch: only then does it know all that was committed.
func (r *Replica) isOpen() bool {
	return r.commit >= r.ownership.opening
}

// takeOwnership makes this candidate the owner of its epoch and appends the epoch's first entry.
func (r *Replica) takeOwnership() {
	r.role = owner
	r.granted = nil
	r.ownership = ownership{opening: r.log.last() + 1, heartbeatDue: r.now}
	r.refreshPeers()
	r.appendOwn(NoOp, nil)
}

// loseOwnership ends the ownership; what is open gets its outcome.
func (r *Replica) loseOwnership() {
	r.role = follower
	for i := range r.ownership.open {
		r.settle(r.ownership.open[i].token, false)
	}
	for i := range r.ownership.reads {
		r.settle(r.ownership.reads[i].token, false)
	}
	r.ownership = ownership{}
	r.waitForOwner()
}

func (r *Replica) settle(token uint64, done bool) {
	r.step.effects.Outcomes = append(r.step.effects.Outcomes, Outcome{Token: token, Done: done})
}

// appendOwn adds an entry of the owner's epoch.
func (r *Replica) appendOwn(kind EntryKind, data []byte) uint64 {
	index := r.log.last() + 1
	r.log.append(Entry{Index: index, Term: r.promise.Term, Kind: kind, Data: data})
	return index
}

// propose appends commands; elsewhere than at the owner they are refused.
func (r *Replica) propose(proposals []Proposal) {
	for i := range proposals {
		proposal := &proposals[i]
		size := len(proposal.Data) + entryOverhead
		if r.role != owner || r.ownership.resigning || r.ownership.openBytes > 0 && r.ownership.openBytes+size > r.limits.open {
			r.step.effects.Outcomes = append(r.step.effects.Outcomes, Outcome{Token: proposal.Token, Dropped: true})
			continue
		}
		index := r.appendOwn(Command, proposal.Data)
		r.ownership.open = append(r.ownership.open, openProposal{index: index, token: proposal.Token, size: size})
		r.ownership.openBytes += size
	}
}

// lead does an owner's work at the end of a Step.
func (r *Replica) lead() {
	r.commitByCount()
	if r.leavesGroup() || r.handsOver() {
		r.handOver()
		return
	}
	r.confirmReads()
	r.advanceChange()
	r.replicate()
}

// commitByCount commits what a majority has on disk. The own log counts up to what earlier Steps have saved. Entries of
// older epochs are committed only along with one of the own epoch, since a majority that has them can still lose them.
func (r *Replica) commitByCount() {
	index := r.quorum(r.step.saved, matchOf)
	if index <= r.commit {
		return
	}
	if !r.log.holds(index, r.promise.Term) {
		return
	}
	r.commitUpTo(index)
	r.settleCommitted()
}

// settleCommitted reports the proposals that are committed.
func (r *Replica) settleCommitted() {
	open := r.ownership.open
	settled := 0
	for settled < len(open) && open[settled].index <= r.commit {
		r.settle(open[settled].token, true)
		r.ownership.openBytes -= open[settled].size
		settled++
	}
	r.ownership.open = open[settled:]
}

// commitsOnSync tells whether the sync of this Step's entries alone lets something be committed.
func (r *Replica) commitsOnSync() bool {
	if r.step.saved == r.log.last() {
		return false
	}
	index := r.quorum(r.log.last(), matchOf)
	return index > r.commit && r.log.holds(index, r.promise.Term)
}

// quorum is the highest value that a majority of the voters has reached; own is this member's.
func (r *Replica) quorum(own uint64, valueOf func(*peer) uint64) uint64 {
	newest := r.groups.newest()
	ranking := r.ownership.ranking[:0]
	if newest.votes(r.options.ID) {
		ranking = append(ranking, own)
	}
	for _, peer := range r.ownership.peers {
		if !peer.learner {
			ranking = append(ranking, valueOf(peer))
		}
	}
	slices.Sort(ranking)
	r.ownership.ranking = ranking
	majority := r.majority()
	if len(ranking) < majority {
		return 0
	}
	return ranking[len(ranking)-majority]
}

func matchOf(p *peer) uint64 { return p.match }
func roundOf(p *peer) uint64 { return p.round }
func heardOf(p *peer) uint64 { return uint64(p.heard) }

// checkMajority ends the ownership when a majority has been silent for an election time-out.
func (r *Replica) checkMajority() {
	if r.now < r.ownership.heartbeatDue {
		return
	}
	heard := time.Duration(r.quorum(uint64(r.now), heardOf))
	if r.now-heard < r.options.ElectionTimeout {
		return
	}
	r.loseOwnership()
	r.owner = ownerContact{}
}

// resign begins to hand the ownership over.
func (r *Replica) resign() {
	if r.role != owner || r.ownership.resigning {
		return
	}
	r.ownership.resigning = true
	r.ownership.resignBy = r.now + r.options.ElectionTimeout
}

// handsOver tells whether a resigning owner waits no longer.
func (r *Replica) handsOver() bool {
	if !r.ownership.resigning {
		return false
	}
	return len(r.ownership.open) == 0 && len(r.ownership.reads) == 0 || r.now >= r.ownership.resignBy
}

// leavesGroup tells whether it is committed that this owner has no vote any more.
func (r *Replica) leavesGroup() bool {
	newest := r.groups.newest()
	return newest.index <= r.commit && !newest.votes(r.options.ID) && r.isOpen()
}

// handOver ends the ownership and asks the voter that has most of the log to stand for election at once.
func (r *Replica) handOver() {
	if heir := r.heir(); heir != nil {
		message := r.appendTo(heir, heir.match, r.entriesAfter(heir.match))
		message.LeadershipTransfer = true
		r.sendAfterSync(message)
	}
	r.loseOwnership()
	r.owner = ownerContact{}
}

// heir is the voter that has most of the log among those heard lately, or nil.
func (r *Replica) heir() *peer {
	var best *peer
	for _, peer := range r.ownership.peers {
		if peer.learner || !r.hears(peer) || peer.match < r.log.offset {
			continue
		}
		if best == nil || peer.match > best.match {
			best = peer
		}
	}
	return best
}

// entriesAfter are the entries after index that fit into one message.
func (r *Replica) entriesAfter(index uint64) []Entry {
	entries, _ := r.log.batch(index+1, r.limits.message)
	return entries
}
