package simulator

import (
	"slices"
	"time"
)

// Shrink looks for the smallest world that still fails, by leaving out and halving what it can. It plays no more worlds
// than that many.
func Shrink(w *World, most int, fails func(*World) bool) *World {
	best := w.clone()
	try := func(change func(*World)) bool {
		if most <= 0 {
			return false
		}
		next := best.clone()
		change(next)
		if next.Validate() != nil {
			return false
		}
		most--
		if fails(next) {
			best = next
			return true
		}
		return false
	}
	for again := true; again; {
		again = false
		for i := len(best.Faults) - 1; i >= 0; i-- {
			again = try(func(w *World) { w.Faults = slices.Delete(w.Faults, i, i+1) }) || again
		}
		for i := len(best.Classes) - 1; i >= 0 && len(best.Classes) > 1; i-- {
			again = try(func(w *World) { w.Classes = slices.Delete(w.Classes, i, i+1) }) || again
		}
		for i := len(best.Partners) - 1; i >= 0 && len(best.Partners) > 1; i-- {
			again = try(func(w *World) { w.Partners = slices.Delete(w.Partners, i, i+1) }) || again
		}
		for i := range best.Partners {
			if best.Partners[i].Count > 1 {
				again = try(func(w *World) { w.Partners[i].Count /= 2 }) || again
			}
			if best.Partners[i].Endpoints > 1 {
				again = try(func(w *World) { w.Partners[i].Endpoints-- }) || again
			}
		}
		if best.Relays > 1 {
			again = try(func(w *World) { w.Relays-- }) || again
		}
		if best.Length > Duration(500*time.Millisecond) {
			again = try(func(w *World) { w.Length = w.Length * 3 / 4 }) || again
		}
		if best.Rate > 2 {
			again = try(func(w *World) { w.Rate *= 0.7 }) || again
		}
		if best.Clients.MaxAttempts > 1 {
			again = try(func(w *World) { w.Clients.MaxAttempts-- }) || again
		}
	}
	return best
}

func (w *World) clone() *World {
	n := *w
	n.Classes, n.Partners, n.Faults = slices.Clone(w.Classes), slices.Clone(w.Partners), slices.Clone(w.Faults)
	return &n
}
