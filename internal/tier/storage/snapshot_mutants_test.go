package storage_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestSnapshotMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a slot that was received is not synced",
			Change: mutation.Change{File: "slot.go", Old: "if err := w.file.Sync(); err != nil {", New: "if err := error(nil); err != nil {"},
			Run:    "^TestInstall_CrashAtAnyChange_IsAtomic$",
		},
		{
			Name:   "the order of frames is not looked at",
			Change: mutation.Change{File: "slot.go", Old: "if found.sequence != uint64(len(layout.offsets)) {", New: "if false {"},
			Run:    "^TestOpen_IncompleteSlot_IsCorrupt$",
		},
		{
			Name:   "what lies behind a slot is not looked at",
			Change: mutation.Change{File: "slot.go", Old: "reader.offset == reader.size, nil", New: "true, nil"},
			Run:    "^TestOpen_IncompleteSlot_IsCorrupt$",
		},
		{
			Name:   "an abandoned snapshot goes on",
			Change: mutation.Change{File: "slot.go", Old: "	g.dropIncoming()\n	if g.compaction", New: "	if g.compaction"},
			Run:    "^TestInstall_SnapshotAbandoned_Fails$",
		},
		{
			Name:   "a gap among received chunks is written",
			Change: mutation.Change{File: "snapshot.go", Old: "|| chunk.Number != len(g.incoming.layout.offsets) {", New: "{"},
			Run:    "^TestSave_ChunkOutOfOrder_Fails$",
		},
		{
			Name:   "a snapshot that lacks chunks is installed",
			Change: mutation.Change{File: "snapshot.go", Old: "len(writer.layout.offsets) != ready.Snapshot.Chunks", New: "false"},
			Run:    "^TestSave_ChunkOutOfOrder_Fails$",
		},
	})
}
