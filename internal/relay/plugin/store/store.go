// Package store is a small key-value store with a quota, in which a plug-in keeps data between calls. The changes of a call are
// committed atomically, and a snapshot file preserves the entries over a restart. Package plugin has one Store for each plug-in, which
// is kept when a version of the plug-in is replaced. All methods of a Store are safe for concurrent use.
//
// tx.go has the transaction of a call, snapshot.go the snapshot file.
package store

import (
	"errors"
	"sync"
	"time"
)

// Limits are the limits of a store.
type Limits struct {
	Bytes     int // the quota for all keys and values; each entry counts with 32 bytes more
	Entries   int // maximum number
	KeySize   int // maximum, in bytes
	ValueSize int // maximum, in bytes
}

// entryOverhead is the number of bytes that an entry takes of the quota in addition to its key and value.
const entryOverhead = 32

// Errors of setting a key.
var (
	ErrKey   = errors.New("store: the key is empty or too long")
	ErrValue = errors.New("store: the value is too long")
	ErrFull  = errors.New("store: the quota is exceeded")
)

// entry is a value and when it expires. The value is never modified.
type entry struct {
	value     []byte
	expiresAt time.Time // zero: never
}

func (e entry) expired(now time.Time) bool { return !e.expiresAt.IsZero() && !now.Before(e.expiresAt) }

// entrySize returns how many bytes of the quota an entry takes.
func entrySize(key string, e entry) int { return len(key) + len(e.value) + entryOverhead }

// Store is the store of one plug-in.
type Store struct {
	limits Limits

	mu      sync.Mutex // guards the fields below
	entries map[string]entry
	size    int  // bytes of the quota that all entries take
	dirty   bool // changed since the last snapshot
}

// New returns an empty store.
func New(limits Limits) *Store { return &Store{limits: limits, entries: map[string]entry{}} }

// Len returns the number of entries and the bytes of the quota that they take. Expired entries count until they are removed to free
// space.
func (s *Store) Len() (entries, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries), s.size
}

// fits reports whether a number of entries and their size are within the limits.
func (l *Limits) fits(entries, size int) bool { return size <= l.Bytes && entries <= l.Entries }

// sweep removes expired entries. The caller holds s.mu.
func (s *Store) sweep(now time.Time) {
	for key, e := range s.entries {
		if e.expired(now) {
			s.size -= entrySize(key, e)
			delete(s.entries, key)
			s.dirty = true
		}
	}
}
