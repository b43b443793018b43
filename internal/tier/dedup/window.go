// Package dedup decides until when an operator's order that arrives may be a duplicate of one that was accepted before: an order
// may be retried for a limited time only, after which its entry is no longer needed to recognise a duplicate. Controllers use it
// to bound what they remember of past orders. It is pure: callers pass both clocks.
package dedup

import "time"

// clockSkew is how far the wall clocks of two machines may differ, including one that was set wrong.
const clockSkew = 5 * time.Second

// AcceptedOrder is an order that was accepted.
type AcceptedOrder struct {
	Index        uint64 // of its entry in the group's log
	AcceptedAtMs int64  // wall-clock time at which the leader accepted it, Unix ms
}

// Window records when this process has first seen orders, and reports which of them can no longer be retried. It is not safe for
// concurrent use.
type Window struct {
	length    time.Duration
	firstSeen map[uint64]time.Duration // by index, on this process' monotonic clock
}

// NewWindow returns a window for orders that may be retried for length after they were accepted. A longer one remembers orders
// for longer; one shorter than the operator's retries may execute an order twice.
func NewWindow(length time.Duration) *Window {
	return &Window{length: length, firstSeen: map[uint64]time.Duration{}}
}

// Observe takes in all orders that may still be retried, and forgets others. It must be called whenever one is added. Now is the
// monotonic clock's.
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

// SeenFor returns the time since this process first saw an order; 0 if it has not.
func (w *Window) SeenFor(now time.Duration, index uint64) time.Duration {
	at, known := w.firstSeen[index]
	if !known {
		return 0
	}
	return now - at
}

// ExpiredUpTo returns the highest index of an order that can no longer be retried; 0: all may be. Orders with lower indexes were
// accepted earlier, so they have expired too.
//
// Either clock suffices. The monotonic clock decides for orders that this process has seen for long enough: it counts from a
// time at which they had been accepted, so that it is never too early. The wall clock decides for orders that are older than the
// process. It is too early only where it is ahead by more than clockSkew, and where it is behind it is no later than the
// monotonic clock.
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
