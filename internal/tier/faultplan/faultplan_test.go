package faultplan

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type kind string

type plan struct {
	Seed   uint64
	Faults []Fault[kind]
}

func TestShrink_OneFaultFails_KeepsItShortened(t *testing.T) {
	// Given a plan that fails as long as one of its faults lasts at least a second,
	var faults []Fault[kind]
	for i := range 9 {
		faults = append(faults, Fault[kind]{At: time.Duration(i) * time.Second, Kind: "other", For: time.Second})
	}
	faults[4] = Fault[kind]{At: 4 * time.Second, Kind: "cause", Target: 3, For: 3*time.Second + time.Millisecond}
	given := slices.Clone(faults)
	// when it is shrunk,
	shrunk := Shrink(plan{Seed: 5, Faults: faults}, func(p *plan) *[]Fault[kind] { return &p.Faults }, 100, func(candidate plan) bool {
		return slices.ContainsFunc(candidate.Faults, func(f Fault[kind]) bool { return f.Kind == "cause" && f.For >= time.Second })
	})
	// then only that fault is left, half as long, in whole milliseconds, and the plan that was passed in is unchanged.
	want := plan{Seed: 5, Faults: []Fault[kind]{{At: 4 * time.Second, Kind: "cause", Target: 3, For: 1500 * time.Millisecond}}}
	if difference := cmp.Diff(want, shrunk); difference != "" {
		t.Error(difference)
	}
	if difference := cmp.Diff(given, faults); difference != "" {
		t.Error(difference)
	}
}

func TestText_Fault_LeavesOutWhatIsZero(t *testing.T) {
	faults := []Fault[kind]{{At: time.Second, Kind: "a"}, {Kind: "b", Target: 1, Other: 2, For: 3}}
	const want = `[{"at":1000000000,"kind":"a"},{"at":0,"kind":"b","target":1,"other":2,"for":3}]`
	if got := Text(faults); got != want {
		t.Errorf("got %s", got)
	}
}

func TestDraw_Weights_ComeInProportion(t *testing.T) {
	// Given kinds of which one is never drawn and one three times as often as another,
	kinds := Kinds[kind]{{Name: "never"}, {Name: "rare", Weight: 1}, {Name: "often", Weight: 3, LosesDisk: true}}
	random, replayed := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 1))
	const draws = 4000
	counts := map[kind]int{}
	for range draws {
		drawn := kinds.Draw(random)
		counts[drawn.Name]++
		// then each draw takes one number, as an index into a list that contains each kind as many times as its weight,
		if want := []kind{"rare", "often", "often", "often"}[replayed.IntN(4)]; drawn.Name != want {
			t.Fatalf("drew %s, want %s", drawn.Name, want)
		}
		if drawn.LosesDisk != (drawn.Name == "often") {
			t.Fatalf("drew %+v", drawn)
		}
	}
	// and the kinds are drawn in proportion to their weights.
	if counts["never"] != 0 || counts["rare"] < draws/5 || counts["rare"] > draws*3/10 {
		t.Errorf("draws by kind: %v; want none of weight 0, and the rare kind in 20 to 30 %% of them", counts)
	}
}

func TestFind_KnownAndUnknownName_SaysSo(t *testing.T) {
	kinds := Kinds[kind]{{Name: "a", Weight: 1}, {Name: "b", Weight: 2, SparesQuorum: true}}
	if got, found := kinds.Find("b"); !found || got != kinds[1] {
		t.Errorf("the known kind: got %+v, found %v", got, found)
	}
	if got, found := kinds.Find("c"); found {
		t.Errorf("found %+v for an unknown name", got)
	}
}
