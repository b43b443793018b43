package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A snapshot file has the magic number, whose last byte is the format version, a checksum of the rest, and one CBOR value.
const (
	magic         = "MPS\x01"
	versionOffset = len(magic) - 1
	headerSize    = len(magic) + 8
)

// Errors of loading a snapshot, beside *VersionError, *OwnerError and errors of reading the file.
var (
	ErrNoSnapshot = errors.New("store: the file is not a snapshot")
	ErrCorrupt    = errors.New("store: the snapshot's checksum does not match")
)

// VersionError is returned for a snapshot in a format version that this program does not read.
type VersionError struct{ Version byte }

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("store: the snapshot has format version %d, want %d", e.Version, magic[versionOffset])
}

// OwnerError is returned for a snapshot of another plug-in.
type OwnerError struct{ Plugin string }

// Error names the plug-in that has saved the snapshot.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("store: the snapshot belongs to plug-in %q", e.Plugin)
}

// snapshot is the CBOR value of a snapshot file.
type snapshot struct {
	Plugin  string            `cbor:"1,keyasint"`
	SavedAt int64             `cbor:"2,keyasint"` // Unix ms
	Values  map[string][]byte `cbor:"3,keyasint"`
	Left    map[string]int64  `cbor:"4,keyasint,omitempty"` // ms from SavedAt until a value expires; none: it never does
}

// File returns the path of a plug-in's snapshot.
func File(dir, plugin string) string { return filepath.Join(dir, plugin+".store") }

// Save writes a snapshot atomically if anything has changed since the last one. After an error the next Save tries again.
func (s *Store) Save(file, plugin string, now time.Time) error {
	snap, changed := s.takeSnapshot(plugin, now)
	if !changed {
		return nil
	}
	err := snap.write(file)
	if err != nil {
		s.mu.Lock()
		s.dirty = true
		s.mu.Unlock()
	}
	return err
}

// takeSnapshot returns the store's content and marks it as saved; false: nothing has changed since the last snapshot.
func (s *Store) takeSnapshot(plugin string, now time.Time) (*snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dirty {
		return nil, false
	}
	s.sweep(now)
	snap := &snapshot{Plugin: plugin, SavedAt: now.UnixMilli(), Values: map[string][]byte{}, Left: map[string]int64{}}
	for key, e := range s.entries {
		snap.Values[key] = e.value
		if !e.expiresAt.IsZero() {
			snap.Left[key] = e.expiresAt.Sub(now).Milliseconds()
		}
	}
	s.dirty = false
	return snap, true
}

// write replaces a file by the snapshot atomically.
func (snap *snapshot) write(file string) error {
	body, err := cbor.Marshal(snap)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	text := binary.LittleEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	text = append(text, body...)
	next := file + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := os.Rename(next, file); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// decodeSnapshot checks and decodes the content of a snapshot file.
func decodeSnapshot(text []byte, plugin string) (*snapshot, error) {
	switch {
	case len(text) < headerSize || string(text[:versionOffset]) != magic[:versionOffset]:
		return nil, ErrNoSnapshot
	case text[versionOffset] != magic[versionOffset]:
		return nil, &VersionError{Version: text[versionOffset]}
	case xxhash.Sum64(text[headerSize:]) != binary.LittleEndian.Uint64(text[len(magic):]):
		return nil, ErrCorrupt
	}
	snap := &snapshot{}
	if err := cbor.Unmarshal(text[headerSize:], snap); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if snap.Plugin != plugin {
		return nil, &OwnerError{Plugin: snap.Plugin}
	}
	return snap, nil
}

// Load reads a snapshot into an empty store. The time since the snapshot was saved counts towards the expiry of its entries. If the
// clock was set back that time is unknown, and entries with an expiry are dropped; so are entries beyond the quota. A missing file is
// no error. After an error the store is empty.
func (s *Store) Load(file, plugin string, now time.Time) error {
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	snap, err := decodeSnapshot(text, plugin)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range snap.Values {
		e, ok := snap.entry(key, now)
		if ok && s.limits.fits(len(s.entries)+1, s.size+entrySize(key, e)) {
			s.entries[key] = e
			s.size += entrySize(key, e)
		}
	}
	return nil
}

// entry returns the entry of a key at a time after the snapshot was saved; false: it has expired, or its age is unknown.
func (snap *snapshot) entry(key string, now time.Time) (entry, bool) {
	e := entry{value: snap.Values[key]}
	if e.value == nil {
		e.value = []byte{}
	}
	left, expires := snap.Left[key]
	if !expires {
		return e, true
	}
	age := now.Sub(time.UnixMilli(snap.SavedAt))
	e.expiresAt = now.Add(time.Duration(left)*time.Millisecond - age)
	return e, age >= 0 && !e.expired(now)
}
