package quota

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"
)

// Tally is what one life of a relay has counted since its start. It only grows, so that of two the larger is the newer, and to take
// one in twice changes nothing.
type Tally struct {
	Relay string `cbor:"1,keyasint"`
	Gen   uint64 `cbor:"2,keyasint"`
	N     []byte `cbor:"3,keyasint,omitempty"` // see PackCounts
	Past  bool   `cbor:"4,keyasint,omitempty"` // the sum of all lives up to Gen, none of which counts any more
}

// MostCounts is how many counters a relay has.
const MostCounts = 160

var errCounts = errors.New("share: a tally that no relay has written")

// PackCounts is counters as they go on the wire.
func PackCounts(n map[Key]uint64) []byte {
	b := make([]byte, 0, 7*len(n))
	for _, k := range slices.Sorted(maps.Keys(n)) {
		b = binary.AppendUvarint(binary.BigEndian.AppendUint32(b, uint32(k)), n[k])
	}
	return b
}

// UnpackCounts reads them.
func UnpackCounts(b []byte) (map[Key]uint64, error) {
	all := map[Key]uint64{}
	for len(b) > 0 {
		if len(b) < 5 || len(all) >= 4*MostCounts {
			return nil, errCounts
		}
		v, n := binary.Uvarint(b[4:])
		if n <= 0 || v > 1<<53 {
			return nil, errCounts
		}
		all[Key(binary.BigEndian.Uint32(b))] = v
		b = b[4+n:]
	}
	return all, nil
}

// Book is what a voter knows of all relays' counts. It is not safe for concurrent use.
type Book struct {
	relays map[string]*account
	turn   int
}

// account is one relay's: its lives that may still count, and the sum of those that don't.
type account struct {
	lives map[uint64]*tally
	past  map[Key]uint64
	until uint64 // the newest generation in past
}

type tally struct {
	n  map[Key]uint64
	at time.Duration
}

// mostLives are kept apart for a relay; older ones are summed up.
const mostLives = 3

// NewBook returns an empty book.
func NewBook() *Book { return &Book{relays: map[string]*account{}} }

// Take takes a tally in, in whatever order they come and how often. One of a life that has been summed up is too late.
func (b *Book) Take(now time.Duration, t *Tally, most int) {
	n, err := UnpackCounts(t.N)
	if err != nil {
		return
	}
	a := b.relays[t.Relay]
	if a == nil {
		if len(b.relays) >= most {
			return
		}
		a = &account{lives: map[uint64]*tally{}, past: map[Key]uint64{}}
		b.relays[t.Relay] = a
	}
	if t.Past {
		if t.Gen > a.until { // another voter has summed up more: what it has stands for all of it
			for g := range a.lives {
				if g <= t.Gen {
					delete(a.lives, g)
				}
			}
			a.until, a.past = t.Gen, n
		} else if t.Gen == a.until { // each may have missed the end of a life
			for k, v := range n {
				a.past[k] = max(a.past[k], v)
			}
		}
		return
	}
	if t.Gen <= a.until {
		return
	}
	l := a.lives[t.Gen]
	if l == nil {
		l = &tally{n: map[Key]uint64{}}
		a.lives[t.Gen] = l
	}
	l.at = now
	for k, v := range n { // counters only grow: whatever says less is older, or not true
		l.n[k] = max(l.n[k], v)
	}
	gens := slices.Sorted(maps.Keys(a.lives))
	for len(gens) > mostLives {
		for k, v := range a.lives[gens[0]].n {
			a.past[k] += v
		}
		a.until = gens[0]
		delete(a.lives, gens[0])
		gens = gens[1:]
	}
}

// Say is what one voter tells another this time: a few relays' accounts, in turn.
func (b *Book) Say(most int) (all []Tally) {
	names := slices.Sorted(maps.Keys(b.relays))
	for range min(most, len(names)) {
		b.turn++
		name := names[b.turn%len(names)]
		a := b.relays[name]
		if a.until > 0 {
			all = append(all, Tally{name, a.until, PackCounts(a.past), true})
		}
		for _, g := range slices.Sorted(maps.Keys(a.lives)) {
			all = append(all, Tally{name, g, PackCounts(a.lives[g].n), false})
		}
	}
	return all
}

// Sums is what a fleet has counted.
type Sums struct {
	N      []byte        `cbor:"1,keyasint,omitempty"` // see PackCounts
	Relays int           `cbor:"2,keyasint"`           // that have ever counted
	Lives  int           `cbor:"3,keyasint"`           // that are known by their own word
	Oldest time.Duration `cbor:"4,keyasint"`           // since the last word of the newest life that has been silent the longest
	Silent string        `cbor:"5,keyasint,omitempty"` // that one
}

// Sums adds all up.
func (b *Book) Sums(now time.Duration) *Sums {
	s, sum := &Sums{Relays: len(b.relays)}, map[Key]uint64{}
	for _, name := range slices.Sorted(maps.Keys(b.relays)) {
		a := b.relays[name]
		for k, v := range a.past {
			sum[k] += v
		}
		newest := uint64(0)
		for g, l := range a.lives {
			s.Lives++
			newest = max(newest, g)
			for k, v := range l.n {
				sum[k] += v
			}
		}
		if l := a.lives[newest]; l != nil && now-l.at > s.Oldest {
			s.Oldest, s.Silent = now-l.at, name
		}
	}
	s.N = PackCounts(sum)
	return s
}
