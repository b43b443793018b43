package replica

// pendingAnswer is the acknowledgement of all appends that were accepted in a Step.
type pendingAnswer struct {
	to    string // empty: none
	epoch uint64
	index uint64
	round uint64
}

// heed takes the sender of an append or a snapshot for the owner; false when its epoch is over, or this member leads.
func (r *Replica) heed(message *Message) bool {
	if message.Term < r.promise.Term {
		r.sendAfterSync(Message{Kind: AppendEntriesResponse, To: message.From, Term: r.promise.Term, Reject: true})
		return false
	}
	if r.role == owner && message.Term == r.promise.Term {
		return false
	}
	first := !r.heardOwner
	r.heardOwner = true
	r.follow(message.Term, message.From)
	r.owner.address = message.Address
	r.owner.heard = r.now
	if first && r.options.InitialElectionTimeout > 0 {
		r.waitForOwner()
	}
	r.electionDue = r.now + r.timeout
	return true
}

func (r *Replica) receiveAppend(message *Message) {
	if !r.heed(message) {
		return
	}
	previous, entries := message.Index, message.Entries
	if checkSequence(previous, 0, entries) != nil {
		return
	}
	if previous < r.commit {
		skipped := min(r.commit-previous, uint64(len(entries)))
		previous, entries = previous+skipped, entries[skipped:]
	}
	switch {
	case previous < r.commit:
		r.accept(message, r.commit)
		return
	case previous == r.commit:
	case !r.log.holds(previous, message.LogTerm):
		r.reject(message)
		return
	}
	if !r.merge(previous, entries) {
		return
	}
	matched := previous + uint64(len(entries))
	r.commitUpTo(min(message.Commit, matched))
	r.accept(message, matched)
	if message.LeadershipTransfer && r.mayStand() {
		r.stand(true)
	}
}

// merge takes over the entries after previous that are not in the log yet, in place of those that differ.
func (r *Replica) merge(previous uint64, entries []Entry) bool {
	for len(entries) > 0 && r.log.holds(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return true
	}
	if entries[0].Index <= r.log.last() {
		r.truncate(entries[0].Index)
	}
	return r.appendEntries(entries) == nil
}

// accept acknowledges what is in the log up to index. A Step's acknowledgements go in one message.
func (r *Replica) accept(message *Message, index uint64) {
	answer := &r.step.answer
	answer.to, answer.epoch = message.From, message.Term
	answer.index = max(answer.index, index)
	answer.round = max(answer.round, message.ReadIndexRound)
}

// reject tells the owner that the entry before those it sent is not in the log, and where the logs may agree.
func (r *Replica) reject(message *Message) {
	answer := Message{
		Kind:           AppendEntriesResponse,
		To:             message.From,
		Term:           r.promise.Term,
		Index:          message.Index,
		Reject:         true,
		ReadIndexRound: message.ReadIndexRound,
	}
	answer.RejectHint = max(r.commit, r.log.agreement(message.Index, message.LogTerm))
	answer.LogTerm, _ = r.log.epochAt(answer.RejectHint)
	r.sendAfterSync(answer)
}

// flushAnswer sends the acknowledgement of this Step.
func (r *Replica) flushAnswer() {
	pending := r.step.answer
	if pending.to == "" {
		return
	}
	answer := Message{
		Kind:           AppendEntriesResponse,
		From:           r.options.ID,
		To:             pending.to,
		Term:           pending.epoch,
		Index:          pending.index,
		ReadIndexRound: pending.round,
	}
	r.step.effects.MessagesAfterSync = append(r.step.effects.MessagesAfterSync, answer)
}
