package store

import (
	"errors"
	"io/fs"

	"github.com/go-kit/log/level"
)

// removalMarkerSuffix is the suffix of the empty file that marks the replica of a shard as removed. Disks of earlier versions have
// such files.
const removalMarkerSuffix = ".departed"

// markRemoved marks the replica of a shard as removed, also for later starts: its remaining files are not read again until the shard
// is placed on this store. Without a marker a later start opens the replica again, which only costs memory.
func (s *Store) markRemoved(number int) {
	s.mutex.Lock()
	s.removed[number] = true
	s.mutex.Unlock()
	if err := s.writeRemovalMarker(number); err != nil {
		level.Warn(s.options.Logger).Log("msg", "marking removed replica failed", "shard", number, "err", err)
	}
}

func (s *Store) writeRemovalMarker(number int) error {
	file, err := s.options.Disk.Create(removalMarkerName(number))
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return s.options.Disk.SyncDir()
}

// isRemoved reports whether the replica of a shard was removed, by this process or an earlier one.
func (s *Store) isRemoved(number int) bool {
	s.mutex.Lock()
	removed := s.removed[number]
	s.mutex.Unlock()
	if removed {
		return true
	}
	file, err := s.options.Disk.Open(removalMarkerName(number))
	if err != nil {
		return false
	}
	_ = file.Close() // the file was only opened for reading
	return true
}

// clearRemoved removes the marker durably. This must happen before the replica takes part in its group, as the next start must then
// open it immediately: its votes and entries may count towards a majority.
func (s *Store) clearRemoved(number int) error {
	if !s.isRemoved(number) {
		return nil
	}
	if err := s.options.Disk.Remove(removalMarkerName(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
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

func removalMarkerName(number int) string { return groupName(number) + removalMarkerSuffix }
