package replica

// pendingRead is a read that waits until a majority has responded to heartbeats with its context or a newer one.
type pendingRead struct {
	context uint64
	token   uint64
}

// read assigns all reads of a Step one context, which is sent with heartbeats (ReadIndex, thesis section 6.4). Once a
// majority has responded to it, no other member can have been the leader when the reads arrived, so this member's commit
// index covers everything that was acknowledged before them.
func (r *Replica) read(tokens []uint64) {
	if len(tokens) == 0 {
		return
	}
	if r.role != leader {
		for _, token := range tokens {
			r.step.ready.Outcomes = append(r.step.ready.Outcomes, Outcome{Token: token, Dropped: true})
		}
		return
	}
	r.leadership.readContext++
	for _, token := range tokens {
		r.leadership.pendingReads = append(r.leadership.pendingReads, pendingRead{context: r.leadership.readContext, token: token})
	}
}

// confirmReads resolves the reads whose context a majority has responded to. No read is resolved before an entry of the
// current term is committed.
func (r *Replica) confirmReads() {
	reads := r.leadership.pendingReads
	if len(reads) == 0 || !r.hasCommittedInTerm() {
		return
	}
	confirmed := r.quorumValue(r.leadership.readContext, readContextOf)
	resolved := 0
	for resolved < len(reads) && reads[resolved].context <= confirmed {
		r.resolve(reads[resolved].token, true)
		resolved++
	}
	r.leadership.pendingReads = reads[resolved:]
}
