package store

import (
	"context"
	"time"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wait"
)

const (
	// expiryInterval is the interval at which shards are checked for expired contents.
	expiryInterval = time.Second
	// clockInterval is the time without commands after which a shard with contents is sent one that advances its clock. It is shorter than
	// the time by which one command advances the clock at most (10 s), so that retentions don't grow.
	clockInterval = 5 * time.Second
)

// RunExpiry lets contents expire in the shards that this store leads, also in those that get no commands, until ctx ends.
func (s *Store) RunExpiry(ctx context.Context) {
	wait.Every(ctx, expiryInterval, s.expireIdle)
}

// expireIdle sends a command that advances the clock to each shard that this store leads and that waits for one.
func (s *Store) expireIdle() {
	now := s.options.Now()
	for _, running := range s.running() {
		if running.group.Status().IsLeader && running.machine.waitsForClock(now) {
			running.advanceClock(now)
		}
	}
}

// advanceClock proposes a command that advances the clock, unless one is pending.
func (s *shard) advanceClock(now time.Time) {
	if !s.advancingClock.CompareAndSwap(false, true) {
		return
	}
	s.group.ProposeAsync(command{Command: program.ClockCommand(now.UnixMilli())}, func(any, error) { s.advancingClock.Store(false) })
}

// waitsForClock reports whether the machine has contents that expire only with a command, and got none of late.
func (m *machine) waitsForClock(now time.Time) bool {
	idle := m.idleness.Load()
	if idle == nil || !idle.HasContents {
		return false
	}
	sinceCommand := time.Duration(now.UnixMilli()-idle.LastCommandMs) * time.Millisecond
	return idle.IsExpiryDue || sinceCommand.Abs() >= clockInterval // negative if the clock was set back, or that of another leader is ahead
}

// recordIdleness publishes the idleness of the programs, if it has changed.
func (m *machine) recordIdleness() {
	now := m.programs.Idleness()
	if before := m.idleness.Load(); before == nil || *before != now {
		m.idleness.Store(&now)
	}
}
