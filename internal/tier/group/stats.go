package group

import (
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/replica"
)

// slowRun is the time from which on an iteration is logged: it comes near to the timeouts after which others take over.
const slowRun = 200 * time.Millisecond

// MemberStats are a member's sizes.
type MemberStats struct {
	StateBytes    int64 // of a StateSizer's contents; else 0
	SnapshotBytes int64 // of the snapshot on disk
	LogBytes      int64 // of the log on disk that follows it
	Entries       int   // in memory
}

// Stats returns the member's sizes at the end of its last iteration.
func (g *Group) Stats() MemberStats {
	if stats := g.stats.Load(); stats != nil {
		return *stats
	}
	return MemberStats{}
}

func (g *Group) recordStats() {
	stats := MemberStats{SnapshotBytes: g.disk.SnapshotBytes(), LogBytes: g.disk.LogBytes(), Entries: len(g.entries)}
	if sized, ok := g.options.StateMachine.(StateSizer); ok {
		stats.StateBytes = sized.StateBytes()
	}
	g.stats.Store(&stats)
}

// phases measures the phases of an iteration.
type phases struct {
	clock                func() time.Duration
	began, last          time.Duration
	save, apply, compact time.Duration // of records and chunks, of committed commands, of a snapshot
}

func startPhases(clock func() time.Duration) phases {
	now := clock()
	return phases{clock: clock, began: now, last: now}
}

// lap returns the time since the last call.
func (p *phases) lap() time.Duration {
	now := p.clock()
	took := now - p.last
	p.last = now
	return took
}

// logSlowRun logs an iteration during which the member has answered nobody for long.
func (g *Group) logSlowRun(p *phases, ready *replica.Ready) {
	took := p.last - p.began
	if took < slowRun {
		return
	}
	level.Info(g.options.Logger).Log("msg", "slow replica iteration", "group", g.options.Name,
		"took", took, "save", p.save, "apply", p.apply, "compact", p.compact,
		"committed", len(ready.CommittedEntries), "appended", len(ready.Entries), "installed", ready.Snapshot != nil)
}
