package programclient

import (
	"container/list"
	"errors"
	"slices"
	"sync"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wire"
)

// maxChainsPerProgram bounds the chains cached for a program. Most conversations go through one proxy, some alternate between
// two. Those of subagents run concurrently and start with their parent's chain.
const maxChainsPerProgram = 8

// prefixCache caches the chains of the latest turns that went through this process, and evicts the least recently used ones.
// Without it, the whole chain, which grows with each turn, would be transferred each time. A cached chain is used only if the
// shard's leader has confirmed, by its digest, that it is a prefix of the turn's chain. It is safe for concurrent use.
type prefixCache struct {
	maxBytes int

	mutex     sync.Mutex // guards the fields below
	bytes     int
	recent    *list.List // of *cachedChain, the most recently used first
	byTurn    map[string]*cachedChain
	byProgram map[string][]*cachedChain // in the order in which they were added
}

// cachedChain is the chain up to a turn's output, or up to its input while the turn is in flight.
type cachedChain struct {
	turn     string
	program  string
	text     []byte // must not be modified in place
	complete bool   // the turn has ended with a complete output, so that others may continue it
	element  *list.Element
}

func newPrefixCache(maxBytes int) *prefixCache {
	return &prefixCache{maxBytes: maxBytes, recent: list.New(), byTurn: map[string]*cachedChain{}, byProgram: map[string][]*cachedChain{}}
}

// prefixes returns cached chains that a turn's chain may start with: that of the turn that it continues, or if that isn't
// cached, those of its program's latest turns.
func (c *prefixCache) prefixes(turn *program.BeginTurn) [][]byte {
	if !turn.Remembered || turn.Previous == "" {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if previous := c.byTurn[turn.Previous]; previous != nil && previous.complete {
		c.recent.MoveToFront(previous.element)
		return [][]byte{previous.text}
	}
	var texts [][]byte
	for _, other := range slices.Backward(c.byProgram[turn.Program]) {
		if other.complete && len(texts) < wire.MaxCachedChains {
			texts = append(texts, other.text)
		}
	}
	return texts
}

// addBegun caches the chain of an accepted turn up to its input. If the turn is cached already, the entry is replaced, since the
// input may differ.
func (c *prefixCache) addBegun(turn *program.BeginTurn, chain []byte) {
	if !turn.Remembered || turn.Program == "" || len(chain)+len(turn.Input) > c.maxBytes {
		return
	}
	text := make([]byte, 0, len(chain)+len(turn.Input))
	text = append(append(text, chain...), turn.Input...)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evict(c.byTurn[turn.Turn])
	c.add(&cachedChain{turn: turn.Turn, program: turn.Program, text: text})
}

// addEnded appends a turn's output to its cached chain, or evicts the chain if the turn can't be continued.
func (c *prefixCache) addEnded(turn *program.EndTurn, verdict program.Verdict) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.byTurn[turn.Turn]
	if known == nil || known.complete {
		return
	}
	c.evict(known)
	if !turn.Complete || verdict != program.Accepted || len(known.text)+len(turn.Output) > c.maxBytes {
		return
	}
	text := make([]byte, 0, len(known.text)+len(turn.Output))
	known.text = append(append(text, known.text...), turn.Output...)
	known.complete = true
	c.add(known)
}

// add inserts a chain, and evicts others until the bounds are met.
func (c *prefixCache) add(added *cachedChain) {
	added.element = c.recent.PushFront(added)
	c.byTurn[added.turn] = added
	c.byProgram[added.program] = append(c.byProgram[added.program], added)
	c.bytes += len(added.text)
	if cached := c.byProgram[added.program]; len(cached) > maxChainsPerProgram {
		c.evict(cached[0])
	}
	for c.bytes > c.maxBytes {
		c.evict(c.recent.Back().Value.(*cachedChain))
	}
}

// evict removes a chain; nil is ignored.
func (c *prefixCache) evict(evicted *cachedChain) {
	if evicted == nil {
		return
	}
	c.recent.Remove(evicted.element)
	delete(c.byTurn, evicted.turn)
	c.bytes -= len(evicted.text)
	cached := c.byProgram[evicted.program]
	if at := slices.Index(cached, evicted); at >= 0 {
		cached = slices.Delete(cached, at, at+1)
	}
	c.byProgram[evicted.program] = cached
	if len(cached) == 0 {
		delete(c.byProgram, evicted.program)
	}
}

// digestsOf returns the lengths and digests by which a shard's leader recognises cached chains.
func digestsOf(texts [][]byte) []wire.CachedChain {
	var digests []wire.CachedChain
	for _, text := range texts {
		digests = append(digests, wire.CachedChain{Bytes: len(text), Digest: wire.DigestOf(text)})
	}
	return digests
}

// errPrefixNotCached is returned if a store omitted a prefix that the request didn't list. Only a faulty store does so.
var errPrefixNotCached = errors.New("store omitted a cached prefix whose index is not in the request's list")

// joinPrefix returns the whole chain of a response, with the cached prefix that the store omitted, if any.
func joinPrefix(cached [][]byte, response wire.BeginTurnResponse) ([]byte, error) {
	if response.CachedIndex == 0 {
		return response.Chain, nil
	}
	if response.CachedIndex > len(cached) {
		return nil, errPrefixNotCached
	}
	prefix := cached[response.CachedIndex-1]
	chain := make([]byte, 0, len(prefix)+len(response.Chain))
	return append(append(chain, prefix...), response.Chain...), nil
}
