// Package memorydisk is a storage.Disk in memory, for tests and simulations. It crashes, loses power, fills up and fails as a
// machine's disk does, and counts the operations on it. The same seeds and calls give the same outcome.
//
// The model: a write is in the page cache at once, where every later process sees it, and durable once its file was synced; a
// name is durable once the directory was synced. A crash of the process (Kill, CrashAt) loses nothing that was written. A loss of
// power (LosePower) leaves each unsynced write and name by itself applied, torn or lost, in any combination: more than any one
// file system allows, so that code that survives it depends on no file system's ordering. A write whose sync has failed is lost
// with the power for good, though reads still show it.
package memorydisk

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"

	"mastusher/internal/tier/storage"
)

// ErrCrashed is returned by each call after a crash of CrashAt, and by each call on a file that an earlier process opened.
var ErrCrashed = errors.New("process has crashed")

// Operation is a kind of operation on a disk.
type Operation string

// The kinds of operation. Those from Create on are changes, which CrashAt counts.
const (
	Open     Operation = "open"
	Read     Operation = "read"
	List     Operation = "list"
	Create   Operation = "create"
	Write    Operation = "write"
	Truncate Operation = "truncate"
	Sync     Operation = "sync"
	SyncDir  Operation = "sync directory"
	Rename   Operation = "rename"
	Remove   Operation = "remove"
)

// isChange reports whether an operation of this kind changes something.
func (o Operation) isChange() bool { return o != Open && o != Read && o != List }

// Effect is how much of the operation at which a process crashes still happens.
type Effect uint8

// The effects.
const (
	NotApplied Effect = iota
	Torn              // the first half of a write; of any other operation nothing
	Applied           // all of it, though its caller gets ErrCrashed
)

// Counts are the operations on a disk so far. Those that failed or crashed count among Changes only.
type Counts struct {
	Writes       int
	BytesWritten int64
	Syncs        int // of files
	DirSyncs     int
	Changes      int // operations that change something, writes and syncs included
}

// Disk is a disk in memory. It is safe for concurrent use.
type Disk struct {
	mutex        sync.Mutex
	names        map[string]*inode
	durableNames map[string]*inode // names as of the last sync of the directory
	process      int               // number of the process that may use the disk
	capacity     int64             // in bytes; 0: unlimited
	used         int64
	counts       Counts
	fault        func(kind Operation, name string) error

	crashArmed  bool
	crashAfter  int // changes until the crash
	crashEffect Effect
	crashed     bool
}

var _ storage.Disk = (*Disk)(nil)

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durableNames: map[string]*inode{}}
}

// SetCapacity limits the length of all files together, in bytes; 0: unlimited. A write beyond it is short and returns ENOSPC.
func (d *Disk) SetCapacity(bytes int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// InjectFaults sets a function that is called before each operation, with the disk locked; its error, if any, is the operation's.
// A failed operation does nothing, except that the writes before a failed sync of a file are lost with the power, also if a
// later sync succeeds. Nil removes it.
func (d *Disk) InjectFaults(fault func(kind Operation, name string) error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fault = fault
}

// CrashAt crashes the process at a change, counted from 0 at this call. That change has the effect; all calls from it on
// return ErrCrashed until Kill or LosePower starts the next process.
func (d *Disk) CrashAt(change int, effect Effect) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.crashArmed, d.crashAfter, d.crashEffect = true, change, effect
}

// Crashed reports whether the process has crashed at the change of CrashAt.
func (d *Disk) Crashed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.crashed
}

// Counts returns the operations so far.
func (d *Disk) Counts() Counts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.counts
}

// begin starts an operation. The error is what its caller gets; the effect is how much of it still happens.
func (d *Disk) begin(kind Operation, name string, process int) (Effect, error) {
	if d.crashed || process != d.process {
		return NotApplied, ErrCrashed
	}
	if d.fault != nil {
		if err := d.fault(kind, name); err != nil {
			return NotApplied, err
		}
	}
	if !kind.isChange() {
		return Applied, nil
	}
	d.counts.Changes++
	if !d.crashArmed {
		return Applied, nil
	}
	d.crashAfter--
	if d.crashAfter >= 0 {
		return Applied, nil
	}
	d.crashArmed, d.crashed = false, true
	return d.crashEffect, ErrCrashed
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

// unlink removes a name and frees its file's space.
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
	d.durableNames = maps.Clone(d.names)
	return err
}
