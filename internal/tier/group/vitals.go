package group

import (
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/replica"
)

// longTurn is the time from which on a turn is logged: it comes near to the time-outs after which others take over.
const longTurn = 200 * time.Millisecond

// StateSizer is a StateMachine that tells how many bytes of contents it holds.
type StateSizer interface {
	// StateBytes is called by the group's goroutine only.
	StateBytes() int64
}

// MemberStats tells how much a member holds.
type MemberStats struct {
	StateBytes    int64 // of a StateSizer machine's contents; else 0
	SnapshotBytes int64 // on the disk, that the log follows
	LogBytes      int64 // on the disk
	Entries       int   // in memory
}

// MemberStats returns what the member held at the end of its last turn.
func (g *Group) Stats() MemberStats {
	if vitals := g.vitals.Load(); vitals != nil {
		return *vitals
	}
	return MemberStats{}
}

func (g *Group) noteVitals() {
	vitals := MemberStats{SnapshotBytes: g.disk.SnapshotBytes(), LogBytes: g.disk.LogBytes(), Entries: len(g.entries)}
	if sized, ok := g.options.StateMachine.(StateSizer); ok {
		vitals.StateBytes = sized.StateBytes()
	}
	g.vitals.Store(&vitals)
}

// phases measures the parts of a turn.
type phases struct {
	clock              func() time.Duration
	began, last        time.Duration
	save, apply, write time.Duration // of records and parts, of committed commands, of a snapshot
}

func beginPhases(clock func() time.Duration) phases {
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

// logLongTurn tells of a turn during which the member has answered nobody for long.
func (g *Group) logLongTurn(p *phases, effects *replica.Ready) {
	took := p.last - p.began
	if took < longTurn {
		return
	}
	level.Info(g.options.Logger).Log("msg", "long turn", "group", g.options.Name, "took", took, "save", p.save, "apply", p.apply,
		"compact", p.write, "committed", len(effects.CommittedEntries), "appended", len(effects.Entries), "installed", effects.Snapshot != nil)
}
