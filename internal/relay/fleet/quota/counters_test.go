package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCounterTable_TalliesInAnyOrder_NeverCountTwice: with tallies that are lost, late, duplicated or reordered, no voter's sum exceeds
// what the relays have counted.
func TestCounterTable_TalliesInAnyOrder_NeverCountTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		tables := []*CounterTable{NewCounterTable(), NewCounterTable(), NewCounterTable()}
		type incarnation struct {
			relay string
			gen   uint64
		}
		truth := map[incarnation]uint64{}
		generations := map[string]uint64{"a": 1, "b": 1}
		var inFlight []Tally // sent; they may arrive late, repeatedly or never
		names := []string{"a", "b"}
		total := func() (sum uint64) {
			for _, v := range truth {
				sum += v
			}
			return sum
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			name := names[random.IntN(2)]
			current := incarnation{name, generations[name]}
			switch random.IntN(8) {
			case 0: // the relay restarts after its last tally has reached a voter
				tables[random.IntN(3)].Merge(0, &Tally{current.relay, current.gen, EncodeCounters(map[Key]uint64{1: truth[current]}), false}, 10)
				generations[name]++
			case 1, 2, 3:
				truth[current] += uint64(random.IntN(5))
				inFlight = append(inFlight, Tally{current.relay, current.gen, EncodeCounters(map[Key]uint64{1: truth[current]}), false})
			case 4, 5:
				if len(inFlight) > 0 {
					t := inFlight[random.IntN(len(inFlight))]
					tables[random.IntN(3)].Merge(time.Second, &t, 10)
				}
			default: // a voter sends its tallies to another
				to := tables[random.IntN(3)]
				for _, x := range tables[random.IntN(3)].NextTallies(10) {
					to.Merge(time.Second, &x, 10)
				}
			}
			for i, b := range tables {
				n, err := DecodeCounters(b.Totals(0).Counters)
				if err != nil || n[1] > total() {
					t.Fatalf("voter %d has a sum of %d, want at most %d: %v", i, n[1], total(), err)
				}
			}
		}
	})
}

// TestCounterTable_VotersExchangeTallies_Agree: voters with different tallies agree after exchanging them, and the number of incarnations
// in the table stays bounded for a relay that restarts often.
func TestCounterTable_VotersExchangeTallies_Agree(t *testing.T) {
	first, second := NewCounterTable(), NewCounterTable()
	want := uint64(0)
	for generation := uint64(1); generation <= 40; generation++ {
		for n := uint64(1); n <= 5; n++ {
			to := first
			if n%2 == 0 {
				to = second
			}
			to.Merge(time.Second, &Tally{"r", generation, EncodeCounters(map[Key]uint64{7: n}), false}, 10)
		}
		want += 5
		for range 2 {
			for _, x := range first.NextTallies(4) {
				second.Merge(time.Second, &x, 10)
			}
			for _, x := range second.NextTallies(4) {
				first.Merge(time.Second, &x, 10)
			}
		}
	}
	for _, table := range []*CounterTable{first, second} {
		s := table.Totals(3 * time.Second)
		n, err := DecodeCounters(s.Counters)
		if err != nil || n[7] != want || s.Incarnations > maxIncarnations || s.SilentFor != 2*time.Second || s.Silent != "r" {
			t.Errorf("sum %d, want %d; totals %+v, %v", n[7], want, s, err)
		}
	}
	if _, err := DecodeCounters([]byte{1, 2, 3}); err == nil {
		t.Error("a truncated tally is accepted")
	}
	first.Merge(0, &Tally{Relay: "stranger", Generation: 1}, 1)
	if s := first.Totals(0); s.Relays != 1 {
		t.Error("a tally of a new relay was merged into a table with the maximum of relays")
	}
}
