package command

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/wait"
)

// threshold is the share of its memory or disk from which on a store has a degree of fullness, and the share of both below which it has it
// no more. Larger shares use more of the machine, but leave less for work in progress: queued messages, a snapshot that is being received,
// and garbage between two collections.
type threshold struct{ enter, leave float64 }

// thresholds are the shares of each degree.
var thresholds = map[store.Fullness]threshold{
	store.ShortOfBulk: {enter: 0.75, leave: 0.70},
	store.Near:        {enter: 0.85, leave: 0.78},
	store.Full:        {enter: 0.93, leave: 0.88},
}

// limitInterval is the interval at which a store's use of memory and disk is measured.
const limitInterval = 100 * time.Millisecond

// collectInterval is the interval at which a store that rejects commands collects its garbage and returns memory to the system. Without
// it, what has expired would count as used until the garbage collector runs by itself, in an idle process after two minutes.
const collectInterval = 5 * time.Second

// limitMonitor compares a store's use of memory and disk with the limits of its settings. A limit of 0 means no limit.
type limitMonitor struct {
	memoryLimit int64 // bytes
	diskLimit   int64 // bytes
	logger      log.Logger
	current     atomic.Int64 // a store.Fullness
	collected   time.Time    // when garbage was last collected for lack of memory
}

func newLimitMonitor(limits settings.Limits, logger log.Logger) *limitMonitor {
	return &limitMonitor{memoryLimit: limits.MemoryMb << 20, diskLimit: limits.DiskMb << 20, logger: logger}
}

// fullness returns the store's fullness as last measured.
func (m *limitMonitor) fullness() store.Fullness { return store.Fullness(m.current.Load()) }

// run checks a store periodically until ctx ends.
func (m *limitMonitor) run(ctx context.Context, shards *store.Store) {
	wait.Every(ctx, limitInterval, func() {
		_, stats := shards.Stats()
		// A compaction writes a second snapshot before it removes the first one.
		m.observe(usedMemory(), 2*stats.SnapshotBytes+stats.LogBytes)
		if m.isCollectionDue(time.Now()) {
			debug.FreeOSMemory()
		}
	})
}

// isCollectionDue reports whether garbage is to be collected, since the store rejects commands and has not collected for collectInterval.
func (m *limitMonitor) isCollectionDue(now time.Time) bool {
	if m.fullness() == store.Roomy || now.Sub(m.collected) < collectInterval {
		return false
	}
	m.collected = now
	return true
}

// observe updates the state from the bytes of memory and disk in use.
func (m *limitMonitor) observe(memory, disk int64) {
	before := m.fullness()
	now := store.Roomy
	for degree := store.ShortOfBulk; degree <= store.Full; degree++ {
		share := thresholds[degree].enter
		if before >= degree {
			share = thresholds[degree].leave
		}
		if isOver(memory, m.memoryLimit, share) || isOver(disk, m.diskLimit, share) {
			now = degree
		}
	}
	if now == before {
		return
	}
	m.current.Store(int64(now))
	level.Warn(m.logger).Log("msg", "storage limit state changed", "near", now >= store.Near, "fullness", now, "memoryKB", memory>>10,
		"memoryLimitKB", m.memoryLimit>>10, "diskKB", disk>>10, "diskLimitKB", m.diskLimit>>10)
}

func isOver(used, limit int64, share float64) bool {
	return limit > 0 && float64(used) >= share*float64(limit)
}
