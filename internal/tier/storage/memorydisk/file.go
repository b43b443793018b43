package memorydisk

import (
	"errors"
	"io"
	"syscall"

	"mastusher/internal/tier/storage"
)

// file is a file opened by one process.
type file struct {
	disk    *Disk
	node    *inode
	name    string
	process int
	closed  bool
}

var _ storage.File = (*file)(nil)

// begin starts an operation on the file.
func (f *file) begin(kind Operation) (Effect, error) {
	if f.closed {
		return NotApplied, ErrCrashed
	}
	return f.disk.begin(kind, f.name, f.process)
}

// ReadAt implements storage.File.
func (f *file) ReadAt(data []byte, offset int64) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if _, err := f.begin(Read); err != nil {
		return 0, err
	}
	if offset < 0 || offset > int64(len(f.node.content)) {
		return 0, io.EOF
	}
	count := copy(data, f.node.content[offset:])
	if count < len(data) {
		return count, io.EOF
	}
	return count, nil
}

// ReadAll implements storage.File.
func (f *file) ReadAll() ([]byte, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if _, err := f.begin(Read); err != nil {
		return nil, err
	}
	return append([]byte(nil), f.node.content...), nil
}

// Write implements storage.File. On a full disk it writes as much as there is space for.
func (f *file) Write(data []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	effect, err := f.begin(Write)
	if effect == NotApplied {
		return 0, err
	}
	if effect == Torn {
		data = data[:len(data)/2]
	}
	free := int64(len(data))
	if f.disk.capacity > 0 {
		free = max(0, f.disk.capacity-f.disk.used)
	}
	if int64(len(data)) > free {
		data, err = data[:free], syscall.ENOSPC
	}
	f.node.write(data)
	f.disk.used += int64(len(data))
	f.disk.counts.Writes++
	f.disk.counts.BytesWritten += int64(len(data))
	return len(data), err
}

// Truncate implements storage.File.
func (f *file) Truncate(size int64) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	effect, err := f.begin(Truncate)
	if effect != Applied {
		return err
	}
	f.disk.used += size - int64(len(f.node.content))
	f.node.truncate(size)
	return err
}

// Size implements storage.File.
func (f *file) Size() (int64, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if _, err := f.begin(Read); err != nil {
		return 0, err
	}
	return int64(len(f.node.content)), nil
}

// Sync implements storage.File.
func (f *file) Sync() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	effect, err := f.begin(Sync)
	if effect == Applied {
		f.disk.counts.Syncs++
		f.node.sync()
		return err
	}
	if !errors.Is(err, ErrCrashed) {
		f.node.markLost()
	}
	return err
}

// Close implements storage.File.
func (f *file) Close() error {
	f.closed = true
	return nil
}
