package gossip

import (
	"slices"

	"mastusher/internal/tier/view"
)

// Store holds the newest piece of each section. A section never goes back. The zero stamp stands for nothing held.
type Store struct {
	sections []view.Section // in order, so that nothing depends on the order of a map
	pieces   map[view.Section]view.Update
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{pieces: map[view.Section]view.Update{}} }

// Put keeps a piece if it is newer than what is held of its section, and tells whether it was.
func (s *Store) Put(piece view.Update) bool {
	held, found := s.pieces[piece.Section]
	if found && !held.Stamp.Less(piece.Stamp) {
		return false
	}
	if !found {
		position, _ := slices.BinarySearch(s.sections, piece.Section)
		s.sections = slices.Insert(s.sections, position, piece.Section)
	}
	s.pieces[piece.Section] = piece
	return true
}

// Get returns the piece of a section.
func (s *Store) Get(section view.Section) (view.Update, bool) {
	piece, found := s.pieces[section]
	return piece, found
}

// Stamp returns what is held of a section; zero: nothing.
func (s *Store) Stamp(section view.Section) view.Stamp { return s.pieces[section].Stamp }

// Digest tells what is held. The caller may keep it.
func (s *Store) Digest() view.Digest {
	digest := make(view.Digest, len(s.sections))
	for _, section := range s.sections {
		digest[section] = s.pieces[section].Stamp
	}
	return digest
}

// AtLeast returns the pieces that answer a fetch: those wanted that are held with that stamp or a newer one.
func (s *Store) AtLeast(wanted view.Digest) []view.Update {
	var pieces []view.Update
	for _, section := range s.sections {
		stamp, asked := wanted[section]
		if asked && !s.pieces[section].Stamp.Less(stamp) {
			pieces = append(pieces, s.pieces[section])
		}
	}
	return pieces
}

// newerThan tells which of the sections held are newer than a digest says; nil: none. A whole digest has nothing of the
// sections that it does not name; another one says nothing of them.
func (s *Store) newerThan(digest view.Digest, whole bool) view.Digest {
	var newer view.Digest
	for _, section := range s.sections {
		stamp, named := digest[section]
		if !named && !whole {
			continue
		}
		held := s.pieces[section].Stamp
		if named && !stamp.Less(held) {
			continue
		}
		if newer == nil {
			newer = view.Digest{}
		}
		newer[section] = held
	}
	return newer
}
