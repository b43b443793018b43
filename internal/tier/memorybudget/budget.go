package memorybudget

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"
)

// Class is a kind of work that a budget is divided among.
type Class int

// The classes. Connections, Large and Lines together never take the whole budget: the rest is always left for Small.
const (
	// Connections is for connections of callers and the heads that arrive on them.
	Connections Class = iota
	// Small is for requests whose bodies have up to SmallBytes.
	Small
	// Large is for larger bodies, for collected outputs and for the copies of both that other processes are sent.
	Large
	// Lines is for long lines between processes, and for the chains that they bring.
	Lines

	classCount
)

// classNames are the values of the label class in metrics and of the key in log lines.
var classNames = [classCount]string{Connections: "connections", Small: "small", Large: "large", Lines: "lines"}

// String returns the name of the class.
func (c Class) String() string { return classNames[c] }

// Classes lists the classes.
func Classes() []Class { return []Class{Connections, Small, Large, Lines} }

// Shares are the parts of a budget that the classes may take.
type Shares [classCount]float64

// Shares of the processes that clients and operators call, and of stores, which only other processes call.
var (
	ServerShares = Shares{Connections: 0.2, Small: 1, Large: 0.375, Lines: 0.3}
	StoreShares  = Shares{Connections: 0.15, Small: 1, Large: 0.3, Lines: 0.45}
)

// SmallBytes is the size up to which a body counts as small.
const SmallBytes = 64 << 10

// Of a process's memory limit, programBytes are for the program itself, and a share of the rest is for its callers. What is left is for
// garbage between two collections, and for state that isn't of any caller, which is most of what a store holds.
const (
	programBytes     = 40 << 20
	serverBytesShare = 0.6
	storeBytesShare  = 0.3
	minBytesShare    = 0.125 // of the whole limit, where programBytes leave less
)

// ErrExhausted is returned where a reservation can't be granted.
var ErrExhausted = errors.New("memory budget exhausted")

const (
	// stallInterval is how long a caller may make too little progress before its lease can be revoked.
	stallInterval = time.Second
	// paceDivisor gives the progress that a caller must make in a stallInterval: this fraction of what its lease holds.
	paceDivisor = 32
	// revokeInterval is the interval at which a waiting reservation looks for stalled callers.
	revokeInterval = stallInterval / 4
)

// Budget is a number of bytes that callers may make the process hold.
type Budget struct {
	limit  int64
	limits [classCount]int64 // of each class
	now    func() time.Time

	mutex    sync.Mutex // guards the fields below, and all leases
	used     int64
	usedBy   [classCount]int64
	waiting  [classCount][]*waiter
	awaiting map[*Lease]struct{} // leases whose owners wait for their callers
	counts   [classCount]Counts
}

// Counts are what has become of the reservations of a class since the start of the process.
type Counts struct {
	Used    int64 // bytes reserved now
	Waited  int64 // reservations that had to wait
	Refused int64 // reservations that were not granted
	Revoked int64 // leases revoked for reservations of this class, as their callers made too little progress
}

// waiter is a reservation that waits.
type waiter struct {
	lease   *Lease
	class   Class
	bytes   int64
	granted chan struct{}
}

// New returns a budget of a number of bytes, divided by shares. 0 or less returns nil, which grants everything.
func New(bytes int64, shares Shares) *Budget {
	if bytes <= 0 {
		return nil
	}
	b := &Budget{limit: bytes, now: time.Now, awaiting: map[*Lease]struct{}{}}
	for class, share := range shares {
		b.limits[class] = int64(share * float64(bytes))
	}
	return b
}

// ForServer returns the budget of a proxy, an agent or a controller with a memory limit in bytes; nil if there is no limit.
func ForServer(memoryLimit int64) *Budget {
	return New(shareOfMemory(memoryLimit, serverBytesShare), ServerShares)
}

// ForStore returns the budget of a store with a memory limit in bytes; nil if there is no limit.
func ForStore(memoryLimit int64) *Budget {
	return New(shareOfMemory(memoryLimit, storeBytesShare), StoreShares)
}

// shareOfMemory returns a share of what the program itself leaves of a memory limit.
func shareOfMemory(memoryLimit int64, share float64) int64 {
	return max(int64(share*float64(memoryLimit-programBytes)), int64(minBytesShare*float64(memoryLimit)))
}

// Limit returns the size of the budget in bytes, or math.MaxInt64 if it is nil.
func (b *Budget) Limit() int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.limit
}

// Counts returns the counts of a class. Those of a nil budget are 0.
func (b *Budget) Counts(class Class) Counts {
	if b == nil {
		return Counts{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.counts[class]
	counts.Used = b.usedBy[class]
	return counts
}

// TryReserve reserves bytes without waiting. The error is ErrExhausted if they aren't free.
func (b *Budget) TryReserve(class Class, bytes int64) (*Lease, error) {
	if b == nil {
		return nil, nil
	}
	l := &Lease{budget: b}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.tryTake(l, class, bytes) {
		return nil, ErrExhausted
	}
	return l, nil
}

// Reserve reserves bytes, and waits for them until ctx ends. The error is ErrExhausted for more bytes than the budget has, or that of ctx.
func (b *Budget) Reserve(ctx context.Context, class Class, bytes int64) (*Lease, error) {
	if b == nil {
		return nil, nil
	}
	l := &Lease{budget: b}
	if err := b.take(ctx, l, class, bytes); err != nil {
		return nil, err
	}
	return l, nil
}

// tryTake adds free bytes to a lease, also before those that wait, or makes a stalled caller give its share back and returns false. The
// caller holds the mutex.
func (b *Budget) tryTake(l *Lease, class Class, bytes int64) bool {
	if b.fits(l, class, bytes) {
		b.grant(l, class, bytes)
		return true
	}
	b.counts[class].Refused++
	b.revokeStalled(class, bytes)
	return false
}

// take adds bytes to a lease, and waits for them.
func (b *Budget) take(ctx context.Context, l *Lease, class Class, bytes int64) error {
	if bytes > b.limit {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.counts[class].Refused++
		return ErrExhausted
	}
	w := b.enqueue(l, class, bytes)
	if w == nil {
		return nil
	}
	ticker := time.NewTicker(revokeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.granted:
			return nil
		case <-ticker.C:
			b.revokeStalledFor(w)
		case <-ctx.Done():
			if !b.leave(w) {
				return nil
			}
			return ctx.Err()
		}
	}
}

// enqueue grants bytes at once and returns nil, or returns a waiter for them.
func (b *Budget) enqueue(l *Lease, class Class, bytes int64) *waiter {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.waiting[class]) == 0 && b.fits(l, class, bytes) {
		b.grant(l, class, bytes)
		return nil
	}
	w := &waiter{lease: l, class: class, bytes: bytes, granted: make(chan struct{})}
	b.waiting[class] = append(b.waiting[class], w)
	b.counts[class].Waited++
	b.revokeStalled(class, bytes)
	return w
}

// revokeStalledFor makes a stalled caller give its share back for a waiter.
func (b *Budget) revokeStalledFor(w *waiter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.revokeStalled(w.class, w.bytes)
}

// leave ends a waiter that gives up. It returns false if the waiter has been granted its bytes.
func (b *Budget) leave(w *waiter) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := slices.Index(b.waiting[w.class], w)
	if at < 0 {
		return false
	}
	b.waiting[w.class] = slices.Delete(b.waiting[w.class], at, at+1)
	b.counts[w.class].Refused++
	b.grantWaiting()
	return true
}

// fits reports whether bytes of a class are free for a lease. A lease that is alone in its class may take more than the class's part, so that
// a single piece of work that the whole budget has room for is always possible. The caller holds the mutex.
func (b *Budget) fits(l *Lease, class Class, bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	if b.used+bytes > b.limit {
		return false
	}
	return b.usedBy[class] == l.held[class] || b.usedBy[class]+bytes <= b.limits[class]
}

// grant adds bytes to a lease. The caller holds the mutex.
func (b *Budget) grant(l *Lease, class Class, bytes int64) {
	l.held[class] += bytes
	b.usedBy[class] += bytes
	b.used += bytes
}

// giveBack removes bytes from a lease, and grants waiting reservations. The caller holds the mutex.
func (b *Budget) giveBack(l *Lease, class Class, bytes int64) {
	l.held[class] -= bytes
	b.usedBy[class] -= bytes
	b.used -= bytes
	b.grantWaiting()
}

// grantWaiting grants the reservations that wait and now fit, those of small requests first. The caller holds the mutex.
func (b *Budget) grantWaiting() {
	for _, class := range []Class{Small, Connections, Lines, Large} {
		for len(b.waiting[class]) > 0 && b.fits(b.waiting[class][0].lease, class, b.waiting[class][0].bytes) {
			w := b.waiting[class][0]
			b.waiting[class] = b.waiting[class][1:]
			b.grant(w.lease, class, w.bytes)
			close(w.granted)
		}
	}
}

// revokeStalled revokes the lease of a stalled caller that holds what a reservation lacks: bytes of its class if the class has taken its
// part, or else of any class. Of several it takes the one that holds the most, and then the one that has been stalled for the longest
// time. The caller holds the mutex.
func (b *Budget) revokeStalled(class Class, bytes int64) {
	now := b.now()
	classIsFull := b.used+bytes <= b.limit
	var found *Lease
	for l := range b.awaiting {
		if classIsFull && l.held[class] == 0 || !l.stalled(now) {
			continue
		}
		if found == nil || l.total() > found.total() || l.total() == found.total() && l.windowStart.Before(found.windowStart) {
			found = l
		}
	}
	if found == nil {
		return
	}
	delete(b.awaiting, found)
	found.revoked = true
	b.counts[class].Revoked++
	go found.revoke() // takes locks of its owner
}
