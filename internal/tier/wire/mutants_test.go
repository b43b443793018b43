package wire_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "chains are compared by length alone",
			Change: mutation.Change{File: "cached_chain.go", Old: " && string(DigestOf(result.Chain[:h.Bytes])) == string(h.Digest)",
				New: ""},
			Run:    "^TestWhatIsLeftOutIsHeld$",
			Always: true,
		},
		{
			Name:   "less is left out of a chain than is said",
			Change: mutation.Change{File: "cached_chain.go", Old: "result.Chain[left:]", New: "result.Chain[left/2:]"},
			Run:    "^TestWhatIsLeftOutIsHeld$",
		},
	})
}
