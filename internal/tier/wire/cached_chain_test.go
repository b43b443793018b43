package wire_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wire"
)

// Given any texts that an asker holds, then what is left out is the beginning of the chain, and one of them.
func TestWhatIsLeftOutIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ab]{0,6}`)
		chain := text.Draw(t, "chain")
		held := rapid.SliceOfN(text, 0, 6).Draw(t, "held")
		var names []wire.CachedChain
		for _, h := range held {
			names = append(names, wire.CachedChain{Bytes: len(h), Digest: wire.DigestOf([]byte(h))})
		}
		begun := wire.OmitCachedPrefix(program.Result{Verdict: program.Accepted, Chain: []byte(chain)}, names)
		whole := string(begun.Chain)
		if begun.CachedIndex > 0 {
			whole = held[begun.CachedIndex-1] + whole
		}
		if diff := cmp.Diff(chain, whole); diff != "" {
			t.Fatal(diff)
		}
	})
}
