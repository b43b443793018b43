package replica

import "time"

// chunkRetryElectionTimeouts is the number of election timeouts without a response after which chunks of a snapshot are sent
// again.
const chunkRetryElectionTimeouts = 2

// firstChunkRetryHeartbeats is the number of heartbeats after which the first chunk is sent again: where the follower's
// process is receiving other snapshots it drops that chunk without a response, and must begin soon after those are complete.
const firstChunkRetryHeartbeats = 2

// snapshotTransfer is the sending of a snapshot, chunk by chunk, to one follower. After a lost chunk it goes back to that
// one.
type snapshotTransfer struct {
	snapshot      *Snapshot     // nil: none has begun
	expectedChunk int           // the chunk that the follower needs next, as far as is known
	nextChunk     int           // the chunk to send next
	retryAt       time.Duration // when chunks are sent again unless one is acknowledged before
	rewound       bool          // chunks are being sent again since the last one was acknowledged
	window        chunkWindow
}

// becomeSnapshot turns from entries to a snapshot.
func (r *Replica) becomeSnapshot(p *progress) {
	p.state = stateSnapshot
	p.clearInflights()
	p.transfer = snapshotTransfer{}
	r.sendChunks(p)
}

// sendChunks sends chunks of the newest snapshot to a follower that responds, a few beyond those that it has acknowledged.
func (r *Replica) sendChunks(p *progress) {
	if !r.isActive(p) {
		return
	}
	t := &p.transfer
	switch {
	case t.snapshot != r.snapshot:
		*t = snapshotTransfer{snapshot: r.snapshot, window: newChunkWindow(r.limits.minInflightChunks, r.limits.maxInflightChunks)}
		t.retryAt = r.chunkRetryAt(t)
	case r.now >= t.retryAt:
		t.rewind(t.expectedChunk)
		t.retryAt = r.chunkRetryAt(t)
	}
	window := t.window.size
	if t.expectedChunk == 0 {
		window = 1 // the follower may not be able to take it now
	}
	for t.nextChunk < min(t.expectedChunk+window, t.snapshot.Chunks) {
		r.sendBeforeSync(p, Message{
			Kind: InstallSnapshot, To: p.id, Term: r.hardState.Term, Snapshot: t.snapshot, Chunk: t.nextChunk,
		})
		t.window.sent(r.now)
		t.nextChunk++
	}
}

// rewind goes back to a chunk that the follower lacks.
func (t *snapshotTransfer) rewind(chunk int) {
	t.expectedChunk, t.nextChunk, t.rewound = chunk, chunk, true
	t.window.lost()
}

// chunkRetryAt is when chunks are sent again unless one is acknowledged before.
func (r *Replica) chunkRetryAt(t *snapshotTransfer) time.Duration {
	if t.expectedChunk == 0 {
		return r.now + firstChunkRetryHeartbeats*r.options.HeartbeatInterval
	}
	return r.now + chunkRetryElectionTimeouts*r.options.ElectionTimeout
}

// IsSendingSnapshot tells whether a snapshot is on its way to a member that takes it: the disk should keep it for a while.
func (r *Replica) IsSendingSnapshot() bool {
	if r.role != leader {
		return false
	}
	for _, p := range r.leadership.followers {
		if p.state == stateSnapshot && p.transfer.expectedChunk > 0 && p.transfer.snapshot == r.snapshot && r.isActive(p) {
			return true
		}
	}
	return false
}

// handleInstallSnapshotResponse records which chunk a follower needs next. One that asks for the first chunk gets it at once, also
// where that was sent before: it had no capacity for it.
func (r *Replica) handleInstallSnapshotResponse(response *Message) {
	if r.role != leader || response.Term != r.hardState.Term {
		return
	}
	p := findProgress(r.leadership.followers, response.From)
	if p == nil {
		return
	}
	p.lastContact = r.now
	t := &p.transfer
	if p.state != stateSnapshot || t.snapshot == nil || response.Index != t.snapshot.Index || response.Chunk > t.snapshot.Chunks {
		return
	}
	switch {
	case response.Chunk > t.expectedChunk:
		t.window.acknowledged(r.now, response.Chunk-t.expectedChunk)
		t.expectedChunk, t.nextChunk = response.Chunk, max(t.nextChunk, response.Chunk)
		t.retryAt, t.rewound = r.chunkRetryAt(t), false
	case response.Reject && (response.Chunk < t.expectedChunk || !t.rewound || response.Chunk == 0):
		t.rewind(response.Chunk)
		t.retryAt = r.chunkRetryAt(t)
	}
}
