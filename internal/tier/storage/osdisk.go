package storage

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/gravitational/trace"
)

// filePermissions are the permissions of new files.
const filePermissions = 0o600

// OSDisk is a Disk in a directory of the operating system.
type OSDisk struct {
	root string
	dir  *os.File // kept open for SyncDir
}

// OpenOSDisk opens an existing directory. The error is the operating system's, converted by package trace.
func OpenOSDisk(root string) (*OSDisk, error) {
	dir, err := os.Open(root)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &OSDisk{root: root, dir: dir}, nil
}

// Close closes the directory. It doesn't close open files.
func (o *OSDisk) Close() error { return o.dir.Close() }

// Open implements Disk.
func (o *OSDisk) Open(name string) (File, error) { return o.open(name, os.O_RDWR) }

// Create implements Disk.
func (o *OSDisk) Create(name string) (File, error) {
	return o.open(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// open opens a file with the flags of os.OpenFile.
func (o *OSDisk) open(name string, flags int) (File, error) {
	file, err := os.OpenFile(o.path(name), flags, filePermissions)
	if err != nil {
		return nil, err
	}
	status, err := file.Stat()
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return &osFile{file: file, descriptor: int(file.Fd()), end: status.Size()}, nil
}

// path returns the path of the file with a name.
func (o *OSDisk) path(name string) string { return filepath.Join(o.root, name) }

// Rename implements Disk.
func (o *OSDisk) Rename(from, to string) error { return os.Rename(o.path(from), o.path(to)) }

// Remove implements Disk.
func (o *OSDisk) Remove(name string) error { return os.Remove(o.path(name)) }

// List implements Disk.
func (o *OSDisk) List() ([]string, error) {
	dir, err := os.Open(o.root)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	slices.Sort(names)
	return names, err
}

// SyncDir implements Disk.
func (o *OSDisk) SyncDir() error { return o.dir.Sync() }

// osFile is a File of the operating system.
type osFile struct {
	file       *os.File
	descriptor int
	end        int64 // offset of the next write
}

// ReadAt implements File.
func (f *osFile) ReadAt(data []byte, offset int64) (int, error) { return f.file.ReadAt(data, offset) }

// ReadAll implements File.
func (f *osFile) ReadAll() ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	_, err = io.ReadFull(io.NewSectionReader(f.file, 0, size), data)
	return data, err
}

// Write implements File.
func (f *osFile) Write(data []byte) (int, error) {
	count, err := f.file.WriteAt(data, f.end)
	f.end += int64(count)
	return count, err
}

// Truncate implements File.
func (f *osFile) Truncate(size int64) error {
	if err := f.file.Truncate(size); err != nil {
		return err
	}
	f.end = size
	return nil
}

// Size implements File.
func (f *osFile) Size() (int64, error) {
	status, err := f.file.Stat()
	if err != nil {
		return 0, err
	}
	return status.Size(), nil
}

// Sync implements File. It repeats a call that was interrupted by a signal, but never one that failed.
func (f *osFile) Sync() error {
	for {
		err := syscall.Fdatasync(f.descriptor)
		if err == nil {
			return nil
		}
		if err != syscall.EINTR {
			return os.NewSyscallError("fdatasync", err)
		}
	}
}

// Close implements File.
func (f *osFile) Close() error {
	f.descriptor = -1 // the operating system may reuse the number for another file
	return f.file.Close()
}
