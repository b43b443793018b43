package replica

// openRead waits for a majority to answer a round of heartbeats that began after it.
type openRead struct {
	round uint64
	token uint64
}

// read begins a round of heartbeats for all reads of a Step. Once a majority has answered it, nobody else was the owner
// when the reads came in, so that this member's commit holds all that was acknowledged before them.
func (r *Replica) read(tokens []uint64) {
	if len(tokens) == 0 {
		return
	}
	if r.role != owner {
		for _, token := range tokens {
			r.step.effects.Outcomes = append(r.step.effects.Outcomes, Outcome{Token: token, Dropped: true})
		}
		return
	}
	r.ownership.round++
	for _, token := range tokens {
		r.ownership.reads = append(r.ownership.reads, openRead{round: r.ownership.round, token: token})
	}
}

// confirmReads settles the reads whose round a majority has answered.
func (r *Replica) confirmReads() {
	reads := r.ownership.reads
	if len(reads) == 0 || !r.isOpen() {
		return
	}
	confirmed := r.quorum(r.ownership.round, roundOf)
	settled := 0
	for settled < len(reads) && reads[settled].round <= confirmed {
		r.settle(reads[settled].token, true)
		settled++
	}
	r.ownership.reads = reads[settled:]
}
