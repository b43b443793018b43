package simulator

import (
	"slices"
	"time"
)

// Shrink looks for a smallest world that still fails, by removing and halving what it can. It calls fails at most maxRuns times, and
// leaves w as it is.
func Shrink(w *World, maxRuns int, fails func(*World) bool) *World {
	best := w.clone()
	attempt := func(change func(*World)) bool {
		if maxRuns <= 0 {
			return false
		}
		next := best.clone()
		change(next)
		if next.Validate() != nil {
			return false
		}
		maxRuns--
		if fails(next) {
			best = next
			return true
		}
		return false
	}
	for progress := true; progress; {
		progress = false
		for i := len(best.Faults) - 1; i >= 0; i-- {
			progress = attempt(func(w *World) { w.Faults = slices.Delete(w.Faults, i, i+1) }) || progress
		}
		for i := len(best.Classes) - 1; i >= 0 && len(best.Classes) > 1; i-- {
			progress = attempt(func(w *World) { w.Classes = slices.Delete(w.Classes, i, i+1) }) || progress
		}
		for i := len(best.Partners) - 1; i >= 0 && len(best.Partners) > 1; i-- {
			progress = attempt(func(w *World) { w.Partners = slices.Delete(w.Partners, i, i+1) }) || progress
		}
		for i := range best.Partners {
			if best.Partners[i].Count > 1 {
				progress = attempt(func(w *World) { w.Partners[i].Count /= 2 }) || progress
			}
			if best.Partners[i].Endpoints > 1 {
				progress = attempt(func(w *World) { w.Partners[i].Endpoints-- }) || progress
			}
		}
		if best.Relays > 1 {
			progress = attempt(func(w *World) { w.Relays-- }) || progress
		}
		if best.Length > Duration(500*time.Millisecond) {
			progress = attempt(func(w *World) { w.Length = w.Length * 3 / 4 }) || progress
		}
		if best.Rate > 2 {
			progress = attempt(func(w *World) { w.Rate *= 0.7 }) || progress
		}
		if best.Clients.MaxAttempts > 1 {
			progress = attempt(func(w *World) { w.Clients.MaxAttempts-- }) || progress
		}
	}
	return best
}

func (w *World) clone() *World {
	n := *w
	n.Classes, n.Partners, n.Faults = slices.Clone(w.Classes), slices.Clone(w.Partners), slices.Clone(w.Faults)
	return &n
}
