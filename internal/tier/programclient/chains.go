package programclient

import (
	"container/list"
	"errors"
	"slices"
	"sync"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wire"
)

// maxChainsPerProgram bounds the chains of a program that are kept. Most lines of turns come in through one proxy, some through
// two by turns, and those of sub-agents, which run at the same time, begin with their parent's.
const maxChainsPerProgram = 8

// cache keeps what the newest turns of programs have said that went through this process, so that it needn't come from the
// stores again: a chain grows with each turn, and would travel whole each time. Nothing is taken from here unless the owner of
// the shard has shown by its sum that the chain begins so. The chains that weren't used for the longest time go first.
type prefixCache struct {
	mutex     sync.Mutex
	maxBytes  int // bytes
	bytes     int
	recent    *list.List // of *chain, the newest first
	byTurn    map[string]*cachedChain
	byProgram map[string][]*cachedChain // the newest last
}

// cachedChain is what was said up to the end of a turn, or up to its input while it is under way.
type cachedChain struct {
	turn     string
	program  string
	text     []byte // never changed
	complete bool   // the turn has ended whole: others may go on from it
	element  *list.Element
}

func newPrefixCache(bound int) *prefixCache {
	return &prefixCache{maxBytes: bound, recent: list.New(), byTurn: map[string]*cachedChain{}, byProgram: map[string][]*cachedChain{}}
}

// prefixes lists the texts with which the chain of a turn may begin: that of the turn before, or else those of its program's
// newest turns.
func (c *prefixCache) prefixes(turn *program.BeginTurn) [][]byte {
	if !turn.Remembered || turn.Previous == "" {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if before := c.byTurn[turn.Previous]; before != nil && before.complete {
		c.recent.MoveToFront(before.element)
		return [][]byte{before.text}
	}
	var texts [][]byte
	for _, other := range slices.Backward(c.byProgram[turn.Program]) {
		if other.complete && len(texts) < wire.MaxCachedChains {
			texts = append(texts, other.text)
		}
	}
	return texts
}

// addBegun notes a turn that was taken.
func (c *prefixCache) addBegun(turn *program.BeginTurn, before []byte) {
	if !turn.Remembered || turn.Program == "" {
		return
	}
	text := make([]byte, 0, len(before)+len(turn.Input))
	text = append(append(text, before...), turn.Input...)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evict(c.byTurn[turn.Turn])
	c.add(&cachedChain{turn: turn.Turn, program: turn.Program, text: text})
}

// addEnded notes the end of a turn, as its owner has taken it.
func (c *prefixCache) addEnded(turn *program.EndTurn, verdict program.Verdict) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.byTurn[turn.Turn]
	if known == nil || known.complete {
		return
	}
	c.evict(known)
	if !turn.Complete || verdict != program.Accepted {
		return
	}
	text := make([]byte, 0, len(known.text)+len(turn.Output))
	known.text = append(append(text, known.text...), turn.Output...)
	known.complete = true
	c.add(known)
}

// add keeps a chain, and drops what is over the bounds.
func (c *prefixCache) add(added *cachedChain) {
	added.element = c.recent.PushFront(added)
	c.byTurn[added.turn] = added
	c.byProgram[added.program] = append(c.byProgram[added.program], added)
	c.bytes += len(added.text)
	if kept := c.byProgram[added.program]; len(kept) > maxChainsPerProgram {
		c.evict(kept[0])
	}
	for c.bytes > c.maxBytes {
		c.evict(c.recent.Back().Value.(*cachedChain))
	}
}

// evict lets a chain go; nil: there is none.
func (c *prefixCache) evict(gone *cachedChain) {
	if gone == nil {
		return
	}
	c.recent.Remove(gone.element)
	delete(c.byTurn, gone.turn)
	c.bytes -= len(gone.text)
	kept := c.byProgram[gone.program]
	if at := slices.Index(kept, gone); at >= 0 {
		kept = slices.Delete(kept, at, at+1)
	}
	c.byProgram[gone.program] = kept
	if len(kept) == 0 {
		delete(c.byProgram, gone.program)
	}
}

// cachedChainsOf names texts to the owner of a shard.
func cachedChainsOf(texts [][]byte) []wire.CachedChain {
	var names []wire.CachedChain
	for _, text := range texts {
		names = append(names, wire.CachedChain{Bytes: len(text), Digest: wire.DigestOf(text)})
	}
	return names
}

var errPrefixNotCached = errors.New("the store left out a beginning of a chain that isn't held here")

// joinPrefix returns the whole chain of a turn of which a beginning that is held was left out.
func joinPrefix(held [][]byte, begun wire.BeginTurnResponse) ([]byte, error) {
	if begun.CachedIndex == 0 {
		return begun.Chain, nil
	}
	if begun.CachedIndex > len(held) {
		return nil, errPrefixNotCached
	}
	beginning := held[begun.CachedIndex-1]
	whole := make([]byte, 0, len(beginning)+len(begun.Chain))
	return append(append(whole, beginning...), begun.Chain...), nil
}
