package group

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// Open recovers the member from its disk. A disk that is damaged is an error, never an empty disk.
func Open(options Options) (*Group, error) {
	if options.CompactionBytes == 0 {
		options.CompactionBytes = defaultCompactBytes
	}
	if options.CompactionLock == nil {
		options.CompactionLock = &sync.Mutex{}
	}
	if options.Clock == nil {
		start := time.Now()
		options.Clock = func() time.Duration { return time.Since(start) }
	}
	if options.ReceiveLimiter == nil {
		options.ReceiveLimiter = NewSnapshotLimiter(1)
	}
	if options.QueueBudget == nil {
		options.QueueBudget = NewQueueBudget(defaultBudgetBytes)
	}
	g := &Group{options: options, origin: options.Replica.ID + "@" + strconv.FormatUint(options.Replica.Seed, 16),
		machine: inParts(options.StateMachine), heard: map[string]string{}, wake: make(chan struct{}, 1), calls: map[uint64]call{}}
	if err := g.machine.WriteChunks(g.keepBlank); err != nil {
		return nil, err
	}
	if err := g.recover(false); err != nil {
		return nil, err
	}
	g.publish()
	return g, nil
}

// Reopen recovers a broken member from its disk, as a new process would: nothing that memory held is kept. What the failed
// operation left behind has been cut off, as far as the disk allowed.
func (g *Group) Reopen() error {
	if g.disk != nil {
		_ = g.disk.Close() // it is broken
		g.disk = nil
	}
	if err := g.recover(true); err != nil {
		return err
	}
	g.takeInput()
	g.mutex.Lock()
	g.broken = nil
	g.mutex.Unlock()
	g.publish()
	return nil
}

// recover sets the member up with what its disk holds. A machine that has been in use begins anew.
func (g *Group) recover(used bool) error {
	disk, recovered, err := storage.Open(g.options.Disk, g.options.Name)
	if err != nil {
		return err
	}
	if err := g.begin(disk, &recovered); err != nil {
		_ = disk.Close()
		return err
	}
	if err := g.restore(disk, used); err != nil {
		_ = disk.Close()
		return err
	}
	member, err := replica.New(g.options.Replica, recovered, g.options.Clock())
	if err != nil {
		_ = disk.Close()
		return err
	}
	g.disk, g.member, g.promise, g.entries, g.base, g.compacted = disk, member, recovered.HardState, recovered.Entries, 0, 0
	if recovered.Snapshot != nil {
		g.base = recovered.Snapshot.Index
	}
	return nil
}

// begin writes the first members down at the first start, so that a later start doesn't have to be told them.
func (g *Group) begin(disk *storage.Group, recovered *replica.Recovered) error {
	untouched := recovered.Snapshot == nil && len(recovered.Entries) == 0 && recovered.HardState == replica.HardState{}
	if !untouched || len(g.options.Replica.InitialMembers) == 0 {
		return nil
	}
	first := replica.Snapshot{Members: g.options.Replica.InitialMembers}
	if err := disk.Compact(first, g.blankParts, nil, replica.HardState{}); err != nil {
		return err
	}
	first.Chunks = disk.SnapshotChunks()
	recovered.Snapshot = &first
	return nil
}

// keepBlank keeps a part of the state of a machine that has applied nothing.
func (g *Group) keepBlank(part json.RawMessage) error {
	g.blank = append(g.blank, bytes.Clone(part))
	return nil
}

// blankParts hands over what keepBlank has kept.
func (g *Group) blankParts(write func(part json.RawMessage) error) error {
	for _, part := range g.blank {
		if err := write(part); err != nil {
			return err
		}
	}
	return nil
}

// restore sets the machine to what the disk's snapshot holds, part by part; without one, to what it was in the beginning.
func (g *Group) restore(disk *storage.Group, used bool) error {
	parts := disk.ReadChunks
	if disk.SnapshotChunks() == 0 {
		if !used {
			return nil
		}
		parts = g.blankParts
	}
	restorer := g.machine.BeginRestore()
	if err := parts(restorer.Add); err != nil {
		return err
	}
	return restorer.Finish()
}
