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

// A snapshot is magic, which ends with the version, a checksum of the rest, and one CBOR value.
const (
	magic         = "MPS\x01"
	versionOffset = len(magic) - 1
	headerSize    = len(magic) + 8
)

// Why a snapshot was not loaded, beside *VersionError, *OwnerError and errors of reading the file.
var (
	ErrNoSnapshot = errors.New("store: not a snapshot")
	ErrCorrupt    = errors.New("store: the snapshot is damaged")
)

// VersionError says that a snapshot has a version of the format that this program does not read.
type VersionError struct{ Version byte }

// Error has both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("store: a snapshot of version %d, this program reads %d", e.Version, magic[versionOffset])
}

// OwnerError says that a snapshot is another plug-in's.
type OwnerError struct{ Plugin string }

// Error names the plug-in that has saved the snapshot.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("store: the snapshot is of plug-in %q", e.Plugin)
}

// snapshot is the CBOR value.
type snapshot struct {
	Plugin  string            `cbor:"1,keyasint"`
	SavedAt int64             `cbor:"2,keyasint"` // Unix ms
	Values  map[string][]byte `cbor:"3,keyasint"`
	Left    map[string]int64  `cbor:"4,keyasint,omitempty"` // ms that a value was still good for
}

// File is where a plug-in's snapshot stands.
func File(dir, plugin string) string { return filepath.Join(dir, plugin+".store") }

// Save writes a snapshot in one step if anything has changed since the last. Where it fails, the next Save tries again.
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

// takeSnapshot returns what the store holds, and takes it for saved; false: nothing has changed.
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

// write replaces a file by the snapshot.
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

// decodeSnapshot checks and decodes a snapshot's file.
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

// Load takes a snapshot over, aged by the time since it was saved; where the clock went backwards the age is
// unknown, and what was to last only for a time is dropped, as is what the quota has no room for. A file that is missing is no
// error; one that is damaged or of another version is, and leaves the store empty. It is called on an empty store.
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

// entry is what a key of the snapshot holds at a later time; false: it has expired, or may have.
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
