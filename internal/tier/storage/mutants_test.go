package storage_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// ignoringChecksums makes the checksum constant, so that every frame with a plausible length counts as intact.
var ignoringChecksums = mutation.Change{
	File: "frame.go",
	Old:  "return crc32.Update(crc32.Update(0, castagnoli, header), castagnoli, payload)",
	New:  "return 0",
}

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "checksums are ignored, damaged files",
			Change: ignoringChecksums,
			Run:    "^(TestOpen_LogDamagedBeforeLastFrame_IsCorrupt|TestOpen_TornLastFrame_IsTruncated|TestOpen_SlotOrFirstFrameDamaged_IsCorrupt)$",
			Always: true,
		},
		{
			Name:   "checksums are ignored, crash histories",
			Change: ignoringChecksums,
			Run:    "^TestHistories_UnchangedPackage_ShowNoMistake$",
		},
	})
}
