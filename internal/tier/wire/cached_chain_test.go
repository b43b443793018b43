package wire_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wire"
)

// TestOmitCachedPrefix_AnyChains_OmitsOnlyWhatIsCached checks that the omitted part of the chain is a prefix of it and one of the cached
// chains.
func TestOmitCachedPrefix_AnyChains_OmitsOnlyWhatIsCached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ab]{0,6}`)
		chain := text.Draw(t, "chain")
		cached := rapid.SliceOfN(text, 0, 6).Draw(t, "held")
		var identified []wire.CachedChain
		for _, one := range cached {
			identified = append(identified, wire.CachedChain{Bytes: len(one), Digest: wire.DigestOf([]byte(one))})
		}
		response := wire.OmitCachedPrefix(program.Result{Verdict: program.Accepted, Chain: []byte(chain)}, identified)
		complete := string(response.Chain)
		if response.CachedIndex > 0 {
			complete = cached[response.CachedIndex-1] + complete
		}
		if diff := cmp.Diff(chain, complete); diff != "" {
			t.Fatal(diff)
		}
	})
}
