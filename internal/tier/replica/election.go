package replica

import (
	"slices"
	"time"
)

// resetElectionTimer draws a new election timeout, which begins now.
func (r *Replica) resetElectionTimer() {
	minTimeout := r.options.ElectionTimeout
	if r.usesInitialTimeout() {
		minTimeout = r.options.InitialElectionTimeout
	}
	r.electionTimeout = minTimeout + time.Duration(r.random.uint64N(uint64(minTimeout)))
	r.electionDeadline = r.now + r.electionTimeout
}

// usesInitialTimeout tells whether this member need not wait for a leader's heartbeats: it has heard no leader since its
// start. Where there is one its heartbeat comes soon; where all members have restarted nothing is gained by waiting. A
// PreVote that comes too early disturbs nobody.
func (r *Replica) usesInitialTimeout() bool {
	return r.options.InitialElectionTimeout > 0 && !r.hasHeardLeader && r.role != candidate
}

// isPromotable tells whether this member may campaign: it has a vote in a configuration that may still be in force. That
// includes one that its own log removes it from, since that entry may need its vote to be committed. It has none once it has
// learned that it was removed.
func (r *Replica) isPromotable() bool {
	return r.configurations.isVoter(r.options.ID) && !r.isExcluded()
}

// isSingleVoter tells whether no other member's vote is needed.
func (r *Replica) isSingleVoter() bool {
	latest := r.configurations.latest()
	return latest.voters == 1 && latest.isVoter(r.options.ID)
}

// hasActiveLeader tells whether a leader was heard within the election timeout. Such a member supports no other candidate.
func (r *Replica) hasActiveLeader() bool {
	if r.role == leader {
		return true
	}
	return r.leader.id != "" && r.now-r.leader.lastContact < r.options.ElectionTimeout
}

// becomeFollower makes this member a follower, in a new term if that is higher. From is empty when the leader is not known.
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

// campaignPreVote asks whether a majority would vote for this member. No term begins before they would, so that a member
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

// campaign begins a term as its candidate. With transfer, the previous leader has asked for it.
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

// requestPreVotes asks the voters, and the contacts outside the configuration. The votes of these don't count; a rejection tells
// this member if it was removed.
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

// hasWonElection tells whether a majority of the voters has voted for this member.
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

// quorumSize is the number of voters that decide, in the latest configuration.
func (r *Replica) quorumSize() int {
	return r.configurations.latest().quorumSize()
}

// handleRequestVote votes at most once in a term, and only for a candidate whose log is up to date (Raft section 5.4.1). A
// member that hears a leader ignores candidates that the leader has not asked to campaign.
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

// isCandidateUpToDate tells whether the candidate's log is at least as up to date as this member's (Raft section 5.4.1).
func (r *Replica) isCandidateUpToDate(request *Message) bool {
	if request.LogTerm != r.log.lastTerm() {
		return request.LogTerm > r.log.lastTerm()
	}
	return request.Index >= r.log.lastIndex()
}

// respondToVote responds to a candidate: with the term that it asks for, or with this member's own if it is denied.
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
