package storage_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsOfSlotsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a slot that was received is not synced",
			Change: mutation.Change{File: "slot.go", Old: "if err := w.file.Sync(); err != nil {", New: "if err := error(nil); err != nil {"},
			Run:    "^TestReceivingIsStoppedAnywhere$",
		},
		{
			Name:   "the order of frames is not looked at",
			Change: mutation.Change{File: "slot.go", Old: "if found.sequence != uint64(len(layout.offsets)) {", New: "if false {"},
			Run:    "^TestASlotThatIsNotWholeIsRefused$",
		},
		{
			Name:   "what lies behind a slot is not looked at",
			Change: mutation.Change{File: "slot.go", Old: "reader.offset == reader.size, nil", New: "true, nil"},
			Run:    "^TestASlotThatIsNotWholeIsRefused$",
		},
		{
			Name:   "a snapshot that was given up goes on",
			Change: mutation.Change{File: "slot.go", Old: "	g.dropIncoming()\n	g.newest++", New: "	g.newest++"},
			Run:    "^TestASnapshotThatIsGivenUpIsNotInstalled$",
		},
		{
			Name:   "a gap among received parts is written",
			Change: mutation.Change{File: "slot.go", Old: "|| part.Number != len(g.incoming.layout.offsets) {", New: "{"},
			Run:    "^TestAPartThatDoesNotFollowIsRefused$",
		},
		{
			Name:   "a snapshot that lacks parts is installed",
			Change: mutation.Change{File: "compaction.go", Old: "len(writer.layout.offsets) != effects.Snapshot.Chunks", New: "false"},
			Run:    "^TestAPartThatDoesNotFollowIsRefused$",
		},
	})
}
