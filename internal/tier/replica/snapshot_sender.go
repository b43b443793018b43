package replica

import "time"

// chunkRetryElectionTimeouts is the number of election timeouts without an acknowledgement after which chunks are sent
// again.
const chunkRetryElectionTimeouts = 2

// firstChunkRetryHeartbeats is the number of heartbeat intervals after which the first chunk is sent again. A follower whose
// process is receiving other snapshots drops that chunk without a response, and should start soon after those are complete.
const firstChunkRetryHeartbeats = 2

// snapshotTransfer is the state of sending a snapshot to one follower in chunks. After a loss, sending resumes at the lost
// chunk.
type snapshotTransfer struct {
	snapshot      *Snapshot     // nil: not started
	expectedChunk int           // number of the chunk that the follower needs next, as far as known
	nextChunk     int           // number of the chunk to send next
	retryAt       time.Duration // when chunks are sent again unless one is acknowledged first
	rewound       bool          // chunks have been sent again since the last acknowledgement
	window        chunkWindow
}

// becomeSnapshot switches from sending entries to sending a snapshot.
func (r *Replica) becomeSnapshot(p *progress) {
	p.state = stateSnapshot
	p.clearInflights()
	p.transfer = snapshotTransfer{}
	r.sendChunks(p)
}

// sendChunks sends chunks of the newest snapshot to an active follower, up to a window beyond the acknowledged ones.
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
		window = 1 // the follower may have no capacity for the snapshot now
	}
	for t.nextChunk < min(t.expectedChunk+window, t.snapshot.Chunks) {
		r.sendBeforeSync(p, Message{
			Kind: InstallSnapshot, To: p.id, Term: r.hardState.Term, Snapshot: t.snapshot, Chunk: t.nextChunk,
		})
		t.window.sent(r.now)
		t.nextChunk++
	}
}

// rewind resumes sending at a chunk that the follower lacks.
func (t *snapshotTransfer) rewind(chunk int) {
	t.expectedChunk, t.nextChunk, t.rewound = chunk, chunk, true
	t.window.lost()
}

// chunkRetryAt returns when chunks are sent again unless one is acknowledged first.
func (r *Replica) chunkRetryAt(t *snapshotTransfer) time.Duration {
	if t.expectedChunk == 0 {
		return r.now + firstChunkRetryHeartbeats*r.options.HeartbeatInterval
	}
	return r.now + chunkRetryElectionTimeouts*r.options.ElectionTimeout
}

// IsSendingSnapshot reports whether an active follower is receiving the current snapshot. The caller should then delay
// replacing that snapshot on disk.
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

// handleInstallSnapshotResponse records which chunk a follower needs next. A rejection that asks for the first chunk is
// always followed, even if that chunk is being sent again already: the follower had no capacity for it before.
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
