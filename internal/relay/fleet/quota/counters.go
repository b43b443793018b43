package quota

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"
)

// Tally is what one incarnation of a relay has counted since its start. It only grows, so that of two the larger is the newer, and to take
// one in twice changes nothing.
type Tally struct {
	Relay      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Counters   []byte `cbor:"3,keyasint,omitempty"` // see EncodeCounters
	Compacted  bool   `cbor:"4,keyasint,omitempty"` // the sum of all incarnations up to Generation, none of which counts any more
}

// MaxCounters is how many counters a relay has.
const MaxCounters = 160

// ErrCounters is returned for bytes that EncodeCounters can't have written.
var ErrCounters = errors.New("quota: malformed counters")

// EncodeCounters is counters as they go on the wire.
func EncodeCounters(n map[Key]uint64) []byte {
	b := make([]byte, 0, 7*len(n))
	for _, k := range slices.Sorted(maps.Keys(n)) {
		b = binary.AppendUvarint(binary.BigEndian.AppendUint32(b, uint32(k)), n[k])
	}
	return b
}

// DecodeCounters reads them.
func DecodeCounters(b []byte) (map[Key]uint64, error) {
	all := map[Key]uint64{}
	for len(b) > 0 {
		if len(b) < 5 || len(all) >= 4*MaxCounters {
			return nil, ErrCounters
		}
		v, n := binary.Uvarint(b[4:])
		if n <= 0 || v > 1<<53 {
			return nil, ErrCounters
		}
		all[Key(binary.BigEndian.Uint32(b))] = v
		b = b[4+n:]
	}
	return all, nil
}

// CounterTable is what a voter knows of all relays' counts. It is not safe for concurrent use.
type CounterTable struct {
	relays    map[string]*relayCounters
	nextRelay int
}

// relayCounters are one relay's: of each incarnation that may still count, and the sum of those that don't.
type relayCounters struct {
	incarnations  map[uint64]*incarnationCounters
	compacted     map[Key]uint64
	compactedUpTo uint64 // the newest generation in past
}

type incarnationCounters struct {
	counters  map[Key]uint64
	updatedAt time.Duration
}

// maxIncarnations are kept apart for a relay; older ones are summed up.
const maxIncarnations = 3

// NewCounterTable returns an empty table.
func NewCounterTable() *CounterTable { return &CounterTable{relays: map[string]*relayCounters{}} }

// Merge takes in a tally; order and repetition don't matter. A tally of an incarnation that is compacted already is ignored.
func (b *CounterTable) Merge(now time.Duration, t *Tally, most int) {
	n, err := DecodeCounters(t.Counters)
	if err != nil {
		return
	}
	a := b.relays[t.Relay]
	if a == nil {
		if len(b.relays) >= most {
			return
		}
		a = &relayCounters{incarnations: map[uint64]*incarnationCounters{}, compacted: map[Key]uint64{}}
		b.relays[t.Relay] = a
	}
	if t.Compacted {
		if t.Generation > a.compactedUpTo { // another voter has summed up more: what it has stands for all of it
			for g := range a.incarnations {
				if g <= t.Generation {
					delete(a.incarnations, g)
				}
			}
			a.compactedUpTo, a.compacted = t.Generation, n
		} else if t.Generation == a.compactedUpTo { // each may have missed the end of an incarnation
			for k, v := range n {
				a.compacted[k] = max(a.compacted[k], v)
			}
		}
		return
	}
	if t.Generation <= a.compactedUpTo {
		return
	}
	l := a.incarnations[t.Generation]
	if l == nil {
		l = &incarnationCounters{counters: map[Key]uint64{}}
		a.incarnations[t.Generation] = l
	}
	l.updatedAt = now
	for k, v := range n { // counters only grow: whatever says less is older, or not true
		l.counters[k] = max(l.counters[k], v)
	}
	gens := slices.Sorted(maps.Keys(a.incarnations))
	for len(gens) > maxIncarnations {
		for k, v := range a.incarnations[gens[0]].counters {
			a.compacted[k] += v
		}
		a.compactedUpTo = gens[0]
		delete(a.incarnations, gens[0])
		gens = gens[1:]
	}
}

// NextTallies is what one voter tells another this time: a few relays' tallies, in turn.
func (b *CounterTable) NextTallies(most int) (all []Tally) {
	names := slices.Sorted(maps.Keys(b.relays))
	for range min(most, len(names)) {
		b.nextRelay++
		name := names[b.nextRelay%len(names)]
		a := b.relays[name]
		if a.compactedUpTo > 0 {
			all = append(all, Tally{name, a.compactedUpTo, EncodeCounters(a.compacted), true})
		}
		for _, g := range slices.Sorted(maps.Keys(a.incarnations)) {
			all = append(all, Tally{name, g, EncodeCounters(a.incarnations[g].counters), false})
		}
	}
	return all
}

// Totals is what a fleet has counted.
type Totals struct {
	Counters     []byte        `cbor:"1,keyasint,omitempty"` // see EncodeCounters
	Relays       int           `cbor:"2,keyasint"`           // that have ever counted
	Incarnations int           `cbor:"3,keyasint"`           // not compacted yet
	SilentFor    time.Duration `cbor:"4,keyasint"`           // since the last tally of the relay not heard from for the longest
	Silent       string        `cbor:"5,keyasint,omitempty"` // the name of that relay
}

// Totals adds up what all relays have counted.
func (b *CounterTable) Totals(now time.Duration) *Totals {
	s, sum := &Totals{Relays: len(b.relays)}, map[Key]uint64{}
	for _, name := range slices.Sorted(maps.Keys(b.relays)) {
		a := b.relays[name]
		for k, v := range a.compacted {
			sum[k] += v
		}
		newest := uint64(0)
		for g, l := range a.incarnations {
			s.Incarnations++
			newest = max(newest, g)
			for k, v := range l.counters {
				sum[k] += v
			}
		}
		if l := a.incarnations[newest]; l != nil && now-l.updatedAt > s.SilentFor {
			s.SilentFor, s.Silent = now-l.updatedAt, name
		}
	}
	s.Counters = EncodeCounters(sum)
	return s
}
