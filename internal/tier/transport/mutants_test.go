package transport

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutants_AreDetected(t *testing.T) {
	change := func(from, to string) mutation.Change { return mutation.Change{File: "pack.go", Old: from, New: to} }
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a reader does not extend its dictionary",
			Change: change("\tu.dictionary.add(text)\n", ""),
			Run:    "^TestPacker_AnyBatches_ReaderGivesEveryLine$",
			Always: true,
		},
		{
			Name:   "unpacked lines are not bounded",
			Change: change("N: int64(bound) + 1}", "N: 1 << 40}"),
			Also:   []mutation.Change{change("if len(text) > bound {", "if false {")},
			Run:    "^TestUnpacker_DamagedLines_Fail$",
		},
		{
			Name:   "an incomplete line is accepted",
			Change: change(` || !bytes.HasSuffix(text, []byte("\n"))`, ""),
			Run:    "^TestUnpacker_DamagedLines_Fail$",
		},
		{
			Name:   "text without repetitions is not compressed",
			Change: change("if float64(into.Len()) <= (1-minSaving)*float64(len(lines)) {", "if true {"),
			Run:    "^TestPacker_UsualLines_AreShorter$",
		},
	})
}
