package group

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsOfSnapshotsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a compaction doesn't wait for a transfer",
			Change: mutation.Change{File: "compaction.go", Old: "if g.replica.IsSendingSnapshot() || g.replica.IsReceivingSnapshot() {", New: "if false {"},
			Run:    "^TestACompactionWaitsWhileASnapshotIsSent$",
		},
		{
			Name:   "a compaction waits for a transfer for ever",
			Change: mutation.Change{File: "compaction.go", Old: "bound *= transferBoundFactor", New: "return nil"},
			Run:    "^TestACompactionWaitsWhileASnapshotIsSent$",
		},
		{
			Name:   "a member that isn't admitted receives all the same",
			Change: mutation.Change{File: "snapshot_limiter.go", Old: "message.Snapshot = nil", New: "_ = message"},
			Run:    "^TestMembersOfOneProcessReceiveSnapshotsInTurn$",
		},
		{
			Name:   "an admission is never given back",
			Change: mutation.Change{File: "snapshot_limiter.go", Old: "		g.options.ReceiveLimiter.release()\n", New: ""},
			Run:    "^TestMembersOfOneProcessReceiveSnapshotsInTurn$",
		},
		{
			Name:   "a machine isn't set to the snapshot that was installed",
			Change: mutation.Change{File: "iteration.go", Old: "if err := g.restore(g.disk, true); err != nil {", New: "if err := error(nil); err != nil {"},
			Run:    "^TestASnapshotIsSentInPartsAndTakenOver$",
		},
		{
			Name:   "what has waited counts for ever",
			Change: mutation.Change{File: "queue.go", Old: "	g.options.QueueBudget.release(g.queuedBytes)\n", New: ""},
			Run:    "^TestMembersOfOneProcessShareWhatMayWait$",
		},
	})
}
