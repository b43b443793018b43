package replica

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// Tests that detect mistakes in sending and receiving snapshots.
const (
	orderOfChunks           = "^TestExploration_OrdersOfSnapshotChunks_AreSafe$"
	responsesToChunks       = "^TestFollower_SnapshotChunks_AreTakenInOrder$"
	chunksSent              = "^TestLeader_SnapshotChunks_AreSentAFewAhead$"
	compactionDuringReceive = "^TestCompaction_SnapshotIncoming_IsGivenUp$"
)

func TestSnapshotMutants_AreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "chunks after a gap are accepted",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "if message.Chunk != incoming.expectedChunk {", New: "if message.Chunk < incoming.expectedChunk {"},
			Run:    orderOfChunks,
		},
		{
			Name:   "chunks of different leaders are mixed",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "return i.from == message.From && i.term == message.Term &&\n\t\ti.snapshot", New: "return i.snapshot"},
			Also:   []mutation.Change{{File: "election.go", Old: "		r.incoming = incomingSnapshot{}\n", New: ""}},
			Run:    responsesToChunks,
		},
		{
			Name:   "a snapshot is installed without its last chunk",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "if incoming.expectedChunk < incoming.snapshot.Chunks {", New: "if incoming.expectedChunk < incoming.snapshot.Chunks-1 {"},
			Run:    orderOfChunks,
		},
		{
			Name: "an incomplete snapshot is acknowledged",
			Change: mutation.Change{
				File: "snapshot_receiver.go",
				Old:  "		r.requestChunk(message, incoming.expectedChunk, false)\n",
				New:  "		r.acknowledge(message, message.Snapshot.Index)\n",
			},
			Run: orderOfChunks,
		},
		{
			Name:   "lost chunks are never sent again",
			Change: mutation.Change{File: "snapshot_sender.go", Old: "case r.now >= t.retryAt:", New: "case false:"},
			Run:    chunksSent,
		},
		{
			Name:   "a chunk of an older snapshot replaces the newer one",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "if r.incoming.isNewerThan(message) {", New: "if false {"},
			Run:    responsesToChunks,
		},
		{
			Name:   "a compaction does not abort the snapshot being received",
			Change: mutation.Change{File: "compaction.go", Old: "	r.incoming = incomingSnapshot{}\n", New: ""},
			Run:    compactionDuringReceive,
		},
		{
			Name:   "a stalled snapshot is never aborted",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "if r.IsReceivingSnapshot() && r.now >= r.incoming.deadline {", New: "if false {"},
			Run:    "^TestFollower_SnapshotStalls_IsGivenUp$",
		},
		{
			Name:   "all chunks are sent at once",
			Change: mutation.Change{File: "snapshot_sender.go", Old: "min(t.expectedChunk+window, t.snapshot.Chunks)", New: "t.snapshot.Chunks+0*window"},
			Run:    chunksSent,
		},
	})
}
