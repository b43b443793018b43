// Package store is a plug-in's small memory: keys and values under a quota, which a call changes as a whole or not
// at all, and which a snapshot carries over a restart. Package plugin has one Store for each plug-in, which outlives its
// versions; all methods of a Store are safe for concurrent use.
//
// tx.go has what a call reads and writes, snapshot.go the file.
package store

import (
	"errors"
	"sync"
	"time"
)

// Limits bounds a store.
type Limits struct {
	Bytes     int // of all keys and values, each entry counted with 32 more
	Entries   int
	KeySize   int // bytes
	ValueSize int // bytes
}

// entryOverhead is what an entry takes of the quota beside its key and value, in bytes.
const entryOverhead = 32

// Why a key was not set.
var (
	ErrKey   = errors.New("store: the key is empty or too long")
	ErrValue = errors.New("store: the value is too long")
	ErrFull  = errors.New("store: over its quota")
)

// entry is a value and how long it is good for. The value is never written to.
type entry struct {
	value     []byte
	expiresAt time.Time // zero: never
}

func (e entry) expired(now time.Time) bool { return !e.expiresAt.IsZero() && !now.Before(e.expiresAt) }

// entrySize is what an entry takes of the quota.
func entrySize(key string, e entry) int { return len(key) + len(e.value) + entryOverhead }

// Store is the store of one plug-in.
type Store struct {
	limits Limits

	mu      sync.Mutex // guards the fields below
	entries map[string]entry
	size    int  // what all entries take of the quota
	dirty   bool // changed since the last snapshot
}

// New returns an empty store.
func New(limits Limits) *Store { return &Store{limits: limits, entries: map[string]entry{}} }

// Len is how many entries there are, and what they take of the quota. Those that have expired count until their room is
// needed.
func (s *Store) Len() (entries, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries), s.size
}

// fits tells whether a store of so many entries and such a size is within the quota.
func (l *Limits) fits(entries, size int) bool { return size <= l.Bytes && entries <= l.Entries }

// sweep drops what has expired. The store is locked.
func (s *Store) sweep(now time.Time) {
	for key, e := range s.entries {
		if e.expired(now) {
			s.size -= entrySize(key, e)
			delete(s.entries, key)
			s.dirty = true
		}
	}
}
