package store

import (
	"errors"
	"io/fs"

	"github.com/go-kit/log/level"
)

// departedEnd ends the name of the file that marks a shard as one whose replica has moved away.
const departedEnd = ".departed"

// depart notes that the replica of a shard has moved away, also for later starts: what the disk still has of it isn't read again
// until it is wanted here. A mark that can't be written costs a later start that memory, and no more.
func (s *Store) depart(number int) {
	s.mutex.Lock()
	s.departed[number] = true
	s.mutex.Unlock()
	if err := s.mark(number); err != nil {
		level.Warn(s.options.Logger).Log("msg", "replica that has moved away cannot be marked", "shard", number, "err", err)
	}
}

func (s *Store) mark(number int) error {
	file, err := s.options.Disk.Create(groupName(number) + departedEnd)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return s.options.Disk.SyncDir()
}

// hasDeparted tells whether the replica of a shard has moved away, in this start or an earlier one.
func (s *Store) hasDeparted(number int) bool {
	s.mutex.Lock()
	departed := s.departed[number]
	s.mutex.Unlock()
	if departed {
		return true
	}
	file, err := s.options.Disk.Open(groupName(number) + departedEnd)
	if err != nil {
		return false
	}
	_ = file.Close() // nothing was written
	return true
}

// comeBack takes the note away that the replica of a shard has moved away, before it takes part again: from then on the next start
// opens it at once.
func (s *Store) comeBack(number int) error {
	if !s.hasDeparted(number) {
		return nil
	}
	if err := s.options.Disk.Remove(groupName(number) + departedEnd); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := s.options.Disk.SyncDir(); err != nil {
		return err
	}
	s.mutex.Lock()
	delete(s.departed, number)
	s.mutex.Unlock()
	return nil
}
