package transport

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	change := func(from, to string) mutation.Change { return mutation.Change{File: "pack.go", Old: from, New: to} }
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a reader forgets the lines before",
			Change: change("\tu.history.add(text)\n", ""),
			Run:    "^TestPackedLinesAreReadAsTheyWere$",
			Always: true,
		},
		{
			Name:   "packed lines have no bound",
			Change: change("N: int64(bound) + 1}", "N: 1 << 40}"),
			Also:   []mutation.Change{change("if len(text) > bound {", "if false {")},
			Run:    "^TestPackedLinesThatAreDamaged$",
		},
		{
			Name:   "half a line is taken",
			Change: change(` || !bytes.HasSuffix(text, []byte("\n"))`, ""),
			Run:    "^TestPackedLinesThatAreDamaged$",
		},
		{
			Name:   "text that doesn't repeat is left as it is",
			Change: change("if float64(into.Len()) <= (1-littleGain)*float64(len(lines)) {", "if true {"),
			Run:    "^TestPackingMakesLinesShorter$",
		},
	})
}
