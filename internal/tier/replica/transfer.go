package replica

// beginLeadershipTransfer stops taking proposals, so that the leadership can be handed over once the pending ones are
// resolved.
func (r *Replica) beginLeadershipTransfer() {
	if r.role != leader || r.leadership.transferring {
		return
	}
	r.leadership.transferring = true
	r.leadership.transferDeadline = r.now + r.options.ElectionTimeout
}

// isTransferReady tells whether a leader that is to hand over waits no longer.
func (r *Replica) isTransferReady() bool {
	if !r.leadership.transferring {
		return false
	}
	return len(r.leadership.pendingProposals) == 0 && len(r.leadership.pendingReads) == 0 || r.now >= r.leadership.transferDeadline
}

// isRemoved tells whether it is committed that this leader has no vote any more.
func (r *Replica) isRemoved() bool {
	latest := r.configurations.latest()
	return latest.index <= r.commit && !latest.isVoter(r.options.ID) && r.hasCommittedInTerm()
}

// transferLeadership ends the leadership and asks the voter that has most of the log to campaign at once (thesis section
// 3.10).
func (r *Replica) transferLeadership() {
	if target := r.transferTarget(); target != nil {
		message := r.newAppendEntries(target, target.match, r.entriesAfter(target.match))
		message.LeadershipTransfer = true
		r.sendAfterSync(message)
	}
	r.stepDown()
	r.leader = leaderContact{}
}

// transferTarget is the active voter with the longest log, or nil.
func (r *Replica) transferTarget() *progress {
	var best *progress
	for _, p := range r.leadership.followers {
		if p.learner || !r.isActive(p) || p.match < r.log.offset {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}

// entriesAfter are the entries after index that fit into one message.
func (r *Replica) entriesAfter(index uint64) []Entry {
	entries, _ := r.log.batch(index+1, r.limits.maxMessageBytes)
	return entries
}
