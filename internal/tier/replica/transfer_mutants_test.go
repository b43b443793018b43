package replica

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// Tests that notice mistakes in the transfer of snapshots.
const (
	orderOfParts    = "^TestEveryOrderOfPartsIsSafe$"
	answersToParts  = "^TestFollowerAndPartsOfSnapshots$"
	partsSent       = "^TestOwnerSendsAFewPartsAhead$"
	compactedMiddle = "^TestCompactionGivesUpASnapshotThatIsReceived$"
)

func TestMutantsOfTransfersAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a gap is taken over",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "if message.Chunk != incoming.wantedChunk {", New: "if message.Chunk < incoming.wantedChunk {"},
			Run:    orderOfParts,
		},
		{
			Name:   "parts of different owners are mixed",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "return i.from == message.From && i.term == message.Term &&\n\t\ti.snapshot", New: "return i.snapshot"},
			Also:   []mutation.Change{{File: "election.go", Old: "		r.incoming = incomingSnapshot{}\n", New: ""}},
			Run:    answersToParts,
		},
		{
			Name:   "installed without the last part",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "if incoming.wantedChunk < incoming.snapshot.Chunks {", New: "if incoming.wantedChunk < incoming.snapshot.Chunks-1 {"},
			Run:    orderOfParts,
		},
		{
			Name: "half a snapshot counts as a match",
			Change: mutation.Change{
				File: "snapshot_receiver.go",
				Old:  "		r.requestChunk(message, incoming.wantedChunk, false)\n",
				New:  "		r.acknowledge(message, message.Snapshot.Index)\n",
			},
			Run: orderOfParts,
		},
		{
			Name:   "lost parts are never sent again",
			Change: mutation.Change{File: "snapshot_sender.go", Old: "case r.now >= t.retryAt:", New: "case false:"},
			Run:    partsSent,
		},
		{
			Name:   "a part of an older snapshot ends the newer one",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "if r.incoming.isNewerThan(message) {", New: "if false {"},
			Run:    answersToParts,
		},
		{
			Name:   "a compaction keeps what was being received",
			Change: mutation.Change{File: "compaction.go", Old: "	r.incoming = incomingSnapshot{}\n", New: ""},
			Run:    compactedMiddle,
		},
		{
			Name:   "a snapshot that ceased to come is never given up",
			Change: mutation.Change{File: "snapshot_receiver.go", Old: "if r.IsReceivingSnapshot() && r.now >= r.incoming.deadline {", New: "if false {"},
			Run:    "^TestFollowerGivesUpASnapshotWhenNoMoreOfItComes$",
		},
		{
			Name:   "all parts are sent at once",
			Change: mutation.Change{File: "snapshot_sender.go", Old: "min(t.wantedChunk+window, t.snapshot.Chunks)", New: "t.snapshot.Chunks+0*window"},
			Run:    partsSent,
		},
	})
}
