package simulation

import (
	"time"

	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// stallPollInterval is how often a blocked operation checks whether its disk is still stalled.
const stallPollInterval = 10 * time.Millisecond

// disk is the disk of a machine. The fleet's mutex guards its fields.
type disk struct {
	memory   *memorydisk.Disk
	syncTime time.Duration
	stalled  bool
}

// processDisk is a machine's disk as one process sees it: each sync takes syncTime, operations block while the machine is frozen
// or the disk is stalled, and they fail once the process has ended.
type processDisk struct {
	process *process
	files   *memorydisk.Disk
}

var _ storage.Disk = (*processDisk)(nil)

// await waits until an operation may proceed. It waits before the operation takes the lock of the memory disk.
func (d *processDisk) await(sync bool) error {
	p := d.process
	if sync {
		time.Sleep(p.machine.syncTime())
	}
	for p.machine.diskStalls() && !p.isDead() {
		time.Sleep(stallPollInterval)
	}
	if err := p.network.AwaitThaw(); err != nil {
		return memorydisk.ErrCrashed
	}
	return nil
}

// Open implements storage.Disk.
func (d *processDisk) Open(name string) (storage.File, error) {
	if err := d.await(false); err != nil {
		return nil, err
	}
	return d.wrap(d.files.Open(name))
}

// Create implements storage.Disk.
func (d *processDisk) Create(name string) (storage.File, error) {
	if err := d.await(false); err != nil {
		return nil, err
	}
	return d.wrap(d.files.Create(name))
}

func (d *processDisk) wrap(opened storage.File, err error) (storage.File, error) {
	if err != nil {
		return nil, err
	}
	return &processFile{File: opened, disk: d}, nil
}

// Rename implements storage.Disk.
func (d *processDisk) Rename(from, to string) error {
	if err := d.await(false); err != nil {
		return err
	}
	return d.files.Rename(from, to)
}

// Remove implements storage.Disk.
func (d *processDisk) Remove(name string) error {
	if err := d.await(false); err != nil {
		return err
	}
	return d.files.Remove(name)
}

// List implements storage.Disk.
func (d *processDisk) List() ([]string, error) {
	if err := d.await(false); err != nil {
		return nil, err
	}
	return d.files.List()
}

// SyncDir implements storage.Disk.
func (d *processDisk) SyncDir() error {
	if err := d.await(true); err != nil {
		return err
	}
	return d.files.SyncDir()
}

// processFile is an open file of a process.
type processFile struct {
	storage.File
	disk *processDisk
}

// ReadAll implements storage.File.
func (f *processFile) ReadAll() ([]byte, error) {
	if err := f.disk.await(false); err != nil {
		return nil, err
	}
	return f.File.ReadAll()
}

// Write implements storage.File.
func (f *processFile) Write(data []byte) (int, error) {
	if err := f.disk.await(false); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

// Truncate implements storage.File.
func (f *processFile) Truncate(size int64) error {
	if err := f.disk.await(false); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// Sync implements storage.File.
func (f *processFile) Sync() error {
	if err := f.disk.await(true); err != nil {
		return err
	}
	return f.File.Sync()
}
