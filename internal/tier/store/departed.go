package store

import (
	"errors"
	"io/fs"

	"github.com/go-kit/log/level"
)

// removalMarkerSuffix ends the name of the file that marks a shard as one whose replica has moved away.
const removalMarkerSuffix = ".departed"

// markRemoved notes that the replica of a shard has moved away, also for later starts: what the disk still has of it isn't read again
// until it is wanted here. A mark that can't be written costs a later start that memory, and no more.
func (s *Store) markRemoved(number int) {
	s.mutex.Lock()
	s.removed[number] = true
	s.mutex.Unlock()
	if err := s.writeRemovalMarker(number); err != nil {
		level.Warn(s.options.Logger).Log("msg", "replica that has moved away cannot be marked", "shard", number, "err", err)
	}
}

func (s *Store) writeRemovalMarker(number int) error {
	file, err := s.options.Disk.Create(groupName(number) + removalMarkerSuffix)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return s.options.Disk.SyncDir()
}

// isRemoved tells whether the replica of a shard has moved away, in this start or an earlier one.
func (s *Store) isRemoved(number int) bool {
	s.mutex.Lock()
	departed := s.removed[number]
	s.mutex.Unlock()
	if departed {
		return true
	}
	file, err := s.options.Disk.Open(groupName(number) + removalMarkerSuffix)
	if err != nil {
		return false
	}
	_ = file.Close() // nothing was written
	return true
}

// clearRemoved takes the note away that the replica of a shard has moved away, before it takes part again: from then on the next start
// opens it at once.
func (s *Store) clearRemoved(number int) error {
	if !s.isRemoved(number) {
		return nil
	}
	if err := s.options.Disk.Remove(groupName(number) + removalMarkerSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := s.options.Disk.SyncDir(); err != nil {
		return err
	}
	s.mutex.Lock()
	delete(s.removed, number)
	s.mutex.Unlock()
	return nil
}
