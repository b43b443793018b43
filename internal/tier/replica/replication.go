package replica

// replicate sends each follower the entries or snapshot chunks that it lacks, and heartbeats when they are due.
func (r *Replica) replicate() {
	heartbeatDue := r.now >= r.leadership.heartbeatDeadline
	if heartbeatDue {
		r.leadership.heartbeatDeadline = r.now + r.options.HeartbeatInterval
	}
	for _, p := range r.leadership.followers {
		if heartbeatDue {
			r.probeInactive(p)
		}
		r.sendEntries(p)
		mustConfirmRead := !p.learner && p.sentReadContext < r.leadership.readContext
		if mustConfirmRead || heartbeatDue && !p.sentSinceHeartbeat {
			r.sendHeartbeat(p)
		}
		if heartbeatDue {
			p.sentSinceHeartbeat = false
		}
	}
}

// probeInactive stops sending entries to a follower that does not respond, until it responds again.
func (r *Replica) probeInactive(p *progress) {
	if p.state == stateReplicate && !r.isActive(p) {
		p.becomeProbe(p.match + 1)
		p.probeSent = true
	}
}

// sendEntries sends the follower as many entries or snapshot chunks as may be in flight.
func (r *Replica) sendEntries(p *progress) {
	switch p.state {
	case stateProbe:
		if !p.probeSent && p.next <= r.log.lastIndex() {
			r.sendAppend(p)
		}
	case stateReplicate:
		for p.next <= r.log.lastIndex() && p.inflightBytes < r.limits.maxInflightBytes && p.state == stateReplicate {
			r.sendAppend(p)
		}
	case stateSnapshot:
		r.sendChunks(p)
	}
}

// sendAppend sends the next entries, or switches to a snapshot if they are no longer in the log.
func (r *Replica) sendAppend(p *progress) {
	if p.next <= r.log.offset {
		r.becomeSnapshot(p)
		return
	}
	entries, size := r.log.batch(p.next, r.limits.maxMessageBytes)
	r.sendBeforeSync(p, r.newAppendEntries(p, p.next-1, entries))
	if p.state == stateProbe {
		p.probeSent = true
		return
	}
	last := entries[len(entries)-1].Index
	p.next = last + 1
	p.inflights = append(p.inflights, inflight{last: last, size: size})
	p.inflightBytes += size
}

// sendHeartbeat sends an append without entries. The response shows whether the entries before it have arrived.
func (r *Replica) sendHeartbeat(p *progress) {
	if p.state != stateSnapshot && p.next <= r.log.offset {
		r.becomeSnapshot(p)
	}
	previous := p.next - 1
	if p.state == stateSnapshot {
		previous = 0
	}
	r.sendBeforeSync(p, r.newAppendEntries(p, previous, nil))
}

// newAppendEntries creates an append of entries, which follow the entry at previous.
func (r *Replica) newAppendEntries(p *progress, previous uint64, entries []Entry) Message {
	term, _ := r.log.termAt(previous)
	return Message{
		Kind:        AppendEntries,
		To:          p.id,
		Term:        r.hardState.Term,
		Index:       previous,
		LogTerm:     term,
		Commit:      r.commit,
		Entries:     entries,
		ReadContext: r.leadership.readContext,
	}
}

func (r *Replica) handleAppendEntriesResponse(response *Message) {
	if response.Term > r.hardState.Term {
		r.becomeFollower(response.Term, "")
		return
	}
	if r.role != leader || response.Term != r.hardState.Term {
		return
	}
	p := findProgress(r.leadership.followers, response.From)
	if p == nil {
		return
	}
	p.lastContact, p.hasResponded = r.now, true
	p.readContext = max(p.readContext, response.ReadContext)
	if response.Reject {
		r.handleAppendRejection(p, response)
		return
	}
	if response.Index <= r.log.lastIndex() {
		p.updateMatch(response.Index, r.log.offset)
	}
}

// handleAppendRejection moves back to where the follower's log may match the leader's. It ignores outdated rejections, after
// an acknowledgement or a later probe.
func (r *Replica) handleAppendRejection(p *progress, response *Message) {
	outdated := response.Index <= p.match || p.state == stateSnapshot || p.state == stateProbe && response.Index != p.next-1
	if outdated {
		return
	}
	hint := min(response.RejectHint, response.Index-1)
	p.becomeProbe(max(p.match, r.log.findConflictByTerm(hint, response.LogTerm)) + 1)
}
