package replica

import (
	"slices"
	"time"
)

// leadership is the state that a leader keeps for its term.
type leadership struct {
	noOpIndex         uint64 // index of the NoOp entry that begins the term
	heartbeatDeadline time.Duration
	followers         []*progress       // all members but this one, in the order of the configuration
	pendingProposals  []pendingProposal // in order of index
	pendingBytes      int
	readContext       uint64        // of the newest reads; grows by one per batch
	pendingReads      []pendingRead // in order of context
	transferring      bool          // no more proposals are accepted until the leadership is transferred
	transferDeadline  time.Duration
	quorumScratch     []uint64 // buffer reused by quorumValue
}

// pendingProposal is a proposed command that is not committed yet.
type pendingProposal struct {
	index uint64
	token uint64
	size  int
}

// hasCommittedInTerm reports whether the leader has committed an entry of its own term. Only then does it know all entries
// that were committed in earlier terms (Raft section 8).
func (r *Replica) hasCommittedInTerm() bool {
	return r.commit >= r.leadership.noOpIndex
}

// becomeLeader makes this candidate the leader of its term and appends the term's NoOp entry.
func (r *Replica) becomeLeader() {
	r.role = leader
	r.votesGranted = nil
	r.leadership = leadership{noOpIndex: r.log.lastIndex() + 1, heartbeatDeadline: r.now}
	r.refreshFollowers()
	r.appendEntry(NoOp, nil)
}

// stepDown ends the leadership. Pending proposals and reads are reported as not done; whether such a command will be
// committed is not known.
func (r *Replica) stepDown() {
	r.role = follower
	for i := range r.leadership.pendingProposals {
		r.resolve(r.leadership.pendingProposals[i].token, false)
	}
	for i := range r.leadership.pendingReads {
		r.resolve(r.leadership.pendingReads[i].token, false)
	}
	r.leadership = leadership{}
	r.resetElectionTimer()
}

// resolve reports the outcome of a proposal or a read.
func (r *Replica) resolve(token uint64, done bool) {
	r.step.ready.Outcomes = append(r.step.ready.Outcomes, Outcome{Token: token, Done: done})
}

// appendEntry appends an entry of the leader's term and returns its index.
func (r *Replica) appendEntry(kind EntryKind, data []byte) uint64 {
	index := r.log.lastIndex() + 1
	r.log.append(Entry{Index: index, Term: r.hardState.Term, Kind: kind, Data: data})
	return index
}

// propose appends commands. They are dropped if this member does not lead, or if too much is pending.
func (r *Replica) propose(proposals []Proposal) {
	for i := range proposals {
		proposal := &proposals[i]
		size := len(proposal.Data) + entryOverhead
		if !r.acceptsProposal(size) {
			r.step.ready.Outcomes = append(r.step.ready.Outcomes, Outcome{Token: proposal.Token, Dropped: true})
			continue
		}
		index := r.appendEntry(Command, proposal.Data)
		pending := pendingProposal{index: index, token: proposal.Token, size: size}
		r.leadership.pendingProposals = append(r.leadership.pendingProposals, pending)
		r.leadership.pendingBytes += size
	}
}

// acceptsProposal reports whether a command of the given size may be appended. If nothing is pending, a command of any size
// may be.
func (r *Replica) acceptsProposal(size int) bool {
	if r.role != leader || r.leadership.transferring {
		return false
	}
	return r.leadership.pendingBytes == 0 || r.leadership.pendingBytes+size <= r.limits.maxPendingBytes
}

// tickLeader does the leader's work at the end of a Step.
func (r *Replica) tickLeader() {
	r.maybeCommit()
	if r.isRemoved() || r.isTransferReady() {
		r.transferLeadership()
		return
	}
	r.confirmReads()
	r.advanceConfChange()
	r.replicate()
}

// maybeCommit commits the entries that a majority has on disk. Of the local log, only entries saved by earlier Steps count.
// Entries of older terms are committed only along with one of the current term, since even an entry that a majority holds
// can otherwise still be overwritten (Raft section 5.4.2).
func (r *Replica) maybeCommit() {
	index := r.quorumValue(r.step.stable, matchIndexOf)
	if index <= r.commit {
		return
	}
	if !r.log.matchTerm(index, r.hardState.Term) {
		return
	}
	r.commitTo(index)
	r.resolveCommitted()
}

// resolveCommitted reports the proposals that are committed.
func (r *Replica) resolveCommitted() {
	pending := r.leadership.pendingProposals
	resolved := 0
	for resolved < len(pending) && pending[resolved].index <= r.commit {
		r.resolve(pending[resolved].token, true)
		r.leadership.pendingBytes -= pending[resolved].size
		resolved++
	}
	r.leadership.pendingProposals = pending[resolved:]
}

// commitsOnLocalSync reports whether syncing the entries appended in this Step is enough to commit something.
func (r *Replica) commitsOnLocalSync() bool {
	if r.step.stable == r.log.lastIndex() {
		return false
	}
	index := r.quorumValue(r.log.lastIndex(), matchIndexOf)
	return index > r.commit && r.log.matchTerm(index, r.hardState.Term)
}

// quorumValue returns the highest value that a majority of the voters has reached. Own is this member's value.
func (r *Replica) quorumValue(own uint64, valueOf func(*progress) uint64) uint64 {
	latest := r.configurations.latest()
	values := r.leadership.quorumScratch[:0]
	if latest.isVoter(r.options.ID) {
		values = append(values, own)
	}
	for _, p := range r.leadership.followers {
		if !p.learner {
			values = append(values, valueOf(p))
		}
	}
	slices.Sort(values)
	r.leadership.quorumScratch = values
	quorum := r.quorumSize()
	if len(values) < quorum {
		return 0
	}
	return values[len(values)-quorum]
}

func matchIndexOf(p *progress) uint64 { return p.match }

func readContextOf(p *progress) uint64 { return p.readContext }

func lastContactOf(p *progress) uint64 { return uint64(p.lastContact) }

// checkQuorum steps down if no majority of the voters has responded for an election timeout (thesis section 6.2).
func (r *Replica) checkQuorum() {
	if r.now < r.leadership.heartbeatDeadline {
		return
	}
	lastContact := time.Duration(r.quorumValue(uint64(r.now), lastContactOf))
	if r.now-lastContact < r.options.ElectionTimeout {
		return
	}
	r.stepDown()
	r.leader = leaderContact{}
}
