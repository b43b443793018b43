package group

import (
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/replica"
)

// slowIteration is the duration from which an iteration is logged: it approaches the election timeouts after which other members campaign.
const slowIteration = 200 * time.Millisecond

// MemberStats holds the sizes of a member's state, snapshot and log.
type MemberStats struct {
	StateBytes    int64 // of the state machine, if it is a StateSizer; otherwise 0
	SnapshotBytes int64 // of the snapshot on disk
	LogBytes      int64 // of the log on disk after the snapshot
	Entries       int   // log entries in memory
}

// ContentBytes returns the bytes of the state and of the log, which are both in memory.
func (s MemberStats) ContentBytes() int64 { return s.StateBytes + s.LogBytes }

// Stats returns the member's sizes at the end of its last iteration.
func (g *Group) Stats() MemberStats {
	if stats := g.stats.Load(); stats != nil {
		return *stats
	}
	return MemberStats{}
}

func (g *Group) recordStats() {
	stats := MemberStats{StateBytes: g.stateBytes(), SnapshotBytes: g.disk.SnapshotBytes(), LogBytes: g.disk.LogBytes(), Entries: len(g.entries)}
	g.peakStateBytes = max(g.peakStateBytes, stats.StateBytes)
	g.stats.Store(&stats)
}

// stateBytes returns the size of the state, or 0 if the state machine doesn't report it.
func (g *Group) stateBytes() int64 {
	if sizer, ok := g.options.StateMachine.(StateSizer); ok {
		return sizer.StateBytes()
	}
	return 0
}

// phases measures the phases of an iteration.
type phases struct {
	clock                func() time.Duration
	began, last          time.Duration
	save, apply, compact time.Duration // saving to disk, applying committed commands, compaction
}

func startPhases(clock func() time.Duration) phases {
	now := clock()
	return phases{clock: clock, began: now, last: now}
}

// lap returns the time since the previous call, or since startPhases.
func (p *phases) lap() time.Duration {
	now := p.clock()
	elapsed := now - p.last
	p.last = now
	return elapsed
}

// logSlowIteration logs an iteration of at least slowRun, during which the member answered no messages.
func (g *Group) logSlowIteration(p *phases, ready *replica.Ready) {
	elapsed := p.last - p.began
	if elapsed < slowIteration {
		return
	}
	level.Info(g.options.Logger).Log("msg", "slow replica iteration", "group", g.options.Name,
		"took", elapsed, "save", p.save, "apply", p.apply, "compact", p.compact,
		"committed", len(ready.CommittedEntries), "appended", len(ready.Entries), "installed", ready.Snapshot != nil)
}
