package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCounterTable_TalliesInAnyOrder_NeverCountTwice: whatever tallies come, in whatever order, twice, late or not at all, a sum never
// counts an incarnation twice and never more than was counted; when the newest of each incarnation has come to any of the voters and they
// have talked, all say the same, exactly.
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
		var inFlight []Tally // sent, perhaps lost or late
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
			case 0: // started again; its last tally has reached some voter
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
			default: // two voters talk
				to := tables[random.IntN(3)]
				for _, x := range tables[random.IntN(3)].NextTallies(10) {
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

// TestCounterTable_VotersExchangeTallies_Agree: voters that have merged different tallies agree once they have exchanged them, and a relay
// that was restarted many times takes little memory.
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
			t.Errorf("%d of %d, %+v, %v", n[7], want, s, err)
		}
	}
	if _, err := DecodeCounters([]byte{1, 2, 3}); err == nil {
		t.Error("a truncated tally is accepted")
	}
	first.Merge(0, &Tally{Relay: "stranger", Generation: 1}, 1)
	if s := first.Totals(0); s.Relays != 1 {
		t.Error("more relays than the fleet has")
	}
}
