// Package faultplan holds what the tier's fault-injection tests have in common: the faults of a plan, the random choice of their
// kinds, the plan's text for replay, and the reduction of a plan that failed. Packages fleettest, simulation and soak use it. Each
// defines its own kinds of fault, distributes them over its plans and injects them itself, since it injects them into different
// things: state machines, roles in memory, or processes.
package faultplan

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/shrink"
)

// Fault is one fault of a plan. Printed and recorded plans contain its JSON, so its keys must not change.
type Fault[Name ~string] struct {
	At     time.Duration `json:"at"` // from the start of the plan
	Kind   Name          `json:"kind"`
	Target int           `json:"target,omitempty"` // index of the machine, edge or endpoint that it affects, modulo their number
	Other  int           `json:"other,omitempty"`  // index of the machine at the other end of a link
	For    time.Duration `json:"for,omitempty"`    // how long it lasts
}

// Kind is a kind of fault as random plans draw it.
type Kind[Name ~string] struct {
	Name         Name
	Weight       int  // how often it is drawn, in relation to the other kinds
	LosesDisk    bool // destroys the disk of a machine that counts for a quorum
	SparesQuorum bool // all machines that count for a quorum stay available
}

// Kinds are the kinds that a random plan draws from. Their order and weights must not change, since they determine the plan of each
// seed.
type Kinds[Name ~string] []Kind[Name]

// Draw draws a kind with a probability in proportion to its weight. It takes exactly one number from random.
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

// Find returns the kind with that name, and whether there is one.
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

// Shrink removes and shortens faults of a failing plan as long as it still fails. It runs at most maxRuns plans. The function faults
// returns a pointer to the plan's list of faults.
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

// shorten returns the faults with the duration of one of them halved, in whole milliseconds.
func shorten[Name ~string](faults []Fault[Name], index int) []Fault[Name] {
	shorter := slices.Clone(faults)
	shorter[index].For = (shorter[index].For / 2).Truncate(time.Millisecond)
	return shorter
}
