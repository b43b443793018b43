package replica

import (
	"slices"
	"time"
)

// waitForOwner sets the election timer anew.
func (r *Replica) waitForOwner() {
	shortest := r.options.ElectionTimeout
	if r.isEager() {
		shortest = r.options.InitialElectionTimeout
	}
	r.timeout = shortest + time.Duration(r.random.below(uint64(shortest)))
	r.electionDue = r.now + r.timeout
}

// isEager tells whether this member needn't wait for an owner: it has heard none since its start. Where there is one its
// heartbeat comes soon; where all members have started anew nothing is gained by waiting. Standing on trial disturbs nobody.
func (r *Replica) isEager() bool {
	return r.options.InitialElectionTimeout > 0 && !r.heardOwner && r.role != candidate
}

// mayStand tells whether this member may stand for election: it has a vote in a group that may still be in force. That
// includes one that its own log takes it out of, since that entry may need it to be committed.
func (r *Replica) mayStand() bool {
	return r.groups.votes(r.options.ID)
}

// isOnlyVoter tells whether nobody else's vote is needed.
func (r *Replica) isOnlyVoter() bool {
	newest := r.groups.newest()
	return newest.voters == 1 && newest.votes(r.options.ID)
}

// hearsOwner tells whether there has been an owner within the election time-out.
func (r *Replica) hearsOwner() bool {
	if r.role == owner {
		return true
	}
	return r.owner.id != "" && r.now-r.owner.heard < r.options.ElectionTimeout
}

// follow makes this member a follower, in a new epoch if that is higher. From may be empty when the owner is not known.
func (r *Replica) follow(epoch uint64, from string) {
	if r.role == owner {
		r.loseOwnership()
	}
	if r.role != follower || epoch > r.promise.Term {
		r.role = follower
		r.granted = nil
		r.waitForOwner()
	}
	if epoch > r.promise.Term {
		r.promise = HardState{Term: epoch}
		r.step.promiseChanged = true
		r.step.answer = pendingAnswer{}
		r.owner = ownerContact{}
		r.incoming = incoming{}
	}
	if from != r.owner.id {
		r.owner = ownerContact{id: from}
	}
}

// standOnTrial asks whether a majority would vote for this member. No epoch begins before they would, so that a member
// that was cut off does not unseat an owner.
func (r *Replica) standOnTrial() {
	r.role = trialCandidate
	r.owner = ownerContact{}
	r.granted = r.granted[:0]
	r.waitForOwner()
	r.grant(r.options.ID)
	if r.isElected() {
		r.stand(false)
		return
	}
	r.askForVotes(Message{Kind: RequestVote, Term: r.promise.Term + 1, PreVote: true})
}

// stand begins an epoch as its candidate.
func (r *Replica) stand(voluntary bool) {
	r.role = candidate
	r.owner = ownerContact{}
	r.granted = r.granted[:0]
	r.waitForOwner()
	r.promise = HardState{Term: r.promise.Term + 1, Vote: r.options.ID}
	r.step.promiseChanged = true
	r.step.answer = pendingAnswer{}
	r.grant(r.options.ID)
	if r.isElected() {
		r.takeOwnership()
		return
	}
	r.askForVotes(Message{Kind: RequestVote, Term: r.promise.Term, LeadershipTransfer: voluntary})
}

func (r *Replica) askForVotes(ask Message) {
	ask.Index, ask.LogTerm = r.log.last(), r.log.lastEpoch()
	for _, member := range r.groups.newest().members {
		if member.Learner || member.ID == r.options.ID {
			continue
		}
		ask.To = member.ID
		r.sendAfterSync(ask)
	}
}

func (r *Replica) grant(id string) {
	if !slices.Contains(r.granted, id) {
		r.granted = append(r.granted, id)
	}
}

// isElected tells whether a majority of the group has voted for this member.
func (r *Replica) isElected() bool {
	newest := r.groups.newest()
	votes := 0
	for _, id := range r.granted {
		if newest.votes(id) {
			votes++
		}
	}
	return votes >= r.majority()
}

// majority is the number of voters that decide.
func (r *Replica) majority() int {
	return r.groups.newest().majority()
}

func (r *Replica) receiveAskVote(ask *Message) {
	if len(r.groups.newest().members) == 0 {
		return
	}
	if ask.PreVote {
		r.answerVote(ask, ask.Term > r.promise.Term && !r.hearsOwner() && r.isBehind(ask))
		return
	}
	if ask.Term > r.promise.Term {
		if r.hearsOwner() && !ask.LeadershipTransfer {
			return
		}
		r.follow(ask.Term, "")
	}
	mayVote := r.promise.Vote == "" || r.promise.Vote == ask.From
	if ask.Term < r.promise.Term || r.role != follower || !mayVote || !r.isBehind(ask) {
		r.answerVote(ask, false)
		return
	}
	if r.promise.Vote != ask.From {
		r.promise.Vote = ask.From
		r.step.promiseChanged = true
	}
	r.waitForOwner()
	r.answerVote(ask, true)
}

// isBehind tells whether the candidate's log holds all that this member's log may have to keep.
func (r *Replica) isBehind(ask *Message) bool {
	if ask.LogTerm != r.log.lastEpoch() {
		return ask.LogTerm > r.log.lastEpoch()
	}
	return ask.Index >= r.log.last()
}

// answerVote answers a candidate: with the epoch that it asks for, or with this member's own if it is denied.
func (r *Replica) answerVote(ask *Message, granted bool) {
	answer := Message{Kind: RequestVoteResponse, To: ask.From, PreVote: ask.PreVote, Term: ask.Term}
	if !granted {
		answer.Term = r.promise.Term
		answer.Reject = true
	}
	r.sendAfterSync(answer)
}

func (r *Replica) receiveAnswerVote(answer *Message) {
	if answer.Reject {
		if answer.Term > r.promise.Term {
			r.follow(answer.Term, "")
		}
		return
	}
	if answer.PreVote {
		r.countTrialVote(answer)
		return
	}
	if r.role != candidate || answer.Term != r.promise.Term {
		return
	}
	r.grant(answer.From)
	if r.isElected() {
		r.takeOwnership()
	}
}

func (r *Replica) countTrialVote(answer *Message) {
	if r.role != trialCandidate || answer.Term != r.promise.Term+1 {
		return
	}
	r.grant(answer.From)
	if r.isElected() {
		r.stand(false)
	}
}

// sendAfterSync sends a message once what this Step changes is on disk.
func (r *Replica) sendAfterSync(message Message) {
	message.From, message.Address = r.options.ID, r.options.Address
	r.step.effects.MessagesAfterSync = append(r.step.effects.MessagesAfterSync, message)
}
