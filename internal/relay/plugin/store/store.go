// Package store is a plug-in's small memory: keys and values under a quota, which a call changes as a whole or not
// at all, and which a snapshot carries over a restart.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Limits bounds a store.
type Limits struct {
	Bytes     int // of all keys and values, each counted with 32 more
	Entries   int
	KeySize   int
	ValueSize int
}

const entryOverhead = 32

// Why a key was not set.
var (
	ErrKey   = errors.New("store: the key is empty or too long")
	ErrValue = errors.New("store: the value is too long")
	ErrFull  = errors.New("store: over its quota")
)

type entry struct {
	value     []byte
	expiresAt time.Time // zero: for good
}

func (e entry) expired(now time.Time) bool { return !e.expiresAt.IsZero() && !now.Before(e.expiresAt) }

// Store is safe for concurrent use.
type Store struct {
	limits  Limits
	mu      sync.Mutex
	entries map[string]entry
	size    int
	dirty   bool
}

// New returns an empty store.
func New(lim Limits) *Store { return &Store{limits: lim, entries: map[string]entry{}} }

// Tx is what one call reads and writes; nothing of it stays unless it is committed.
type Tx struct {
	store   *Store
	now     time.Time
	changes map[string]entry // nil value: deleted
}

// Begin returns a transaction at a time.
func (s *Store) Begin(now time.Time) *Tx { return &Tx{store: s, now: now} }

// Get returns a value; false: there is none. It must not be written to.
func (t *Tx) Get(key string) ([]byte, bool) {
	if e, ok := t.changes[key]; ok {
		return e.value, e.value != nil
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	e, ok := t.store.entries[key]
	if !ok || e.expired(t.now) {
		return nil, false
	}
	return e.value, true
}

// Set notes a value, for a time or, with 0, for good. The quota is checked when the call is over too, since others
// write meanwhile.
func (t *Tx) Set(key string, value []byte, ttl time.Duration) error {
	switch {
	case key == "" || len(key) > t.store.limits.KeySize:
		return ErrKey
	case len(value) > t.store.limits.ValueSize:
		return ErrValue
	}
	before, had := t.changes[key]
	e := entry{value: append([]byte{}, value...)}
	if ttl > 0 {
		e.expiresAt = t.now.Add(ttl)
	}
	if t.changes == nil {
		t.changes = map[string]entry{}
	}
	t.changes[key] = e
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	if size, n := t.after(); size > t.store.limits.Bytes || n > t.store.limits.Entries {
		if t.store.sweep(t.now); true {
			size, n = t.after()
		}
		if size > t.store.limits.Bytes || n > t.store.limits.Entries {
			if delete(t.changes, key); had {
				t.changes[key] = before
			}
			return ErrFull
		}
	}
	return nil
}

// Delete drops a key.
func (t *Tx) Delete(key string) {
	if t.changes == nil {
		t.changes = map[string]entry{}
	}
	t.changes[key] = entry{}
}

// after is what the store would come to. The store is locked.
func (t *Tx) after() (size, n int) {
	size, n = t.store.size, len(t.store.entries)
	for k, e := range t.changes {
		if old, ok := t.store.entries[k]; ok {
			size -= cost(k, old)
			n--
		}
		if e.value != nil {
			size += cost(k, e)
			n++
		}
	}
	return size, n
}

// Commit makes what was noted the store's; where others have filled it meanwhile, nothing is.
func (t *Tx) Commit() error {
	if len(t.changes) == 0 {
		return nil
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	size, n := t.after()
	if size > t.store.limits.Bytes || n > t.store.limits.Entries {
		return ErrFull
	}
	for k, e := range t.changes {
		if e.value == nil {
			delete(t.store.entries, k)
		} else {
			t.store.entries[k] = e
		}
	}
	t.store.size, t.store.dirty, t.changes = size, true, nil
	return nil
}

func cost(k string, e entry) int { return len(k) + len(e.value) + entryOverhead }

// sweep drops what is out of date. The store is locked.
func (s *Store) sweep(now time.Time) {
	for k, e := range s.entries {
		if e.expired(now) {
			s.size -= cost(k, e)
			delete(s.entries, k)
			s.dirty = true
		}
	}
}

// Len is how many entries there are, and what they come to.
func (s *Store) Len() (n, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries), s.size
}

// The snapshot: magic with the version, a checksum of the rest, and one CBOR value.
const (
	magic   = "MPS\x01"
	headLen = len(magic) + 8
)

type snapshot struct {
	Plugin  string            `cbor:"1,keyasint"`
	SavedAt int64             `cbor:"2,keyasint"` // Unix ms
	Values  map[string][]byte `cbor:"3,keyasint"`
	Left    map[string]int64  `cbor:"4,keyasint,omitempty"` // ms that a value was still good for
}

// Save writes a snapshot in one step if anything has changed since the last.
func (s *Store) Save(file, plugin string, now time.Time) error {
	s.mu.Lock()
	if !s.dirty {
		s.mu.Unlock()
		return nil
	}
	s.sweep(now)
	snap := snapshot{Plugin: plugin, SavedAt: now.UnixMilli(), Values: map[string][]byte{}, Left: map[string]int64{}}
	for k, e := range s.entries {
		snap.Values[k] = e.value
		if !e.expiresAt.IsZero() {
			snap.Left[k] = e.expiresAt.Sub(now).Milliseconds()
		}
	}
	s.dirty = false
	s.mu.Unlock()
	err := write(file, snap)
	if err != nil {
		s.mu.Lock()
		s.dirty = true
		s.mu.Unlock()
	}
	return err
}

func write(file string, snap snapshot) error {
	body, err := cbor.Marshal(snap)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	text := append(binary.LittleEndian.AppendUint64([]byte(magic), xxhash.Sum64(body)), body...)
	next := file + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := os.Rename(next, file); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Load takes a snapshot over, aged by the time since it was saved; where the clock went backwards the age is
// unknown, and what was to last only for a time is dropped. A file that is missing is no error; one that is
// damaged or of another version is, and leaves the store empty.
func (s *Store) Load(file, plugin string, now time.Time) error {
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	switch {
	case len(text) < headLen || string(text[:3]) != magic[:3]:
		return errors.New("store: not a snapshot")
	case text[3] != magic[3]:
		return fmt.Errorf("store: a snapshot of version %d, this program reads %d", text[3], magic[3])
	case xxhash.Sum64(text[headLen:]) != binary.LittleEndian.Uint64(text[len(magic):]):
		return errors.New("store: the snapshot is damaged")
	}
	var snap snapshot
	if err := cbor.Unmarshal(text[headLen:], &snap); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if snap.Plugin != plugin {
		return fmt.Errorf("store: the snapshot is of plug-in %q", snap.Plugin)
	}
	age := now.Sub(time.UnixMilli(snap.SavedAt))
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range snap.Values {
		e := entry{value: v}
		if v == nil {
			e.value = []byte{}
		}
		if ms, ok := snap.Left[k]; ok {
			e.expiresAt = now.Add(time.Duration(ms)*time.Millisecond - age)
			if age < 0 || e.expired(now) {
				continue
			}
		}
		if s.size+cost(k, e) > s.limits.Bytes || len(s.entries) >= s.limits.Entries {
			continue // the quota is smaller now
		}
		s.entries[k] = e
		s.size += cost(k, e)
	}
	return nil
}

// File is where a plug-in's snapshot stands.
func File(dir, plugin string) string { return filepath.Join(dir, plugin+".store") }
