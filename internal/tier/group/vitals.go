package group

import (
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/replica"
)

// longTurn is the time from which on a turn is logged: it comes near to the time-outs after which others take over.
const longTurn = 200 * time.Millisecond

// Sized is a Machine that tells how many bytes of contents it holds.
type Sized interface {
	// Bytes is called by the group's goroutine only.
	Bytes() int64
}

// Vitals tells how much a member holds.
type Vitals struct {
	StateBytes    int64 // of a Sized machine's contents; else 0
	SnapshotBytes int64 // on the disk, that the log follows
	LogBytes      int64 // on the disk
	Entries       int   // in memory
}

// Vitals returns what the member held at the end of its last turn.
func (g *Group) Vitals() Vitals {
	if vitals := g.vitals.Load(); vitals != nil {
		return *vitals
	}
	return Vitals{}
}

func (g *Group) noteVitals() {
	vitals := Vitals{SnapshotBytes: g.disk.SnapshotBytes(), LogBytes: g.disk.LogBytes(), Entries: len(g.entries)}
	if sized, ok := g.options.Machine.(Sized); ok {
		vitals.StateBytes = sized.Bytes()
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
func (g *Group) logLongTurn(p *phases, effects *replica.Effects) {
	took := p.last - p.began
	if took < longTurn {
		return
	}
	level.Info(g.options.Logger).Log("msg", "long turn", "group", g.options.Name, "took", took, "save", p.save, "apply", p.apply,
		"compact", p.write, "committed", len(effects.Committed), "appended", len(effects.Append), "installed", effects.Install != nil)
}
