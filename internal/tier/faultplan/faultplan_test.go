package faultplan

import (
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
	// Given a plan that fails for as long as one of its faults lasts at least a second,
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
	// then that fault alone is left, half as long, in whole milliseconds, and the plan given is as it was.
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
