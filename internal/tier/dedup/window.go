// Package dedup tells until when an order that arrives may be the repeat of one that was taken before: the operator sends an
// order again for a limited time only. It is pure.
package dedup

import "time"

// clockSkew is how far the times of day of two machines may differ, a clock that was set wrong among them.
const clockSkew = 5 * time.Second

// AcceptedOrder is an order that was taken.
type AcceptedOrder struct {
	Index uint64 // of its entry
	AtMs  int64  // time of day at which the owner took it, ms since 1970
}

// Window notes when this process has seen orders, and tells which of them are no longer repeated. It isn't safe for concurrent
// use.
type Window struct {
	length time.Duration
	seen   map[uint64]time.Duration // when this process first saw the order, by its steady clock
}

// NewWindow returns a window for orders that are repeated for that long after they were taken.
func NewWindow(length time.Duration) *Window {
	return &Window{length: length, seen: map[uint64]time.Duration{}}
}

// Observe takes in all orders that may be repeated; it is to be called whenever one is added. Now is the steady clock's.
func (w *Window) Observe(now time.Duration, taken []AcceptedOrder) {
	seen := make(map[uint64]time.Duration, len(taken))
	for _, order := range taken {
		at, known := w.seen[order.Index]
		if !known {
			at = now
		}
		seen[order.Index] = at
	}
	w.seen = seen
}

// SeenFor is the time since this process first saw an order.
func (w *Window) SeenFor(now time.Duration, index uint64) time.Duration {
	at, known := w.seen[index]
	if !known {
		return 0
	}
	return now - at
}

// ExpiredUpTo is the index up to which none of the orders is repeated any more; 0 if all may be. The steady clock decides for
// orders that this process has seen for long enough: it runs from a time at which they had been taken, so that it can't tell
// too soon. The time of day decides for those that are older than the process; only a clock that is ahead by more than the
// allowance lets it tell too soon, and one that is behind lets it tell no later than the steady clock.
func (w *Window) ExpiredUpTo(now time.Duration, timeOfDay time.Time, taken []AcceptedOrder) uint64 {
	var settled uint64
	for _, order := range taken {
		age := timeOfDay.Sub(time.UnixMilli(order.AtMs)) - clockSkew
		if max(w.SeenFor(now, order.Index), age) > w.length {
			settled = max(settled, order.Index)
		}
	}
	return settled
}
