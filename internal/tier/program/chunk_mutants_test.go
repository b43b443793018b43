package program

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsOfChunksAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "all chunks have the same index",
			Change: mutation.Change{File: "chunk_writer.go", Old: "	w.chunk.Index++\n", New: ""},
			Run:    "^TestWriteChunks_LargeState_BoundedAndFull$",
		},
		{
			Name:   "a restore succeeds without the last chunk",
			Change: mutation.Change{File: "restore.go", Old: "if r.expectsMore {", New: "if false {"},
			Run:    "^TestRestorer_IncompleteSeries_KeepsState$",
		},
		{
			Name:   "fragments of an input are lost",
			Change: mutation.Change{File: "restore.go", Old: "record.Input = joinContent(record.Input, r.pending.moreInput)", New: ""},
			Run:    "^TestWriteChunks_LargeState_BoundedAndFull$",
		},
		{
			Name: "a chunk of another snapshot is accepted",
			Change: mutation.Change{
				File: "restore.go",
				Old:  "if (r.restored.clock != clock{nowMs: chunk.NowMs, lastCommandMs: chunk.LastCommandMs}) {",
				New:  "if false {",
			},
			Run: "^TestRestorer_IncompleteSeries_KeepsState$",
		},
	})
}
