package program

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsOfPartsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "parts have no numbers",
			Change: mutation.Change{File: "parts.go", Old: "	w.image.Number++\n", New: ""},
			Run:    "^TestPartsOfALargeStateAreBoundedAndFull$",
		},
		{
			Name:   "a missing end is not seen",
			Change: mutation.Change{File: "restore.go", Old: "if r.goesOn {", New: "if false {"},
			Run:    "^TestPartsThatAreNotAWholeSeriesAreRefused$",
		},
		{
			Name:   "pieces of an input are lost",
			Change: mutation.Change{File: "restore.go", Old: "record.Input = joined(record.Input, r.pending.inputs)", New: ""},
			Run:    "^TestPartsOfALargeStateAreBoundedAndFull$",
		},
		{
			Name: "parts of different moments are mixed",
			Change: mutation.Change{
				File: "restore.go",
				Old:  "if (r.restored.clock != clock{nowMs: held.NowMs, heardMs: held.HeardMs}) {",
				New:  "if false {",
			},
			Run: "^TestPartsThatAreNotAWholeSeriesAreRefused$",
		},
	})
}
