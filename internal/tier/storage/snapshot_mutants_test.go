package storage_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestSnapshotMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a received snapshot's slot is not synced",
			Change: mutation.Change{File: "slot.go", Old: "if err := w.file.Sync(); err != nil {", New: "if err := error(nil); err != nil {"},
			Run:    "^TestInstall_CrashAtAnyChange_IsAtomic$",
		},
		{
			Name:   "the order of a slot's frames is not checked",
			Change: mutation.Change{File: "slot.go", Old: "if found.sequence != uint64(len(layout.offsets)) {", New: "if false {"},
			Run:    "^TestOpen_IncompleteSlot_IsCorrupt$",
		},
		{
			Name:   "bytes after a slot's last frame are not detected",
			Change: mutation.Change{File: "slot.go", Old: "reader.offset == reader.size, nil", New: "true, nil"},
			Run:    "^TestOpen_IncompleteSlot_IsCorrupt$",
		},
		{
			Name:   "a dropped snapshot still accepts chunks",
			Change: mutation.Change{File: "slot.go", Old: "	g.dropIncoming()\n	if g.compaction", New: "	if g.compaction"},
			Run:    "^TestInstall_SnapshotAbandoned_Fails$",
		},
		{
			Name:   "a gap between received chunks is not detected",
			Change: mutation.Change{File: "snapshot.go", Old: "|| chunk.Number != len(g.incoming.layout.offsets) {", New: "{"},
			Run:    "^TestSave_ChunkOutOfOrder_Fails$",
		},
		{
			Name:   "an incomplete snapshot is installed",
			Change: mutation.Change{File: "snapshot.go", Old: "len(writer.layout.offsets) != ready.Snapshot.Chunks", New: "false"},
			Run:    "^TestSave_ChunkOutOfOrder_Fails$",
		},
	})
}
