package programclient

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wire"
)

// conversation runs the turns of programs of one shard through clients, each of which has a cache of its own.
type conversation struct {
	t        *rapid.T
	machine  *program.Machine
	clients  []*prefixCache
	complete []string // names of the turns that can be continued
	sent     int      // total length of the chains as transferred
	full     int      // total length that would be transferred without caches
}

// begin begins a turn as Client does, checks its chain, and reports whether the turn was accepted.
func (c *conversation) begin(client *prefixCache, turn program.BeginTurn) bool {
	cached := client.prefixes(&turn)
	result := c.machine.Apply(program.Command{Begin: &turn})
	begun := wire.OmitCachedPrefix(result, digestsOf(cached))
	got, err := joinPrefix(cached, begun)
	if err != nil || !bytes.Equal(got, result.Chain) {
		c.t.Fatalf("turn %s: chain %q, %v, want %q", turn.Turn, got, err, result.Chain)
	}
	c.sent += len(begun.Chain)
	c.full += len(result.Chain)
	if result.Verdict == program.Accepted {
		client.addBegun(&turn, got)
	}
	return result.Verdict == program.Accepted
}

func (c *conversation) end(client *prefixCache, end program.EndTurn) {
	verdict := c.machine.Apply(program.Command{End: &end}).Verdict
	client.addEnded(&end, verdict)
	if end.Complete && verdict == program.Accepted {
		c.complete = append(c.complete, end.Turn)
	}
}

// TestPrefixCache_AnyTurns_ChainsEqualTheShards has turns continue any earlier ones, through either of two clients with caches of
// any size. Some turns end incomplete, some are begun again with another input. Each must get the chain that its shard stores.
func TestPrefixCache_AnyTurns_ChainsEqualTheShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBytes := rapid.SampledFrom([]int{0, 40, 400, 1 << 20}).Draw(t, "cache size")
		c := &conversation{t: t, machine: program.New(), clients: []*prefixCache{newPrefixCache(maxBytes), newPrefixCache(maxBytes)}}
		for number := range rapid.IntRange(1, 25).Draw(t, "turns") {
			client := c.clients[rapid.IntRange(0, 1).Draw(t, "client")]
			turn := program.BeginTurn{Turn: fmt.Sprint("t", number), Program: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "program"), Remembered: true,
				KeepForS: 60, Input: bytes.Repeat([]byte{byte('a' + number)}, rapid.IntRange(0, 30).Draw(t, "input"))}
			if len(c.complete) > 0 && rapid.IntRange(0, 9).Draw(t, "continues") > 0 {
				turn.Previous = rapid.SampledFrom(c.complete).Draw(t, "previous")
			}
			if !c.begin(client, turn) {
				continue
			}
			if rapid.IntRange(0, 5).Draw(t, "begun again") == 0 {
				turn.Input = []byte("another input")
				c.begin(client, turn)
			}
			c.end(client, program.EndTurn{Turn: turn.Turn, Complete: rapid.IntRange(0, 5).Draw(t, "complete") > 0, Output: []byte(fmt.Sprint("out", number))})
		}
		for i, client := range c.clients {
			checkConsistency(t, i, client)
		}
	})
}

// checkConsistency fails if the counts of a cache disagree, or if it is larger than its bound.
func checkConsistency(t *rapid.T, number int, c *prefixCache) {
	sum, listed := 0, 0
	for _, cached := range c.byTurn {
		sum += len(cached.text)
	}
	for _, cached := range c.byProgram {
		listed += len(cached)
	}
	if sum != c.bytes || c.bytes > c.maxBytes || listed != len(c.byTurn) || c.recent.Len() != len(c.byTurn) {
		t.Fatalf("client %d: chains of %d bytes, %d counted, at most %d allowed; %d chains by turn, %d by program, %d in the list of recent ones", number, sum, c.bytes, c.maxBytes, len(c.byTurn), listed, c.recent.Len())
	}
}

func TestPrefixCache_CachedChains_AreNotTransferred(t *testing.T) {
	const turns = 10
	rapid.Check(t, func(t *rapid.T) {
		c := &conversation{t: t, machine: program.New(), clients: []*prefixCache{newPrefixCache(1 << 20), newPrefixCache(1 << 20)}}
		alternate := rapid.Bool().Draw(t, "alternates between two clients")
		previous := ""
		for number := range turns {
			client := c.clients[0]
			if alternate {
				client = c.clients[number%2]
			}
			name := fmt.Sprint("t", number)
			c.begin(client, program.BeginTurn{Turn: name, Program: "p", Remembered: true, KeepForS: 60, Previous: previous, Input: bytes.Repeat([]byte("i"), 100)})
			c.end(client, program.EndTurn{Turn: name, Complete: true, Output: bytes.Repeat([]byte("o"), 100)})
			previous = name
		}
		switch {
		case !alternate && c.sent != 0:
			t.Fatalf("%d bytes were transferred through one client, want 0", c.sent)
		case alternate && c.sent != (turns-1)*200:
			t.Fatalf("%d bytes were transferred through alternating clients, want only those of the turn before", c.sent)
		}
	})
}

func TestPrefixCache_SeveralPrefixes_LongestIsOmitted(t *testing.T) {
	identify := func(text string) wire.CachedChain {
		return wire.CachedChain{Bytes: len(text), Digest: wire.DigestOf([]byte(text))}
	}
	result := program.Result{Verdict: program.Accepted, Chain: []byte("abcdef")}
	cases := map[string]struct {
		cached []wire.CachedChain
		want   wire.BeginTurnResponse
	}{
		"no cached prefix":               {nil, wire.BeginTurnResponse{Result: result}},
		"no matching prefix":             {[]wire.CachedChain{identify("abx"), identify("abcdefg")}, wire.BeginTurnResponse{Result: result}},
		"several matching prefixes":      {[]wire.CachedChain{identify("ab"), identify("abcd"), identify("abc")}, wire.BeginTurnResponse{Result: program.Result{Verdict: program.Accepted, Chain: []byte("ef")}, CachedIndex: 2}},
		"a negative length":              {[]wire.CachedChain{{Bytes: -1}}, wire.BeginTurnResponse{Result: result}},
		"more prefixes than the maximum": {[]wire.CachedChain{identify("x"), identify("x"), identify("x"), identify("x"), identify("ab")}, wire.BeginTurnResponse{Result: result}},
	}
	for label, test := range cases {
		if diff := cmp.Diff(test.want, wire.OmitCachedPrefix(result, test.cached)); diff != "" {
			t.Errorf("%s: %s", label, diff)
		}
	}
	if _, err := joinPrefix([][]byte{[]byte("a")}, wire.BeginTurnResponse{CachedIndex: 2}); !errors.Is(err, errPrefixNotCached) {
		t.Errorf("joining a prefix that is not cached: error %v, want errPrefixNotCached", err)
	}
}
