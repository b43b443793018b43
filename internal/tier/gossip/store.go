package gossip

import (
	"slices"

	"mastusher/internal/tier/view"
)

// Store holds the newest update of each section. The stamp of a section must never decrease. The zero stamp stands for no update.
type Store struct {
	sections []view.Section // sorted, so that results do not depend on map order
	updates  map[view.Section]view.Update
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{updates: map[view.Section]view.Update{}} }

// Put stores an update if it is newer than the stored one of its section, and reports whether it did.
func (s *Store) Put(update view.Update) bool {
	current, found := s.updates[update.Section]
	if found && !current.Stamp.Less(update.Stamp) {
		return false
	}
	if !found {
		position, _ := slices.BinarySearch(s.sections, update.Section)
		s.sections = slices.Insert(s.sections, position, update.Section)
	}
	s.updates[update.Section] = update
	return true
}

// Get returns the update of a section, or false if there is none.
func (s *Store) Get(section view.Section) (view.Update, bool) {
	update, found := s.updates[section]
	return update, found
}

// Stamp returns the stamp of a section, or zero if there is no update.
func (s *Store) Stamp(section view.Section) view.Stamp { return s.updates[section].Stamp }

// Digest returns the stamps of all sections. The caller owns the result.
func (s *Store) Digest() view.Digest {
	digest := make(view.Digest, len(s.sections))
	for _, section := range s.sections {
		digest[section] = s.updates[section].Stamp
	}
	return digest
}

// AtLeast returns the updates of the requested sections that have the requested stamp or a newer one.
func (s *Store) AtLeast(requested view.Digest) []view.Update {
	var updates []view.Update
	for _, section := range s.sections {
		stamp, found := requested[section]
		if found && !s.updates[section].Stamp.Less(stamp) {
			updates = append(updates, s.updates[section])
		}
	}
	return updates
}

// newerThan returns the stamps that are newer than in a digest, or nil if there are none. The sender of a complete digest lacks the
// sections that the digest does not contain; any other digest says nothing about them.
func (s *Store) newerThan(digest view.Digest, complete bool) view.Digest {
	var newer view.Digest
	for _, section := range s.sections {
		stamp, named := digest[section]
		if !named && !complete {
			continue
		}
		current := s.updates[section].Stamp
		if named && !stamp.Less(current) {
			continue
		}
		if newer == nil {
			newer = view.Digest{}
		}
		newer[section] = current
	}
	return newer
}
