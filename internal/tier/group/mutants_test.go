package group

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutants_AreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a compaction doesn't wait for a transfer",
			Change: mutation.Change{File: "compaction.go", Old: "	if g.isTransferring() {\n		bound", New: "	if false {\n		bound"},
			Run:    "^TestCompact_SnapshotBeingSent_Waits$",
		},
		{
			Name:   "a compaction waits for a transfer without bound",
			Change: mutation.Change{File: "compaction.go", Old: "bound *= transferBoundFactor", New: "return false"},
			Run:    "^TestCompact_SnapshotBeingSent_Waits$",
		},
		{
			Name:   "a member without a receive slot receives a snapshot",
			Change: mutation.Change{File: "snapshot_limiter.go", Old: "message.Index, message.Snapshot = message.Snapshot.Index, nil", New: "_ = message"},
			Run:    "^TestSnapshotLimiter_TwoMembers_ReceiveInTurn$",
		},
		{
			Name:   "a receive slot is never released",
			Change: mutation.Change{File: "snapshot_limiter.go", Old: "		g.options.ReceiveLimiter.release()\n", New: ""},
			Run:    "^TestSnapshotLimiter_TwoMembers_ReceiveInTurn$",
		},
		{
			Name:   "the state machine isn't restored from an installed snapshot",
			Change: mutation.Change{File: "iteration.go", Old: "if err := g.restore(g.disk, true); err != nil {", New: "if err := error(nil); err != nil {"},
			Run:    "^TestSnapshot_MemberJoins_GetsEachChunkOnce$",
		},
		{
			Name:   "processed input is never released from the queue budget",
			Change: mutation.Change{File: "queue.go", Old: "	g.options.QueueBudget.release(g.queuedBytes)\n", New: ""},
			Run:    "^TestQueueBudget_TwoMembers_ShareIt$",
		},
	})
}
