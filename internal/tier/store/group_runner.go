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
	failed chan error // holds the first error with which a group ended

	mutex   sync.Mutex // guards closed, so that no group starts after wait was called
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

// reportFailure reports the error with which a group ended; only the first one is kept.
func (r *groupRunner) reportFailure(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

// wait waits until all groups have ended, and prevents further groups from starting.
func (r *groupRunner) wait() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.running.Wait()
}

// Failures returns a channel that delivers the first error with which a group ended. The group cannot be restarted in this process.
func (s *Store) Failures() <-chan error { return s.groups.failed }

// Wait waits until all groups have ended, and prevents further groups from starting. Groups end after the store's context; one that
// leads its shard first waits for another leader.
func (s *Store) Wait() { s.groups.wait() }
