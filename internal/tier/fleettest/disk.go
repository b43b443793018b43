package fleettest

import (
	"errors"
	"time"

	"mastusher/internal/tier/storage"
)

// errSync is the error of a sync of a failing disk.
var errSync = errors.New("input/output error")

// timedDisk is a machine's disk as one group uses it. Calls return at once; syncDuration adds up how long their syncs take, and
// whatever depends on them must be delayed by as much. The last sync makes its writes durable only after that time, so that a loss of
// power before then loses them.
type timedDisk struct {
	storage.Disk
	machine      *Machine
	syncDuration time.Duration
	pending      func() error // completes the sync in progress; nil: none
}

// completeSync completes the sync in progress, if any.
func (d *timedDisk) completeSync() error {
	pending := d.pending
	d.pending = nil
	if pending == nil {
		return nil
	}
	return pending()
}

// sync starts a sync, which run completes.
func (d *timedDisk) sync(run func() error) error {
	if err := d.completeSync(); err != nil {
		return err
	}
	d.syncDuration += d.machine.syncTime
	if d.machine.syncFails {
		return errSync
	}
	d.pending = run
	return nil
}

// Open implements storage.Disk.
func (d *timedDisk) Open(name string) (storage.File, error) {
	if err := d.completeSync(); err != nil {
		return nil, err
	}
	file, err := d.Disk.Open(name)
	return &timedFile{File: file, disk: d}, err
}

// Create implements storage.Disk.
func (d *timedDisk) Create(name string) (storage.File, error) {
	if err := d.completeSync(); err != nil {
		return nil, err
	}
	file, err := d.Disk.Create(name)
	return &timedFile{File: file, disk: d}, err
}

// Rename implements storage.Disk.
func (d *timedDisk) Rename(from, to string) error {
	if err := d.completeSync(); err != nil {
		return err
	}
	return d.Disk.Rename(from, to)
}

// Remove implements storage.Disk.
func (d *timedDisk) Remove(name string) error {
	if err := d.completeSync(); err != nil {
		return err
	}
	return d.Disk.Remove(name)
}

// SyncDir implements storage.Disk.
func (d *timedDisk) SyncDir() error { return d.sync(d.Disk.SyncDir) }

// timedFile is a file on a timedDisk.
type timedFile struct {
	storage.File
	disk *timedDisk
}

// Write implements storage.File.
func (f *timedFile) Write(data []byte) (int, error) {
	if err := f.disk.completeSync(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

// Truncate implements storage.File.
func (f *timedFile) Truncate(size int64) error {
	if err := f.disk.completeSync(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// Sync implements storage.File.
func (f *timedFile) Sync() error { return f.disk.sync(f.File.Sync) }

// Close implements storage.File.
func (f *timedFile) Close() error {
	if err := f.disk.completeSync(); err != nil {
		return err
	}
	return f.File.Close()
}
