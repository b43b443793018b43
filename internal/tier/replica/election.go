package replica

import (
	"slices"
	"time"
)

// resetElectionTimer draws a new random election timeout and restarts the timer.
func (r *Replica) resetElectionTimer() {
	minTimeout := r.options.ElectionTimeout
	if r.usesInitialTimeout() {
		minTimeout = r.options.InitialElectionTimeout
	}
	r.electionTimeout = minTimeout + time.Duration(r.random.uint64N(uint64(minTimeout)))
	r.electionDeadline = r.now + r.electionTimeout
}

// usesInitialTimeout reports whether the shorter InitialElectionTimeout applies: this member has not been contacted by a
// leader since it started. If there is a leader, its heartbeat arrives soon; if all members have just restarted, waiting
// longer gains nothing. A PreVote that comes too early does no harm.
func (r *Replica) usesInitialTimeout() bool {
	return r.options.InitialElectionTimeout > 0 && !r.hasHeardLeader && r.role != candidate
}

// isPromotable reports whether this member may campaign: it has a vote in a configuration that may still be in force. A
// member removed by an entry in its own log that is not known to be committed still counts, since its vote may be needed to
// commit that entry. A member that has been told of its removal does not count.
func (r *Replica) isPromotable() bool {
	return r.configurations.isVoter(r.options.ID) && !r.isExcluded()
}

// isSingleVoter reports whether this member is the only voter.
func (r *Replica) isSingleVoter() bool {
	latest := r.configurations.latest()
	return latest.voters == 1 && latest.isVoter(r.options.ID)
}

// hasActiveLeader reports whether this member leads or was contacted by a leader within the election timeout. Such a member
// grants no vote to another candidate, unless the leader has asked that candidate to campaign.
func (r *Replica) hasActiveLeader() bool {
	if r.role == leader {
		return true
	}
	return r.leader.id != "" && r.now-r.leader.lastContact < r.options.ElectionTimeout
}

// becomeFollower makes this member a follower, and moves it to the given term if that is higher. From is the ID of the
// leader, or empty if the leader is not known.
func (r *Replica) becomeFollower(term uint64, from string) {
	if r.role == leader {
		r.stepDown()
	}
	if r.role != follower || term > r.hardState.Term {
		r.role = follower
		r.votesGranted = nil
		r.resetElectionTimer()
	}
	if term > r.hardState.Term {
		r.hardState = HardState{Term: term}
		r.step.hardStateChanged = true
		r.step.appendResponse = pendingAppendResponse{}
		r.leader = leaderContact{}
		r.incoming = incomingSnapshot{}
	}
	if from != r.leader.id {
		r.leader = leaderContact{id: from}
	}
}

// campaignPreVote asks whether a majority would vote for this member. A new term begins only if it would, so that a member
// that was partitioned does not depose a leader (thesis section 9.6).
func (r *Replica) campaignPreVote() {
	r.role = preCandidate
	r.leader = leaderContact{}
	r.votesGranted = r.votesGranted[:0]
	r.resetElectionTimer()
	r.recordVote(r.options.ID)
	if r.hasWonElection() {
		r.campaign(false)
		return
	}
	r.requestPreVotes()
}

// campaign begins a new term as a candidate. With transfer, the previous leader has asked this member to campaign.
func (r *Replica) campaign(transfer bool) {
	r.role = candidate
	r.leader = leaderContact{}
	r.votesGranted = r.votesGranted[:0]
	r.resetElectionTimer()
	r.hardState = HardState{Term: r.hardState.Term + 1, Vote: r.options.ID}
	r.step.hardStateChanged = true
	r.step.appendResponse = pendingAppendResponse{}
	r.recordVote(r.options.ID)
	if r.hasWonElection() {
		r.becomeLeader()
		return
	}
	r.requestVotes(Message{Kind: RequestVote, Term: r.hardState.Term, LeadershipTransfer: transfer})
}

// requestPreVotes sends PreVote requests to the voters and to the contacts outside the configuration. Votes of these
// contacts do not count, but their rejections tell this member whether it was removed.
func (r *Replica) requestPreVotes() {
	request := Message{Kind: RequestVote, Term: r.hardState.Term + 1, PreVote: true}
	r.requestVotes(request)
	request.Index, request.LogTerm = r.log.lastIndex(), r.log.lastTerm()
	latest := r.configurations.latest()
	for _, contact := range r.contacts {
		if contact.ID != r.options.ID && latest.find(contact.ID) == nil {
			request.To = contact.ID
			r.sendAfterSync(request)
		}
	}
}

func (r *Replica) requestVotes(request Message) {
	request.Index, request.LogTerm = r.log.lastIndex(), r.log.lastTerm()
	for _, member := range r.configurations.latest().members {
		if member.Learner || member.ID == r.options.ID {
			continue
		}
		request.To = member.ID
		r.sendAfterSync(request)
	}
}

func (r *Replica) recordVote(id string) {
	if !slices.Contains(r.votesGranted, id) {
		r.votesGranted = append(r.votesGranted, id)
	}
}

// hasWonElection reports whether a majority of the voters has voted for this member.
func (r *Replica) hasWonElection() bool {
	latest := r.configurations.latest()
	votes := 0
	for _, id := range r.votesGranted {
		if latest.isVoter(id) {
			votes++
		}
	}
	return votes >= r.quorumSize()
}

// quorumSize returns the number of voters that form a majority in the latest configuration.
func (r *Replica) quorumSize() int {
	return r.configurations.latest().quorumSize()
}

// handleRequestVote grants at most one vote per term, and only to a candidate whose log is up to date (Raft section 5.4.1).
// A member with an active leader ignores candidates that the leader has not asked to campaign.
func (r *Replica) handleRequestVote(request *Message) {
	if len(r.configurations.latest().members) == 0 {
		return
	}
	if request.PreVote {
		r.respondToVote(request, request.Term > r.hardState.Term && !r.hasActiveLeader() && r.isCandidateUpToDate(request))
		return
	}
	if request.Term > r.hardState.Term {
		if r.hasActiveLeader() && !request.LeadershipTransfer {
			return
		}
		r.becomeFollower(request.Term, "")
	}
	mayVote := r.hardState.Vote == "" || r.hardState.Vote == request.From
	if request.Term < r.hardState.Term || r.role != follower || !mayVote || !r.isCandidateUpToDate(request) {
		r.respondToVote(request, false)
		return
	}
	if r.hardState.Vote != request.From {
		r.hardState.Vote = request.From
		r.step.hardStateChanged = true
	}
	r.resetElectionTimer()
	r.respondToVote(request, true)
}

// isCandidateUpToDate reports whether the candidate's log is at least as up to date as this member's (Raft section 5.4.1).
func (r *Replica) isCandidateUpToDate(request *Message) bool {
	if request.LogTerm != r.log.lastTerm() {
		return request.LogTerm > r.log.lastTerm()
	}
	return request.Index >= r.log.lastIndex()
}

// respondToVote responds to a candidate. A granted vote carries the requested term, a rejection this member's own.
func (r *Replica) respondToVote(request *Message, granted bool) {
	response := Message{Kind: RequestVoteResponse, To: request.From, PreVote: request.PreVote, Term: request.Term}
	if !granted {
		response.Term = r.hardState.Term
		response.Reject = true
		response.ExcludedAt = r.exclusionOf(request.From)
	}
	r.sendAfterSync(response)
}

func (r *Replica) handleRequestVoteResponse(response *Message) {
	if response.Reject {
		r.learnExclusion(response)
		if response.Term > r.hardState.Term {
			r.becomeFollower(response.Term, "")
		}
		return
	}
	if response.PreVote {
		r.handlePreVoteResponse(response)
		return
	}
	if r.role != candidate || response.Term != r.hardState.Term {
		return
	}
	r.recordVote(response.From)
	if r.hasWonElection() {
		r.becomeLeader()
	}
}

func (r *Replica) handlePreVoteResponse(response *Message) {
	if r.role != preCandidate || response.Term != r.hardState.Term+1 {
		return
	}
	r.recordVote(response.From)
	if r.hasWonElection() {
		r.campaign(false)
	}
}
