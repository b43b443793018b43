package replica

// pendingAppendResponse collects the acknowledgements of all appends accepted in one Step, which are sent as one message.
type pendingAppendResponse struct {
	to          string // empty: none
	term        uint64
	index       uint64 // last entry that matches the leader's log
	readContext uint64
}

// acceptLeader treats the sender of an append or a snapshot as the leader of its term. It returns false if that term is over
// or this member leads it.
func (r *Replica) acceptLeader(message *Message) bool {
	if message.Term < r.hardState.Term {
		r.sendAfterSync(Message{Kind: AppendEntriesResponse, To: message.From, Term: r.hardState.Term, Reject: true})
		return false
	}
	if r.role == leader && message.Term == r.hardState.Term {
		return false
	}
	firstContact := !r.hasHeardLeader
	r.hasHeardLeader = true
	r.becomeFollower(message.Term, message.From)
	r.leader.address = message.Address
	r.leader.lastContact = r.now
	if firstContact && r.options.InitialElectionTimeout > 0 {
		r.resetElectionTimer()
	}
	r.electionDeadline = r.now + r.electionTimeout
	return true
}

// handleAppendEntries appends the leader's entries if the entry before them matches (Raft section 5.3). Entries up to the
// commit index always match, even if they have been compacted.
func (r *Replica) handleAppendEntries(message *Message) {
	if !r.acceptLeader(message) {
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
		r.acknowledge(message, r.commit)
		return
	case previous == r.commit:
	case !r.log.matchTerm(previous, message.LogTerm):
		r.rejectAppend(message)
		return
	}
	if !r.mergeEntries(entries) {
		return
	}
	matched := previous + uint64(len(entries))
	r.commitTo(min(message.Commit, matched))
	r.acknowledge(message, matched)
	if message.LeadershipTransfer && r.isPromotable() {
		r.campaign(true)
	}
}

// mergeEntries appends the entries that are not in the log yet and replaces those that conflict. Matching entries must stay,
// because a delayed message may carry fewer entries than the log holds. It returns false if a configuration entry cannot be
// decoded.
func (r *Replica) mergeEntries(entries []Entry) bool {
	for len(entries) > 0 && r.log.matchTerm(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return true
	}
	if entries[0].Index <= r.log.lastIndex() {
		r.truncate(entries[0].Index)
	}
	return r.appendEntries(entries) == nil
}

// acknowledge records that the log matches the leader's up to index. All acknowledgements of a Step are sent as one message.
func (r *Replica) acknowledge(message *Message, index uint64) {
	response := &r.step.appendResponse
	response.to, response.term = message.From, message.Term
	response.index = max(response.index, index)
	response.readContext = max(response.readContext, message.ReadContext)
}

// rejectAppend tells the leader that the log lacks the entry before the sent ones, and at which index the logs may agree.
func (r *Replica) rejectAppend(message *Message) {
	response := Message{
		Kind:        AppendEntriesResponse,
		To:          message.From,
		Term:        r.hardState.Term,
		Index:       message.Index,
		Reject:      true,
		ReadContext: message.ReadContext,
	}
	response.RejectHint = max(r.commit, r.log.findConflictByTerm(message.Index, message.LogTerm))
	response.LogTerm, _ = r.log.termAt(response.RejectHint)
	r.sendAfterSync(response)
}

// flushAppendResponse queues this Step's acknowledgement to be sent after the sync.
func (r *Replica) flushAppendResponse() {
	pending := r.step.appendResponse
	if pending.to == "" {
		return
	}
	response := Message{
		Kind:        AppendEntriesResponse,
		From:        r.options.ID,
		To:          pending.to,
		Term:        pending.term,
		Index:       pending.index,
		ReadContext: pending.readContext,
	}
	r.step.ready.MessagesAfterSync = append(r.step.ready.MessagesAfterSync, response)
}
