package quota

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"
)

// Tally is what one incarnation of a relay has counted since its start. It only grows, so that of two the larger is the newer, and merging
// one twice changes nothing.
type Tally struct {
	Relay      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`           // of the incarnation: counts the relay's starts
	Counters   []byte `cbor:"3,keyasint,omitempty"` // see EncodeCounters
	Compacted  bool   `cbor:"4,keyasint,omitempty"` // Counters are the sum of all incarnations up to Generation, which has ended
}

// MaxCounters is how many counters a relay has.
const MaxCounters = 160

// ErrCounters is returned for bytes that EncodeCounters can't have written.
var ErrCounters = errors.New("quota: malformed counters")

// EncodeCounters encodes counters for the wire, in the order of their keys.
func EncodeCounters(counters map[Key]uint64) []byte {
	encoded := make([]byte, 0, 7*len(counters))
	for _, key := range slices.Sorted(maps.Keys(counters)) {
		encoded = binary.AppendUvarint(binary.BigEndian.AppendUint32(encoded, uint32(key)), counters[key])
	}
	return encoded
}

// DecodeCounters decodes what EncodeCounters wrote; it returns ErrCounters for anything else.
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

// CounterTable is what a voter knows of all relays' counts. It is not safe for concurrent use: the voter's node.Node owns it.
type CounterTable struct {
	relays    map[string]*relayCounters // by name
	nextRelay int                       // whose turn it is in NextTallies
}

// relayCounters are one relay's counts: of its newest incarnations, and the sum of those before them.
type relayCounters struct {
	incarnations  map[uint64]*incarnationCounters
	compacted     map[Key]uint64
	compactedUpTo uint64 // the newest generation in compacted; 0: none
}

// incarnationCounters are the counts of one incarnation.
type incarnationCounters struct {
	counters  map[Key]uint64
	updatedAt time.Duration // when a tally of it came last
}

// maxIncarnations is how many incarnations of a relay are counted separately; older ones are compacted.
const maxIncarnations = 3

// NewCounterTable returns an empty table.
func NewCounterTable() *CounterTable { return &CounterTable{relays: map[string]*relayCounters{}} }

// Merge takes in a tally; order and repetition don't matter. Ignored are a tally of an incarnation that is compacted already, one that can't
// be decoded, and one of a new relay where the table has maxRelays.
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

// mergeCompacted takes in the sum of all incarnations up to a generation.
func (r *relayCounters) mergeCompacted(generation uint64, counters map[Key]uint64) {
	if generation < r.compactedUpTo {
		return
	}
	if generation == r.compactedUpTo { // each voter may have missed the end of an incarnation
		for key, count := range counters {
			r.compacted[key] = max(r.compacted[key], count)
		}
		return
	}
	for known := range r.incarnations { // another voter has compacted more: its sum replaces all of that
		if known <= generation {
			delete(r.incarnations, known)
		}
	}
	r.compactedUpTo, r.compacted = generation, counters
}

// mergeIncarnation takes in what one incarnation has counted.
func (r *relayCounters) mergeIncarnation(now time.Duration, generation uint64, counters map[Key]uint64) {
	incarnation := r.incarnations[generation]
	if incarnation == nil {
		incarnation = &incarnationCounters{counters: map[Key]uint64{}}
		r.incarnations[generation] = incarnation
	}
	incarnation.updatedAt = now
	for key, count := range counters { // counters only grow: a smaller count is older, or not true
		incarnation.counters[key] = max(incarnation.counters[key], count)
	}
}

// compact sums up the oldest incarnations beyond maxIncarnations.
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

// NextTallies returns what one voter sends to another this time: the tallies of maxRelays relays, in turn.
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

// Totals is what a fleet has counted.
type Totals struct {
	Counters     []byte        `cbor:"1,keyasint,omitempty"` // see EncodeCounters
	Relays       int           `cbor:"2,keyasint"`           // that have ever counted
	Incarnations int           `cbor:"3,keyasint"`           // not compacted yet
	SilentFor    time.Duration `cbor:"4,keyasint"`           // since the last tally of the relay not heard from for the longest
	Silent       string        `cbor:"5,keyasint,omitempty"` // the name of that relay
}

// Totals returns the sums of what all relays have counted.
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
