package replica

import "time"

// incomingSnapshot is a snapshot that is being received. It has no effect on the log, acknowledgements or votes before it is
// complete.
type incomingSnapshot struct {
	from          string // ID of the leader that sends it; empty: none is being received
	term          uint64 // of that leader
	snapshot      *Snapshot
	expectedChunk int           // number of the chunk that is needed next
	deadline      time.Duration // when the transfer is aborted unless another chunk arrives
}

// matches reports whether a message carries a chunk of the snapshot that is being received.
func (i *incomingSnapshot) matches(message *Message) bool {
	return i.from == message.From && i.term == message.Term &&
		i.snapshot.Index == message.Snapshot.Index && i.snapshot.Chunks == message.Snapshot.Chunks
}

// isNewerThan reports whether a delayed message carries a chunk of an older snapshot from the same leader.
func (i *incomingSnapshot) isNewerThan(message *Message) bool {
	return i.from == message.From && i.term == message.Term && i.snapshot.Index > message.Snapshot.Index
}

// IsReceivingSnapshot reports whether some but not all chunks of a snapshot have been received.
func (r *Replica) IsReceivingSnapshot() bool { return r.incoming.from != "" }

// expireIncomingSnapshot aborts a snapshot transfer when no chunk has arrived before its deadline.
func (r *Replica) expireIncomingSnapshot() {
	if r.IsReceivingSnapshot() && r.now >= r.incoming.deadline {
		r.incoming = incomingSnapshot{}
	}
}

// AbortIncomingSnapshot aborts the snapshot that is being received, because the caller needs its space on disk. The caller
// must not do this between a Step and the completion of its Ready. The response to the next chunk makes the leader start
// over.
func (r *Replica) AbortIncomingSnapshot() { r.incoming = incomingSnapshot{} }

// postponedSnapshot is a snapshot that the leader offered while the caller had no capacity to receive it.
type postponedSnapshot struct {
	from  string // ID of the leader that sent it; empty: none is postponed
	term  uint64 // of that leader
	index uint64 // last entry that the snapshot covers
}

// requestPostponedSnapshot asks the leader for a postponed snapshot, unless the leader has changed.
func (r *Replica) requestPostponedSnapshot() {
	postponed := r.postponed
	r.postponed = postponedSnapshot{}
	if postponed.from == "" || postponed.from != r.leader.id || postponed.term != r.hardState.Term || r.IsReceivingSnapshot() {
		return
	}
	r.sendAfterSync(Message{Kind: InstallSnapshotResponse, To: postponed.from, Term: postponed.term, Index: postponed.index, Reject: true})
}

// handleInstallSnapshot receives one chunk of a snapshot. If the caller had no capacity and removed the snapshot from the
// message, the message only shows that the leader is active and which snapshot it offers.
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
		return // new chunks would overwrite those of the snapshot that this Step installs
	}
	r.receiveChunk(message)
}

// receiveChunk stores the chunk if it is the expected one, and tells the leader which one is needed next.
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

// requestChunk tells the leader which chunk is needed next. With reject, the chunks from that number up to the received one
// are missing.
func (r *Replica) requestChunk(message *Message, number int, reject bool) {
	r.sendAfterSync(Message{
		Kind: InstallSnapshotResponse, To: message.From, Term: message.Term, Index: message.Snapshot.Index,
		Chunk: number, Reject: reject,
	})
}

// installSnapshot replaces the log with a snapshot.
func (r *Replica) installSnapshot(snapshot *Snapshot) {
	r.incoming = incomingSnapshot{}
	r.snapshot = snapshot
	r.log.restore(snapshot.Index, snapshot.Term)
	r.configurations = configurationHistory{newConfiguration(snapshot.Index, snapshot.Members)}
	r.commit, r.applied = snapshot.Index, snapshot.Index
	r.step.installedSnapshot = snapshot
	r.step.stable, r.step.stableLast = snapshot.Index, snapshot.Index
}
