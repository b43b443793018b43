package replica

// pendingRead waits for a majority to respond to a round of heartbeats that began after it.
type pendingRead struct {
	readIndexRound uint64
	token          uint64
}

// read begins a round of heartbeats for all reads of a Step (ReadIndex, thesis section 6.4). Once a majority has responded
// to it, no other member led when the reads came in, so that this member's commit index covers all that was acknowledged
// before them.
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
	r.leadership.readIndexRound++
	for _, token := range tokens {
		r.leadership.pendingReads = append(r.leadership.pendingReads, pendingRead{readIndexRound: r.leadership.readIndexRound, token: token})
	}
}

// confirmReads resolves the reads whose round a majority has responded to. None is resolved before an entry of the own
// term is committed.
func (r *Replica) confirmReads() {
	reads := r.leadership.pendingReads
	if len(reads) == 0 || !r.hasCommittedInTerm() {
		return
	}
	confirmed := r.quorumValue(r.leadership.readIndexRound, readIndexRoundOf)
	resolved := 0
	for resolved < len(reads) && reads[resolved].readIndexRound <= confirmed {
		r.resolve(reads[resolved].token, true)
		resolved++
	}
	r.leadership.pendingReads = reads[resolved:]
}
