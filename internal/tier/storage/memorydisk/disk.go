// Package memorydisk is a disk in memory for tests. It loses power, is killed, fills up and fails as a machine's disk does,
// and counts what is asked of it. The same seeds and calls give the same outcome.
package memorydisk

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"

	"mastusher/internal/tier/storage"
)

// ErrCrashed is the answer to each call of a process that was stopped by CrashAt, or to a file of an earlier process.
var ErrCrashed = errors.New("the process has ended")

// Operation tells what is asked of the disk.
type Operation string

// The kinds of operation. Those from Create on change something and count for CrashAt.
const (
	Open     Operation = "open"
	Read     Operation = "read"
	List     Operation = "list"
	Create   Operation = "create"
	Write    Operation = "write"
	Truncate Operation = "truncate"
	Sync     Operation = "sync"
	SyncDir  Operation = "sync folder"
	Rename   Operation = "rename"
	Remove   Operation = "remove"
)

// changes tells whether an operation of this kind changes something.
func (k Operation) changes() bool { return k != Open && k != Read && k != List }

// Effect is what the operation at which a process is stopped still does.
type Effect uint8

// The effects.
const (
	NotApplied Effect = iota
	Torn              // of a write; no other operation has a half, so it has none
	Applied           // but its caller does not learn of it
)

// Counts is what was asked of a disk so far.
type Counts struct {
	Writes       int
	BytesWritten int64
	Syncs        int // of files
	DirSyncs     int
	Changes      int // operations that change something, these included
}

// Disk is a disk in memory. It is safe for concurrent use.
type Disk struct {
	mutex    sync.Mutex
	names    map[string]*inode
	lasting  map[string]*inode // names as of the last sync of the folder
	process  int               // that may use the disk
	capacity int64             // in bytes; 0: no bound
	used     int64
	counts   Counts
	inject   func(kind Operation, name string) error

	stopArmed  bool
	stopAfter  int // changes until the stop
	stopEffect Effect
	stopped    bool
}

var _ storage.Disk = (*Disk)(nil)

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, lasting: map[string]*inode{}}
}

// SetCapacity bounds the length of all files together. 0 takes the bound away.
func (d *Disk) SetCapacity(bytes int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// InjectFaults sets what is asked before each operation; its error, if any, is the operation's. A failed operation does nothing,
// except that the writes before a failed sync of a file are lost with the power, also if a later sync succeeds. Nil takes
// it away. It is called with the disk locked.
func (d *Disk) InjectFaults(inject func(kind Operation, name string) error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.inject = inject
}

// CrashAt ends the process at a change, counted from 0 at this call. That change has the effect; all calls from then on
// return ErrCrashed until Kill or LosePower starts the next process.
func (d *Disk) CrashAt(change int, effect Effect) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopArmed, d.stopAfter, d.stopEffect = true, change, effect
}

// Crashed tells whether the process was stopped by CrashAt.
func (d *Disk) Crashed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stopped
}

// Counts returns what was asked of the disk so far.
func (d *Disk) Counts() Counts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.counts
}

// begin starts an operation. The error is what its caller gets; the effect is what it still does.
func (d *Disk) begin(kind Operation, name string, process int) (Effect, error) {
	if d.stopped || process != d.process {
		return NotApplied, ErrCrashed
	}
	if d.inject != nil {
		if err := d.inject(kind, name); err != nil {
			return NotApplied, err
		}
	}
	if !kind.changes() {
		return Applied, nil
	}
	d.counts.Changes++
	if !d.stopArmed {
		return Applied, nil
	}
	d.stopAfter--
	if d.stopAfter >= 0 {
		return Applied, nil
	}
	d.stopArmed, d.stopped = false, true
	return d.stopEffect, ErrCrashed
}

// Open implements storage.Disk.
func (d *Disk) Open(name string) (storage.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, err := d.begin(Open, name, d.process); err != nil {
		return nil, err
	}
	node := d.names[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{disk: d, node: node, name: name, process: d.process}, nil
}

// Create implements storage.Disk.
func (d *Disk) Create(name string) (storage.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	effect, err := d.begin(Create, name, d.process)
	if effect != Applied {
		return nil, err
	}
	node := d.names[name]
	if node == nil {
		node = &inode{}
		d.names[name] = node
	}
	if len(node.content) > 0 {
		d.used -= int64(len(node.content))
		node.truncate(0)
	}
	return &file{disk: d, node: node, name: name, process: d.process}, err
}

// Rename implements storage.Disk.
func (d *Disk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	effect, err := d.begin(Rename, from, d.process)
	if effect != Applied {
		return err
	}
	node := d.names[from]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	d.unlink(to)
	delete(d.names, from)
	d.names[to] = node
	return err
}

// Remove implements storage.Disk.
func (d *Disk) Remove(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	effect, err := d.begin(Remove, name, d.process)
	if effect != Applied {
		return err
	}
	if d.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	d.unlink(name)
	return err
}

// unlink takes a name away and frees its file's space.
func (d *Disk) unlink(name string) {
	if node := d.names[name]; node != nil {
		d.used -= int64(len(node.content))
		delete(d.names, name)
	}
}

// List implements storage.Disk.
func (d *Disk) List() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, err := d.begin(List, "", d.process); err != nil {
		return nil, err
	}
	return d.sortedNames(), nil
}

// sortedNames returns all names in order.
func (d *Disk) sortedNames() []string { return slices.Sorted(maps.Keys(d.names)) }

// SyncDir implements storage.Disk.
func (d *Disk) SyncDir() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	effect, err := d.begin(SyncDir, "", d.process)
	if effect != Applied {
		return err
	}
	d.counts.DirSyncs++
	d.lasting = maps.Clone(d.names)
	return err
}
