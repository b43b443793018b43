// Package dedup decides how long an operator's accepted order must be remembered, so that a retry of it is recognised as a
// duplicate. An order may be retried for a limited time only, which bounds the orders that controllers remember. The package
// reads no clock: callers pass the times of the monotonic clock and of the wall clock.
package dedup

import "time"

// clockSkew is the largest difference allowed for between the wall clocks of two machines, including one that was set wrong.
const clockSkew = 5 * time.Second

// AcceptedOrder identifies an accepted order, which may be retried until its window is over.
type AcceptedOrder struct {
	Index        uint64 // index of its entry in the group's log
	AcceptedAtMs int64  // wall-clock time at which the leader accepted it, Unix ms
}

// Window records when this process first saw each order, and reports which orders can no longer be retried. It is not safe for
// concurrent use.
type Window struct {
	length    time.Duration
	firstSeen map[uint64]time.Duration // by log index; times of this process's monotonic clock
}

// NewWindow returns a window for orders that may be retried for length after they were accepted. A longer window remembers more
// orders; if operators retry for longer than length, an order may be executed twice.
func NewWindow(length time.Duration) *Window {
	return &Window{length: length, firstSeen: map[uint64]time.Duration{}}
}

// Observe records when each order was first seen. The list must contain all orders that may still be retried: others are
// forgotten. Observe must be called whenever an order is accepted. now is the time of the monotonic clock.
func (w *Window) Observe(now time.Duration, accepted []AcceptedOrder) {
	firstSeen := make(map[uint64]time.Duration, len(accepted))
	for _, order := range accepted {
		at, known := w.firstSeen[order.Index]
		if !known {
			at = now
		}
		firstSeen[order.Index] = at
	}
	w.firstSeen = firstSeen
}

// SeenFor returns the time since this process first saw an order, or 0 if it has not seen it.
func (w *Window) SeenFor(now time.Duration, index uint64) time.Duration {
	at, known := w.firstSeen[index]
	if !known {
		return 0
	}
	return now - at
}

// ExpiredUpTo returns the highest index of an order that can no longer be retried, or 0 if all may be. Orders with lower indexes
// were accepted earlier, so they have expired too.
//
// An order expires as soon as either clock shows that the window is over. The monotonic clock never shows it too early, since it
// counts from when this process first saw the order, which was accepted by then. The wall clock is needed for orders accepted
// before this process started. It expires them too early only if it is ahead by more than clockSkew; if it is behind, orders
// expire by the monotonic clock at the latest.
func (w *Window) ExpiredUpTo(now time.Duration, wallClock time.Time, accepted []AcceptedOrder) uint64 {
	var expired uint64
	for _, order := range accepted {
		age := wallClock.Sub(time.UnixMilli(order.AcceptedAtMs)) - clockSkew
		if max(w.SeenFor(now, order.Index), age) > w.length {
			expired = max(expired, order.Index)
		}
	}
	return expired
}
