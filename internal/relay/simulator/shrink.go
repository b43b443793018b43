package simulator

import (
	"slices"
	"time"

	"mastusher/internal/shrink"
)

// Shrink looks for a minimal world that still fails, by removing and halving what it can. It calls fails at most maxRuns times and does not
// change w.
func Shrink(w *World, maxRuns int, fails func(*World) bool) *World {
	reducer := worldReducer{shrink.New(w.clone(), maxRuns, fails)}
	for progress := true; progress; {
		progress = reducer.removeElements()
		progress = reducer.reduceQuantities() || progress
	}
	return reducer.Smallest()
}

// worldReducer reduces a world.
type worldReducer struct {
	*shrink.Reducer[*World]
}

// attempt changes a copy of the smallest world and keeps it if it is valid and still fails.
func (r worldReducer) attempt(change func(*World)) bool {
	changed := r.Smallest().clone()
	change(changed)
	return changed.Validate() == nil && r.Try(changed)
}

// removeElements attempts to remove each fault, and each class and partner except the last one. It reports whether any could be removed.
func (r worldReducer) removeElements() (progress bool) {
	for i := len(r.Smallest().Faults) - 1; i >= 0; i-- {
		progress = r.attempt(func(w *World) { w.Faults = slices.Delete(w.Faults, i, i+1) }) || progress
	}
	for i := len(r.Smallest().Classes) - 1; i >= 0 && len(r.Smallest().Classes) > 1; i-- {
		progress = r.attempt(func(w *World) { w.Classes = slices.Delete(w.Classes, i, i+1) }) || progress
	}
	for i := len(r.Smallest().Partners) - 1; i >= 0 && len(r.Smallest().Partners) > 1; i-- {
		progress = r.attempt(func(w *World) { w.Partners = slices.Delete(w.Partners, i, i+1) }) || progress
	}
	return progress
}

// reduceQuantities attempts to reduce each size, rate and time of the world by one step. It reports whether any could be reduced.
func (r worldReducer) reduceQuantities() (progress bool) {
	for i := range r.Smallest().Partners {
		if r.Smallest().Partners[i].Count > 1 {
			progress = r.attempt(func(w *World) { w.Partners[i].Count /= 2 }) || progress
		}
		if r.Smallest().Partners[i].Endpoints > 1 {
			progress = r.attempt(func(w *World) { w.Partners[i].Endpoints-- }) || progress
		}
	}
	if r.Smallest().Relays > 1 {
		progress = r.attempt(func(w *World) { w.Relays-- }) || progress
	}
	if r.Smallest().Length > Duration(500*time.Millisecond) {
		progress = r.attempt(func(w *World) { w.Length = w.Length * 3 / 4 }) || progress
	}
	if r.Smallest().Rate > 2 {
		progress = r.attempt(func(w *World) { w.Rate *= 0.7 }) || progress
	}
	if r.Smallest().Clients.MaxAttempts > 1 {
		progress = r.attempt(func(w *World) { w.Clients.MaxAttempts-- }) || progress
	}
	return progress
}

func (w *World) clone() *World {
	n := *w
	n.Classes, n.Partners, n.Faults = slices.Clone(w.Classes), slices.Clone(w.Partners), slices.Clone(w.Faults)
	return &n
}
