package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCounterTable_TalliesInAnyOrder_NeverCountTwice: whatever tallies come, in whatever order, twice, late or not at all, a sum never counts an incarnation twice and never more than
// was counted; when the newest of each incarnation has come to any of the voters and they have talked, all say the same, exactly.
func TestCounterTable_TalliesInAnyOrder_NeverCountTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		tables := []*CounterTable{NewCounterTable(), NewCounterTable(), NewCounterTable()}
		type incarnation struct {
			relay string
			gen   uint64
		}
		truth := map[incarnation]uint64{}
		gens := map[string]uint64{"a": 1, "b": 1}
		var way []Tally // sent, perhaps lost or late
		names := []string{"a", "b"}
		total := func() (sum uint64) {
			for _, v := range truth {
				sum += v
			}
			return sum
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			name := names[d.IntN(2)]
			l := incarnation{name, gens[name]}
			switch d.IntN(8) {
			case 0: // started again; its last tally has reached some voter
				tables[d.IntN(3)].Merge(0, &Tally{l.relay, l.gen, EncodeCounters(map[Key]uint64{1: truth[l]}), false}, 10)
				gens[name]++
			case 1, 2, 3:
				truth[l] += uint64(d.IntN(5))
				way = append(way, Tally{l.relay, l.gen, EncodeCounters(map[Key]uint64{1: truth[l]}), false})
			case 4, 5:
				if len(way) > 0 {
					t := way[d.IntN(len(way))]
					tables[d.IntN(3)].Merge(time.Second, &t, 10)
				}
			default: // two voters talk
				to := tables[d.IntN(3)]
				for _, x := range tables[d.IntN(3)].NextTallies(10) {
					to.Merge(time.Second, &x, 10)
				}
			}
			for i, b := range tables {
				n, err := DecodeCounters(b.Totals(0).Counters)
				if err != nil || n[1] > total() {
					t.Fatalf("voter %d says %d of %d: %v", i, n[1], total(), err)
				}
			}
		}
	})
}

// TestCounterTable_VotersExchangeTallies_Agree: voters that have merged different tallies agree once they have exchanged them, and a relay that was restarted many times
// takes little memory.
func TestCounterTable_VotersExchangeTallies_Agree(t *testing.T) {
	a, b := NewCounterTable(), NewCounterTable()
	want := uint64(0)
	for gen := uint64(1); gen <= 40; gen++ {
		for n := uint64(1); n <= 5; n++ {
			to := a
			if n%2 == 0 {
				to = b
			}
			to.Merge(time.Second, &Tally{"r", gen, EncodeCounters(map[Key]uint64{7: n}), false}, 10)
		}
		want += 5
		for range 2 {
			for _, x := range a.NextTallies(4) {
				b.Merge(time.Second, &x, 10)
			}
			for _, x := range b.NextTallies(4) {
				a.Merge(time.Second, &x, 10)
			}
		}
	}
	for _, table := range []*CounterTable{a, b} {
		s := table.Totals(3 * time.Second)
		n, err := DecodeCounters(s.Counters)
		if err != nil || n[7] != want || s.Incarnations > maxIncarnations || s.SilentFor != 2*time.Second || s.Silent != "r" {
			t.Errorf("%d of %d, %+v, %v", n[7], want, s, err)
		}
	}
	if _, err := DecodeCounters([]byte{1, 2, 3}); err == nil {
		t.Error("a tally that was cut is taken")
	}
	a.Merge(0, &Tally{Relay: "stranger", Generation: 1}, 1)
	if s := a.Totals(0); s.Relays != 1 {
		t.Error("more relays than the fleet has")
	}
}
