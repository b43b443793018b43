// Package memorydisk implements a storage.Disk in memory, for tests and simulations. It simulates process crashes, power loss, a full
// disk and failed operations, and counts operations. The same seeds and calls give the same outcome.
//
// The model: a write is visible in the page cache at once, also to later processes, and durable once the file has been synced. A
// name is durable once the directory has been synced. A process crash (Kill, CrashAt) loses nothing that was written. After a power
// loss (LosePower), each unsynced write is independently applied, torn or lost, and each unsynced change of a name applied or lost.
// That is more than any one file system allows, so code that tolerates it depends on no file system's ordering. A write whose sync
// has failed is lost at the next power loss, even if a later sync succeeds, although reads show it until then.
package memorydisk

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"

	"mastusher/internal/tier/storage"
)

// ErrCrashed is returned by each call after a crash set by CrashAt, and by each call on a file that is closed or that an earlier
// process opened.
var ErrCrashed = errors.New("process has crashed")

// Operation is a kind of operation on a disk.
type Operation string

// The kinds of operation. Create and the kinds after it are changes, which CrashAt counts.
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

// isChange reports whether this kind of operation changes the disk.
func (o Operation) isChange() bool { return o != Open && o != Read && o != List }

// Effect is how much of an operation is applied if the process crashes during it.
type Effect uint8

// The effects.
const (
	NotApplied Effect = iota
	Torn              // only the first half of a write; nothing of any other operation
	Applied           // the complete operation, although its caller gets ErrCrashed
)

// Counts holds the numbers of operations on a disk so far.
type Counts struct {
	Writes       int
	BytesWritten int64
	Syncs        int // of files
	DirSyncs     int
	Changes      int // operations that change the disk, including writes and syncs, and those during which the process crashed
}

// Disk is a storage.Disk in memory. It is safe for concurrent use.
type Disk struct {
	mutex        sync.Mutex
	names        map[string]*inode
	durableNames map[string]*inode // names at the last sync of the directory
	process      int               // number of the current process; files opened by earlier ones are unusable
	capacity     int64             // in bytes; 0 for no limit
	used         int64             // total length of all files
	counts       Counts
	fault        func(kind Operation, name string) error

	crashArmed  bool
	crashAfter  int // changes before the one that crashes
	crashEffect Effect
	crashed     bool
}

var _ storage.Disk = (*Disk)(nil)

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durableNames: map[string]*inode{}}
}

// SetCapacity limits the total length of all files, in bytes; 0 removes the limit. A write beyond it is short and returns ENOSPC.
func (d *Disk) SetCapacity(bytes int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// InjectFaults sets a function that is called before each operation, with the disk locked. If it returns an error, the operation
// fails with that error and does nothing, except that a failed Sync marks the file's unsynced writes as lost: they vanish at the
// next power loss even if a later Sync succeeds. A nil function removes the faults.
func (d *Disk) InjectFaults(fault func(kind Operation, name string) error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fault = fault
}

// CrashAt makes the process crash during a later change, counted from 0. The effect says how much of that change is applied. It and
// all later calls return ErrCrashed until Kill or LosePower starts the next process.
func (d *Disk) CrashAt(change int, effect Effect) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.crashArmed, d.crashAfter, d.crashEffect = true, change, effect
}

// Crashed reports whether the process has crashed at the change set by CrashAt, and no new process has started.
func (d *Disk) Crashed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.crashed
}

// Counts returns the numbers of operations so far.
func (d *Disk) Counts() Counts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.counts
}

// begin is called at the start of each operation. It returns how much of the operation to apply, and the error for its caller.
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

// unlink removes a name, if it exists, and frees the space of its file.
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

// sortedNames returns the names of all files, sorted.
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
