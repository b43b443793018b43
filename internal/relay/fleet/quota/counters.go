package quota

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"
)

// Tally has the counters of one incarnation of a relay since its start. Counters only grow, so that the larger of two values is the newer
// one, and merging a tally twice has no effect.
type Tally struct {
	Relay      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`           // of the incarnation
	Counters   []byte `cbor:"3,keyasint,omitempty"` // see EncodeCounters
	Compacted  bool   `cbor:"4,keyasint,omitempty"` // Counters has the sums of all incarnations up to Generation, which have ended
}

// MaxCounters is the maximum number of counters of a relay.
const MaxCounters = 160

// ErrCounters is returned for bytes that are not an output of EncodeCounters.
var ErrCounters = errors.New("quota: malformed counters")

// EncodeCounters encodes counters for the wire, sorted by key.
func EncodeCounters(counters map[Key]uint64) []byte {
	encoded := make([]byte, 0, 7*len(counters))
	for _, key := range slices.Sorted(maps.Keys(counters)) {
		encoded = binary.AppendUvarint(binary.BigEndian.AppendUint32(encoded, uint32(key)), counters[key])
	}
	return encoded
}

// DecodeCounters decodes the output of EncodeCounters. It returns ErrCounters for other bytes.
func DecodeCounters(encoded []byte) (map[Key]uint64, error) {
	counters := map[Key]uint64{}
	for len(encoded) > 0 {
		if len(encoded) < 5 || len(counters) >= 4*MaxCounters {
			return nil, ErrCounters
		}
		count, size := binary.Uvarint(encoded[4:])
		if size <= 0 || count > 1<<53 {
			return nil, ErrCounters
		}
		counters[Key(binary.BigEndian.Uint32(encoded))] = count
		encoded = encoded[4+size:]
	}
	return counters, nil
}

// CounterTable has all relays' counters at a voter. It is not safe for concurrent use: the voter's node.Node owns it.
type CounterTable struct {
	relays    map[string]*relayCounters // by name
	nextRelay int                       // counter for the round robin of NextTallies
}

// relayCounters has the counters of one relay: those of its newest incarnations, and the sums of the incarnations before.
type relayCounters struct {
	incarnations  map[uint64]*incarnationCounters
	compacted     map[Key]uint64
	compactedUpTo uint64 // newest generation in compacted; 0: none
}

// incarnationCounters has the counters of one incarnation.
type incarnationCounters struct {
	counters  map[Key]uint64
	updatedAt time.Duration // when its last tally was received
}

// maxIncarnations is the maximum number of incarnations per relay with separate counters; older ones are compacted.
const maxIncarnations = 3

// NewCounterTable returns an empty table.
func NewCounterTable() *CounterTable { return &CounterTable{relays: map[string]*relayCounters{}} }

// Merge merges a tally into the table; the order and repetition of tallies don't matter. It ignores a tally of a compacted incarnation, one
// that can't be decoded, and one of a new relay if the table already has maxRelays.
func (b *CounterTable) Merge(now time.Duration, t *Tally, maxRelays int) {
	counters, err := DecodeCounters(t.Counters)
	if err != nil {
		return
	}
	relay := b.relays[t.Relay]
	if relay == nil {
		if len(b.relays) >= maxRelays {
			return
		}
		relay = &relayCounters{incarnations: map[uint64]*incarnationCounters{}, compacted: map[Key]uint64{}}
		b.relays[t.Relay] = relay
	}
	if t.Compacted {
		relay.mergeCompacted(t.Generation, counters)
		return
	}
	if t.Generation <= relay.compactedUpTo {
		return
	}
	relay.mergeIncarnation(now, t.Generation, counters)
	relay.compact()
}

// mergeCompacted merges the sums of all incarnations up to a generation.
func (r *relayCounters) mergeCompacted(generation uint64, counters map[Key]uint64) {
	if generation < r.compactedUpTo {
		return
	}
	if generation == r.compactedUpTo { // either voter may have missed the last tallies of an incarnation
		for key, count := range counters {
			r.compacted[key] = max(r.compacted[key], count)
		}
		return
	}
	for known := range r.incarnations { // another voter has compacted more incarnations: its sums replace these
		if known <= generation {
			delete(r.incarnations, known)
		}
	}
	r.compactedUpTo, r.compacted = generation, counters
}

// mergeIncarnation merges the counters of one incarnation.
func (r *relayCounters) mergeIncarnation(now time.Duration, generation uint64, counters map[Key]uint64) {
	incarnation := r.incarnations[generation]
	if incarnation == nil {
		incarnation = &incarnationCounters{counters: map[Key]uint64{}}
		r.incarnations[generation] = incarnation
	}
	incarnation.updatedAt = now
	for key, count := range counters { // counters only grow: a smaller value is older, or wrong
		incarnation.counters[key] = max(incarnation.counters[key], count)
	}
}

// compact adds the oldest incarnations beyond maxIncarnations to the sums.
func (r *relayCounters) compact() {
	generations := slices.Sorted(maps.Keys(r.incarnations))
	for len(generations) > maxIncarnations {
		oldest := generations[0]
		for key, count := range r.incarnations[oldest].counters {
			r.compacted[key] += count
		}
		r.compactedUpTo = oldest
		delete(r.incarnations, oldest)
		generations = generations[1:]
	}
}

// NextTallies returns the tallies of the next maxRelays relays, in round robin, to be sent to another voter.
func (b *CounterTable) NextTallies(maxRelays int) (all []Tally) {
	names := slices.Sorted(maps.Keys(b.relays))
	for range min(maxRelays, len(names)) {
		b.nextRelay++
		name := names[b.nextRelay%len(names)]
		relay := b.relays[name]
		if relay.compactedUpTo > 0 {
			all = append(all, Tally{name, relay.compactedUpTo, EncodeCounters(relay.compacted), true})
		}
		for _, generation := range slices.Sorted(maps.Keys(relay.incarnations)) {
			all = append(all, Tally{name, generation, EncodeCounters(relay.incarnations[generation].counters), false})
		}
	}
	return all
}

// Totals has the sums of all relays' counters.
type Totals struct {
	Counters     []byte        `cbor:"1,keyasint,omitempty"` // see EncodeCounters
	Relays       int           `cbor:"2,keyasint"`           // number of relays with a tally
	Incarnations int           `cbor:"3,keyasint"`           // number of incarnations that are not compacted
	SilentFor    time.Duration `cbor:"4,keyasint"`           // longest time since the last tally of any relay
	Silent       string        `cbor:"5,keyasint,omitempty"` // name of that relay
}

// Totals returns the sums of all relays' counters.
func (b *CounterTable) Totals(now time.Duration) *Totals {
	totals, sum := &Totals{Relays: len(b.relays)}, map[Key]uint64{}
	for _, name := range slices.Sorted(maps.Keys(b.relays)) {
		relay := b.relays[name]
		for key, count := range relay.compacted {
			sum[key] += count
		}
		newest := uint64(0)
		for generation, incarnation := range relay.incarnations {
			totals.Incarnations++
			newest = max(newest, generation)
			for key, count := range incarnation.counters {
				sum[key] += count
			}
		}
		if incarnation := relay.incarnations[newest]; incarnation != nil && now-incarnation.updatedAt > totals.SilentFor {
			totals.SilentFor, totals.Silent = now-incarnation.updatedAt, name
		}
	}
	totals.Counters = EncodeCounters(sum)
	return totals
}
