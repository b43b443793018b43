package store

import (
	"context"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/group"
)

// groupRunner runs the groups of a store, each in a goroutine that ends with the store's context.
type groupRunner struct {
	logger log.Logger
	failed chan error // has the first error of a group that can't continue

	mutex   sync.Mutex // guards closed, so that no group starts after wait
	closed  bool
	running sync.WaitGroup
}

// run starts a group, unless wait was called.
func (r *groupRunner) run(ctx context.Context, opened *group.Group) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.running.Go(func() {
		if err := opened.Run(ctx); err != nil {
			level.Error(r.logger).Log("msg", "replica ended", "group", opened.Name(), "err", err)
			r.reportFailure(err)
		}
	})
}

// reportFailure keeps the first error with which a group has ended.
func (r *groupRunner) reportFailure(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

// wait returns once all groups have ended. No other is started afterwards.
func (r *groupRunner) wait() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.running.Wait()
}

// Failures delivers the error of a group that has ended for good. It can't be repaired while the process runs.
func (s *Store) Failures() <-chan error { return s.groups.failed }

// Wait returns once all groups have ended, which they do after the store's context, when their shards have other leaders. No other
// is started afterwards.
func (s *Store) Wait() { s.groups.wait() }
