package command

import (
	"context"
	"math"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/wait"
)

// threshold is the share of a limit from which on a store has a degree of fullness, and the share below which it has it no more.
type threshold struct{ enter, leave float64 }

// none is a threshold that is never reached.
var none = threshold{enter: math.Inf(1), leave: math.Inf(1)}

// thresholds are the shares of a degree.
type thresholds struct {
	// used is the share of memory, or of disk, that is in use. Larger shares use more of the machine, but leave less for work in progress:
	// queued messages, a snapshot that is being received, and garbage between two collections.
	used threshold
	// contents is the share of memory that the contents of turns and the logs take, without work in progress and garbage. The memory between
	// the thresholds of large contents and the use from which on new programs are rejected is left to small contents.
	contents threshold
	// alongside is the share of memory that contents and logs must take besides if the use of memory is to count. Where they take less, work in
	// progress with large contents fills the memory, which rejecting small contents would not help.
	alongside threshold
}

// degrees are the thresholds of each degree.
var degrees = map[store.Fullness]thresholds{
	store.ShortOfBulk: {used: threshold{enter: 0.75, leave: 0.70}, contents: threshold{enter: 0.45, leave: 0.42}},
	store.OutOfBulk:   {used: threshold{enter: 0.80, leave: 0.74}, contents: threshold{enter: 0.50, leave: 0.47}},
	store.Near:        {used: threshold{enter: 0.85, leave: 0.78}, contents: none, alongside: threshold{enter: 0.55, leave: 0.50}},
	store.Full:        {used: threshold{enter: 0.93, leave: 0.88}, contents: none},
}

// usage is a store's use of memory and disk, in bytes.
type usage struct {
	memory   int64 // that the process has from the system
	contents int64 // of turns and logs, part of memory
	disk     int64
}

// limitInterval is the interval at which a store's use of memory and disk is measured.
const limitInterval = 100 * time.Millisecond

// collectInterval is the interval at which a store that rejects commands collects its garbage and returns memory to the system. Without
// it, expired contents would count as used until the garbage collector runs by itself, in an idle process after two minutes.
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

// contentsLimit returns the bytes of contents and logs from which on a store has a degree; 0: no limit.
func (m *limitMonitor) contentsLimit(degree store.Fullness) int64 {
	return int64(degrees[degree].contents.enter * float64(m.memoryLimit))
}

// run checks a store periodically until ctx ends.
func (m *limitMonitor) run(ctx context.Context, shards *store.Store) {
	wait.Every(ctx, limitInterval, func() {
		_, stats := shards.Stats()
		// A compaction writes a second snapshot before it removes the first one.
		m.observe(usage{memory: usedMemory(), contents: stats.ContentBytes(), disk: 2*stats.SnapshotBytes + stats.LogBytes})
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

// observe updates the fullness from a store's use of memory and disk.
func (m *limitMonitor) observe(now usage) {
	before := m.fullness()
	after := store.Roomy
	for degree := store.ShortOfBulk; degree <= store.Full; degree++ {
		if m.hasDegree(degree, before >= degree, now) {
			after = degree
		}
	}
	if after == before {
		return
	}
	m.current.Store(int64(after))
	level.Warn(m.logger).Log("msg", "storage limit state changed", "near", after >= store.Near, "fullness", after, "memoryKB", now.memory>>10,
		"memoryLimitKB", m.memoryLimit>>10, "diskKB", now.disk>>10, "diskLimitKB", m.diskLimit>>10, "contentsKB", now.contents>>10)
}

// hasDegree reports whether a store that uses so much has a degree, which it had before or not.
func (m *limitMonitor) hasDegree(degree store.Fullness, had bool, now usage) bool {
	used, contents := degrees[degree].used.share(had), degrees[degree].contents.share(had)
	if isOver(now.disk, m.diskLimit, used) || isOver(now.contents, m.memoryLimit, contents) {
		return true
	}
	return isOver(now.memory, m.memoryLimit, used) && isOver(now.contents, m.memoryLimit, degrees[degree].alongside.share(had))
}

// share returns the share that counts for a degree which a store had before or not.
func (t threshold) share(had bool) float64 {
	if had {
		return t.leave
	}
	return t.enter
}

func isOver(used, limit int64, share float64) bool {
	return limit > 0 && float64(used) >= share*float64(limit)
}
