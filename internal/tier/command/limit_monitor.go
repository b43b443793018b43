package command

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/wait"
)

// A store is near a limit once it uses nearLimitShare of its memory or disk, until it uses less than farFromLimitShare of both. Larger
// shares use more of the machine, but leave less for work in progress: queued messages, a snapshot that is being received, and garbage
// between two collections.
const (
	nearLimitShare    = 0.85
	farFromLimitShare = 0.78
	limitInterval     = 200 * time.Millisecond
)

// limitMonitor compares a store's use of memory and disk with the limits of its settings. A limit of 0 means no limit.
type limitMonitor struct {
	memoryLimit int64 // bytes
	diskLimit   int64 // bytes
	logger      log.Logger
	near        atomic.Bool
}

func newLimitMonitor(limits settings.Limits, logger log.Logger) *limitMonitor {
	return &limitMonitor{memoryLimit: limits.MemoryMb << 20, diskLimit: limits.DiskMb << 20, logger: logger}
}

// isNear reports whether the store should reject new programs.
func (m *limitMonitor) isNear() bool { return m.near.Load() }

// run checks a store periodically until ctx ends.
func (m *limitMonitor) run(ctx context.Context, shards *store.Store) {
	wait.Every(ctx, limitInterval, func() {
		_, stats := shards.Stats()
		// A compaction writes a second snapshot before it removes the first one.
		m.observe(usedMemory(), 2*stats.SnapshotBytes+stats.LogBytes)
	})
}

// observe updates the state from the bytes of memory and disk in use.
func (m *limitMonitor) observe(memory, disk int64) {
	share := nearLimitShare
	if m.isNear() {
		share = farFromLimitShare
	}
	near := isOver(memory, m.memoryLimit, share) || isOver(disk, m.diskLimit, share)
	if m.near.Swap(near) != near {
		level.Warn(m.logger).Log("msg", "storage limit state changed", "near", near, "memoryKB", memory>>10, "memoryLimitKB", m.memoryLimit>>10,
			"diskKB", disk>>10, "diskLimitKB", m.diskLimit>>10)
	}
}

func isOver(used, limit int64, share float64) bool {
	return limit > 0 && float64(used) >= share*float64(limit)
}
