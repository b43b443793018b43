package programclient

import (
	"container/list"
	"errors"
	"slices"
	"sync"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wire"
)

// mostOfProgram bounds the chains of a program that are kept. Most lines of turns come in through one proxy, some through
// two by turns, and those of sub-agents, which run at the same time, begin with their parent's.
const mostOfProgram = 8

// chains keeps what the newest turns of programs have said that went through this process, so that it needn't come from the
// stores again: a chain grows with each turn, and would travel whole each time. Nothing is taken from here unless the owner of
// the shard has shown by its sum that the chain begins so. The chains that weren't used for the longest time go first.
type chains struct {
	mutex     sync.Mutex
	bound     int // bytes
	bytes     int
	recent    *list.List // of *chain, the newest first
	byTurn    map[string]*chain
	byProgram map[string][]*chain // the newest last
}

// chain is what was said up to the end of a turn, or up to its input while it is under way.
type chain struct {
	turn    string
	program string
	text    []byte // never changed
	whole   bool   // the turn has ended whole: others may go on from it
	place   *list.Element
}

func newChains(bound int) *chains {
	return &chains{bound: bound, recent: list.New(), byTurn: map[string]*chain{}, byProgram: map[string][]*chain{}}
}

// beginnings lists the texts with which the chain of a turn may begin: that of the turn before, or else those of its program's
// newest turns.
func (c *chains) beginnings(turn *program.BeginTurn) [][]byte {
	if !turn.Remembered || turn.Previous == "" {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if before := c.byTurn[turn.Previous]; before != nil && before.whole {
		c.recent.MoveToFront(before.place)
		return [][]byte{before.text}
	}
	var texts [][]byte
	for _, other := range slices.Backward(c.byProgram[turn.Program]) {
		if other.whole && len(texts) < wire.MaxCachedChains {
			texts = append(texts, other.text)
		}
	}
	return texts
}

// begun notes a turn that was taken.
func (c *chains) begun(turn *program.BeginTurn, before []byte) {
	if !turn.Remembered || turn.Program == "" {
		return
	}
	text := make([]byte, 0, len(before)+len(turn.Input))
	text = append(append(text, before...), turn.Input...)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drop(c.byTurn[turn.Turn])
	c.add(&chain{turn: turn.Turn, program: turn.Program, text: text})
}

// ended notes the end of a turn, as its owner has taken it.
func (c *chains) ended(turn *program.EndTurn, verdict program.Verdict) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.byTurn[turn.Turn]
	if known == nil || known.whole {
		return
	}
	c.drop(known)
	if !turn.Complete || verdict != program.Accepted {
		return
	}
	text := make([]byte, 0, len(known.text)+len(turn.Output))
	known.text = append(append(text, known.text...), turn.Output...)
	known.whole = true
	c.add(known)
}

// add keeps a chain, and drops what is over the bounds.
func (c *chains) add(added *chain) {
	added.place = c.recent.PushFront(added)
	c.byTurn[added.turn] = added
	c.byProgram[added.program] = append(c.byProgram[added.program], added)
	c.bytes += len(added.text)
	if kept := c.byProgram[added.program]; len(kept) > mostOfProgram {
		c.drop(kept[0])
	}
	for c.bytes > c.bound {
		c.drop(c.recent.Back().Value.(*chain))
	}
}

// drop lets a chain go; nil: there is none.
func (c *chains) drop(gone *chain) {
	if gone == nil {
		return
	}
	c.recent.Remove(gone.place)
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

// namesOf names texts to the owner of a shard.
func namesOf(texts [][]byte) []wire.CachedChain {
	var names []wire.CachedChain
	for _, text := range texts {
		names = append(names, wire.CachedChain{Bytes: len(text), Digest: wire.DigestOf(text)})
	}
	return names
}

var errNotHeld = errors.New("the store left out a beginning of a chain that isn't held here")

// joined returns the whole chain of a turn of which a beginning that is held was left out.
func joined(held [][]byte, begun wire.BeginTurnResponse) ([]byte, error) {
	if begun.CachedIndex == 0 {
		return begun.Chain, nil
	}
	if begun.CachedIndex > len(held) {
		return nil, errNotHeld
	}
	beginning := held[begun.CachedIndex-1]
	whole := make([]byte, 0, len(beginning)+len(begun.Chain))
	return append(append(whole, beginning...), begun.Chain...), nil
}
