// Package faultplan is what the tier's engines of random faults have in common: the faults of a plan, the plan's text for replay, and
// the reduction of a plan that failed. Packages fleettest, simulation and soak use it. Each has its own kinds of fault, draws its
// own plans and injects their faults itself, since those are of different things: state machines, roles in memory, processes.
package faultplan

import (
	"encoding/json"
	"slices"
	"time"

	"mastusher/internal/shrink"
)

// Fault is one fault of a plan. Its JSON stands in printed and recorded plans.
type Fault[Kind ~string] struct {
	At     time.Duration `json:"at"` // from the start of the plan
	Kind   Kind          `json:"kind"`
	Target int           `json:"target,omitempty"` // number of what it affects, modulo how many there are
	Other  int           `json:"other,omitempty"`  // number of the other end of a link
	For    time.Duration `json:"for,omitempty"`    // how long it lasts
}

// Text returns a plan as JSON, to run it again.
func Text(plan any) string {
	text, err := json.Marshal(plan)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Shrink removes faults from a plan that fails, and makes them shorter, as long as it fails. It runs at most maxRuns plans. The
// function faults returns where an engine's plan has its faults.
func Shrink[Plan any, Kind ~string](plan Plan, faults func(*Plan) *[]Fault[Kind], maxRuns int, fails func(Plan) bool) Plan {
	withFaults := func(remaining []Fault[Kind]) Plan {
		smaller := plan
		*faults(&smaller) = remaining
		return smaller
	}
	reducer := shrink.New(*faults(&plan), maxRuns, func(remaining []Fault[Kind]) bool { return fails(withFaults(remaining)) })
	shrink.RemoveElements(reducer)
	for i := range reducer.Smallest() {
		reducer.Try(shorten(reducer.Smallest(), i))
	}
	return withFaults(reducer.Smallest())
}

// shorten halves how long one fault lasts, in whole milliseconds.
func shorten[Kind ~string](faults []Fault[Kind], index int) []Fault[Kind] {
	shorter := slices.Clone(faults)
	shorter[index].For = (shorter[index].For / 2).Truncate(time.Millisecond)
	return shorter
}
