package replica

import "time"

// incomingSnapshot is a snapshot that is being received. Nothing of it counts before it is complete: neither as a match nor
// for a vote.
type incomingSnapshot struct {
	from          string // identity of the leader that sends it; empty: none is being received
	term          uint64 // of that leader
	snapshot      *Snapshot
	expectedChunk int           // the chunk that is needed next
	deadline      time.Duration // when it is given up unless another chunk has come
}

// matches tells whether a message brings a chunk of the snapshot that is being received.
func (i *incomingSnapshot) matches(message *Message) bool {
	return i.from == message.From && i.term == message.Term &&
		i.snapshot.Index == message.Snapshot.Index && i.snapshot.Chunks == message.Snapshot.Chunks
}

// isNewerThan tells whether a message comes late, with a chunk of an older snapshot of the same leader.
func (i *incomingSnapshot) isNewerThan(message *Message) bool {
	return i.from == message.From && i.term == message.Term && i.snapshot.Index > message.Snapshot.Index
}

// IsReceivingSnapshot tells whether chunks of a snapshot have been received and it is not complete yet.
func (r *Replica) IsReceivingSnapshot() bool { return r.incoming.from != "" }

// expireIncomingSnapshot gives up a snapshot whose sender sends no more of it.
func (r *Replica) expireIncomingSnapshot() {
	if r.IsReceivingSnapshot() && r.now >= r.incoming.deadline {
		r.incoming = incomingSnapshot{}
	}
}

// GiveUpIncomingSnapshot drops a snapshot that is being received, since the place of its chunks on the disk is needed. The caller
// must not do that between a Step and the end of its Ready. The leader is told with the next chunk, and starts over.
func (r *Replica) GiveUpIncomingSnapshot() { r.incoming = incomingSnapshot{} }

// postponedSnapshot is a snapshot of which a chunk came while the caller had no capacity for it.
type postponedSnapshot struct {
	from  string // identity of the leader that sent it; empty: none is postponed
	term  uint64 // of that leader
	index uint64 // last entry of the snapshot
}

// requestPostponedSnapshot asks the leader for a postponed snapshot, unless it isn't the leader any more.
func (r *Replica) requestPostponedSnapshot() {
	postponed := r.postponed
	r.postponed = postponedSnapshot{}
	if postponed.from == "" || postponed.from != r.leader.id || postponed.term != r.hardState.Term || r.IsReceivingSnapshot() {
		return
	}
	r.sendAfterSync(Message{Kind: InstallSnapshotResponse, To: postponed.from, Term: postponed.term, Index: postponed.index, Reject: true})
}

// handleInstallSnapshot takes one chunk of a snapshot in. A message without a snapshot is one that the caller has no
// capacity for: it only shows that the leader is there, and what it has.
func (r *Replica) handleInstallSnapshot(message *Message) {
	snapshot := message.Snapshot
	if !r.acceptLeader(message) {
		return
	}
	if snapshot == nil || snapshot.Chunks < 1 {
		r.postponed = postponedSnapshot{from: message.From, term: message.Term, index: message.Index}
		return
	}
	r.postponed = postponedSnapshot{}
	if snapshot.Index <= r.commit {
		r.acknowledge(message, r.commit)
		return
	}
	if r.log.matchTerm(snapshot.Index, snapshot.Term) {
		r.commitTo(snapshot.Index)
		r.acknowledge(message, snapshot.Index)
		return
	}
	if r.step.installedSnapshot != nil {
		return // its chunks lie where the next one's would be written
	}
	r.receiveChunk(message)
}

// receiveChunk takes the chunk that is needed, and tells the leader which one is needed then.
func (r *Replica) receiveChunk(message *Message) {
	if r.incoming.isNewerThan(message) {
		return
	}
	if !r.IsReceivingSnapshot() || !r.incoming.matches(message) {
		r.incoming = incomingSnapshot{}
		if message.Chunk != 0 {
			r.requestChunk(message, 0, true)
			return
		}
		r.incoming = incomingSnapshot{from: message.From, term: message.Term, snapshot: withoutState(message.Snapshot)}
	}
	incoming := &r.incoming
	incoming.deadline = r.now + 2*chunkRetryElectionTimeouts*r.options.ElectionTimeout
	if message.Chunk != incoming.expectedChunk {
		r.requestChunk(message, incoming.expectedChunk, message.Chunk > incoming.expectedChunk)
		return
	}
	r.step.receivedChunks = append(r.step.receivedChunks, Chunk{Number: incoming.expectedChunk, Data: message.Snapshot.State})
	incoming.expectedChunk++
	if incoming.expectedChunk < incoming.snapshot.Chunks {
		r.requestChunk(message, incoming.expectedChunk, false)
		return
	}
	r.installSnapshot(incoming.snapshot)
	r.acknowledge(message, message.Snapshot.Index)
}

// requestChunk tells the leader which chunk is needed next; with reject, that those before the one it has sent are missing.
func (r *Replica) requestChunk(message *Message, number int, reject bool) {
	r.sendAfterSync(Message{
		Kind: InstallSnapshotResponse, To: message.From, Term: message.Term, Index: message.Snapshot.Index,
		Chunk: number, Reject: reject,
	})
}

// installSnapshot puts a snapshot in place of the log.
func (r *Replica) installSnapshot(snapshot *Snapshot) {
	r.incoming = incomingSnapshot{}
	r.snapshot = snapshot
	r.log.restore(snapshot.Index, snapshot.Term)
	r.configurations = configurationHistory{newConfiguration(snapshot.Index, snapshot.Members)}
	r.commit, r.applied = snapshot.Index, snapshot.Index
	r.step.installedSnapshot = snapshot
	r.step.stable, r.step.stableLast = snapshot.Index, snapshot.Index
}
