// Package faultplan is what the tier's engines of random faults have in common: the faults of a plan and the draw of
// their kinds, the plan's text for replay, and the reduction of a plan that failed. Packages fleettest, simulation and soak use it.
// Each has its own kinds of fault, spreads them over its plans and injects their faults itself, since those are of different things: state machines, roles in memory, processes.
package faultplan

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/shrink"
)

// Fault is one fault of a plan. Its JSON stands in printed and recorded plans.
type Fault[Name ~string] struct {
	At     time.Duration `json:"at"` // from the start of the plan
	Kind   Name          `json:"kind"`
	Target int           `json:"target,omitempty"` // number of what it affects, modulo how many there are
	Other  int           `json:"other,omitempty"`  // number of the other end of a link
	For    time.Duration `json:"for,omitempty"`    // how long it lasts
}

// Kind is a kind of fault as random plans draw it.
type Kind[Name ~string] struct {
	Name         Name
	Weight       int  // how often it is drawn, in relation to the other kinds
	LosesDisk    bool // the disk of a machine that counts for a quorum is lost for good
	SparesQuorum bool // all machines that count for a quorum go on
}

// Kinds are the kinds that an engine draws from. Their order and weights must not change: the plans of all seeds follow from them.
type Kinds[Name ~string] []Kind[Name]

// Draw draws a kind by weight. It takes one number from random.
func (k Kinds[Name]) Draw(random *rand.Rand) Kind[Name] {
	total := 0
	for _, kind := range k {
		total += kind.Weight
	}
	remaining := random.IntN(total)
	last := len(k) - 1
	for _, kind := range k[:last] {
		if remaining < kind.Weight {
			return kind
		}
		remaining -= kind.Weight
	}
	return k[last]
}

// Find returns the kind of a name, and whether there is one.
func (k Kinds[Name]) Find(name Name) (kind Kind[Name], found bool) {
	index := slices.IndexFunc(k, func(kind Kind[Name]) bool { return kind.Name == name })
	if index < 0 {
		return Kind[Name]{}, false
	}
	return k[index], true
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
func Shrink[Plan any, Name ~string](plan Plan, faults func(*Plan) *[]Fault[Name], maxRuns int, fails func(Plan) bool) Plan {
	withFaults := func(remaining []Fault[Name]) Plan {
		smaller := plan
		*faults(&smaller) = remaining
		return smaller
	}
	reducer := shrink.New(*faults(&plan), maxRuns, func(remaining []Fault[Name]) bool { return fails(withFaults(remaining)) })
	shrink.RemoveElements(reducer)
	for i := range reducer.Smallest() {
		reducer.Try(shorten(reducer.Smallest(), i))
	}
	return withFaults(reducer.Smallest())
}

// shorten halves how long one fault lasts, in whole milliseconds.
func shorten[Name ~string](faults []Fault[Name], index int) []Fault[Name] {
	shorter := slices.Clone(faults)
	shorter[index].For = (shorter[index].For / 2).Truncate(time.Millisecond)
	return shorter
}
