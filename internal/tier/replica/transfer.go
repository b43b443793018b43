package replica

// beginLeadershipTransfer stops accepting proposals. The leadership is transferred once the pending proposals and reads are
// resolved or the deadline has passed.
func (r *Replica) beginLeadershipTransfer() {
	if r.role != leader || r.leadership.transferring {
		return
	}
	r.leadership.transferring = true
	r.leadership.transferDeadline = r.now + r.options.ElectionTimeout
}

// isTransferReady reports whether a leadership transfer that has begun need not wait any longer.
func (r *Replica) isTransferReady() bool {
	if !r.leadership.transferring {
		return false
	}
	return len(r.leadership.pendingProposals) == 0 && len(r.leadership.pendingReads) == 0 || r.now >= r.leadership.transferDeadline
}

// isRemoved reports whether a committed configuration gives this leader no vote.
func (r *Replica) isRemoved() bool {
	latest := r.configurations.latest()
	return latest.index <= r.commit && !latest.isVoter(r.options.ID) && r.hasCommittedInTerm()
}

// transferLeadership ends the leadership and asks the active voter with the longest log to campaign at once (thesis section
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

// transferTarget returns the active voter with the longest matching log, or nil.
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

// entriesAfter returns the entries after index that fit into one message.
func (r *Replica) entriesAfter(index uint64) []Entry {
	entries, _ := r.log.batch(index+1, r.limits.maxMessageBytes)
	return entries
}
