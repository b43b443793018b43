// Package shrink reduces an input that fails to a smaller one that still fails, within a bounded number of runs (delta debugging:
// Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002). Simulations of both products use it to
// reduce a random plan or world that violated a rule. It runs in the caller's goroutine.
package shrink

import "slices"

// Reducer holds the smallest input found to fail so far.
type Reducer[Input any] struct {
	smallest Input
	runsLeft int
	fails    func(Input) bool
}

// New returns a reducer of an input that is known to fail. It calls fails at most maxRuns times.
func New[Input any](failing Input, maxRuns int, fails func(Input) bool) *Reducer[Input] {
	return &Reducer[Input]{smallest: failing, runsLeft: maxRuns, fails: fails}
}

// Smallest returns the smallest input found to fail so far.
func (r *Reducer[Input]) Smallest() Input { return r.smallest }

// Try runs a candidate that is smaller than Smallest, and makes it the new Smallest if it fails too. It reports whether the candidate
// failed; it returns false without a run once no runs are left.
func (r *Reducer[Input]) Try(candidate Input) bool {
	if r.runsLeft <= 0 {
		return false
	}
	r.runsLeft--
	if !r.fails(candidate) {
		return false
	}
	r.smallest = candidate
	return true
}

// RemoveElements removes elements from a list as long as the rest still fails: first all elements at once, then halves, and so on
// down to single ones.
func RemoveElements[Element any](r *Reducer[[]Element]) {
	for size := len(r.smallest); size > 0; size /= 2 {
		for start := 0; start+size <= len(r.smallest); {
			if !r.Try(slices.Delete(slices.Clone(r.smallest), start, start+size)) {
				start += size
			}
		}
	}
}
