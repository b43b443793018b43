package wire_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "chains are compared by length alone",
			Change: mutation.Change{File: "cached_chain.go", Old: " && string(DigestOf(result.Chain[:prefix.Bytes])) == string(prefix.Digest)",
				New: ""},
			Run:    "^TestOmitCachedPrefix_AnyChains_OmitsOnlyWhatIsCached$",
			Always: true,
		},
		{
			Name:   "a shorter prefix is omitted than CachedIndex says",
			Change: mutation.Change{File: "cached_chain.go", Old: "result.Chain[omitted:]", New: "result.Chain[omitted/2:]"},
			Run:    "^TestOmitCachedPrefix_AnyChains_OmitsOnlyWhatIsCached$",
		},
	})
}
