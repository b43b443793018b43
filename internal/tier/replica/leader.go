package replica

import (
	"slices"
	"time"
)

// leadership is what a leader keeps for its term.
type leadership struct {
	noOpIndex         uint64 // index of the first entry of the term
	heartbeatDeadline time.Duration
	followers         []*progress       // all members but this one, in the order of the configuration
	pendingProposals  []pendingProposal // by index
	pendingBytes      int
	readContext       uint64        // of the newest reads
	pendingReads      []pendingRead // by context
	transferring      bool          // the leadership is to be handed over
	transferDeadline  time.Duration
	quorumScratch     []uint64 // memory of quorumValue
}

// pendingProposal is a command that waits for its commit.
type pendingProposal struct {
	index uint64
	token uint64
	size  int
}

// hasCommittedInTerm tells whether the leader has committed an entry of its own term: only then does it know all that was
// committed before (Raft section 8).
func (r *Replica) hasCommittedInTerm() bool {
	return r.commit >= r.leadership.noOpIndex
}

// becomeLeader makes this candidate the leader of its term and appends the term's first entry.
func (r *Replica) becomeLeader() {
	r.role = leader
	r.votesGranted = nil
	r.leadership = leadership{noOpIndex: r.log.lastIndex() + 1, heartbeatDeadline: r.now}
	r.refreshFollowers()
	r.appendEntry(NoOp, nil)
}

// stepDown ends the leadership; pending proposals and reads get their outcome, which is unknown.
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

// appendEntry adds an entry of the leader's term and returns its index.
func (r *Replica) appendEntry(kind EntryKind, data []byte) uint64 {
	index := r.log.lastIndex() + 1
	r.log.append(Entry{Index: index, Term: r.hardState.Term, Kind: kind, Data: data})
	return index
}

// propose appends commands. Elsewhere than at the leader, and beyond what may be pending, they are dropped.
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

// acceptsProposal tells whether a command of that size may be appended. A single one may be, however large.
func (r *Replica) acceptsProposal(size int) bool {
	if r.role != leader || r.leadership.transferring {
		return false
	}
	return r.leadership.pendingBytes == 0 || r.leadership.pendingBytes+size <= r.limits.maxPendingBytes
}

// tickLeader does a leader's work at the end of a Step.
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

// maybeCommit commits what a majority has on disk. The local log counts up to what earlier Steps have saved. Entries of
// older terms are committed only along with one of the own term, since a majority that has them can still lose them (Raft
// section 5.4.2).
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

// commitsOnLocalSync tells whether the sync of this Step's entries alone lets something be committed.
func (r *Replica) commitsOnLocalSync() bool {
	if r.step.stable == r.log.lastIndex() {
		return false
	}
	index := r.quorumValue(r.log.lastIndex(), matchIndexOf)
	return index > r.commit && r.log.matchTerm(index, r.hardState.Term)
}

// quorumValue is the highest value that a majority of the voters has reached; own is this member's.
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

// checkQuorum ends the leadership when a majority has not responded for an election timeout (thesis section 6.2).
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
