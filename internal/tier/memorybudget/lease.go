package memorybudget

import (
	"context"
	"time"
)

// Lease is a share of a budget. Its owner must call Release once. A nil Lease, of a nil Budget, does nothing.
type Lease struct {
	budget *Budget

	// The budget's mutex guards the fields below.
	held        [classCount]int64
	revoke      func()    // while the owner waits for its caller
	windowStart time.Time // since when windowBytes are counted
	windowBytes int64
	revoked     bool
	released    bool
}

// TryGrow adds bytes of a class without waiting, and reports whether they were free.
func (l *Lease) TryGrow(class Class, bytes int64) bool {
	if l == nil || bytes <= 0 {
		return true
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	return l.budget.tryTake(l, class, bytes)
}

// Grow adds bytes of a class, and waits for them until ctx ends. A lease must not wait for more of a class of which it holds some: two
// leases that did so could wait for each other. The error is as that of Budget.Reserve.
func (l *Lease) Grow(ctx context.Context, class Class, bytes int64) error {
	if l == nil || bytes <= 0 {
		return nil
	}
	return l.budget.take(ctx, l, class, bytes)
}

// ShrinkTo gives back what the lease holds of a class beyond a number of bytes.
func (l *Lease) ShrinkTo(class Class, bytes int64) {
	if l == nil {
		return
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	if excess := l.held[class] - max(bytes, 0); excess > 0 {
		l.budget.giveBack(l, class, excess)
	}
}

// Held returns the bytes of a class that the lease holds.
func (l *Lease) Held(class Class) int64 {
	if l == nil {
		return 0
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	return l.held[class]
}

// Release gives everything back. Further calls do nothing.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	delete(l.budget.awaiting, l)
	for class, bytes := range l.held {
		if bytes > 0 {
			l.budget.giveBack(l, Class(class), bytes)
		}
	}
}

// AwaitCaller says that the owner waits for its caller from now on. If the caller makes too little progress while another reservation
// finds no memory, revoke is called, once and in a goroutine of its own; it must make the owner release the lease.
func (l *Lease) AwaitCaller(revoke func()) {
	if l == nil {
		return
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	if l.released || l.revoked {
		return
	}
	l.revoke = revoke
	l.windowStart, l.windowBytes = l.budget.now(), 0
	l.budget.awaiting[l] = struct{}{}
}

// Progressed says that the caller has sent or taken bytes.
func (l *Lease) Progressed(bytes int) {
	if l == nil {
		return
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	l.windowBytes += int64(bytes)
}

// StopAwaiting says that the owner doesn't wait for its caller any more. It reports whether the lease has been revoked.
func (l *Lease) StopAwaiting() (revoked bool) {
	if l == nil {
		return false
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	delete(l.budget.awaiting, l)
	return l.revoked
}

// stalled reports whether the caller has made too little progress since windowStart, and begins a new window if a stallInterval has passed
// with enough. The caller holds the budget's mutex.
func (l *Lease) stalled(now time.Time) bool {
	if now.Sub(l.windowStart) < stallInterval {
		return false
	}
	if l.windowBytes < max(l.total()/paceDivisor, 1) {
		return true
	}
	l.windowStart, l.windowBytes = now, 0
	return false
}

// total returns the bytes of all classes that the lease holds. The caller holds the budget's mutex.
func (l *Lease) total() int64 {
	sum := int64(0)
	for _, bytes := range l.held {
		sum += bytes
	}
	return sum
}
