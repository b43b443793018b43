package command

import (
	"context"
	"sync"

	"mastusher/internal/tier/group"
)

// groupRunner runs the groups of a store, each in a goroutine that ends with ctx.
type groupRunner struct {
	ctx    context.Context
	failed chan error // has the first error of a group that can't continue

	mutex   sync.Mutex // guards closed, so that no group starts after wait
	closed  bool
	running sync.WaitGroup
}

// newGroupRunner returns a runner whose groups end with ctx.
func newGroupRunner(ctx context.Context) *groupRunner {
	return &groupRunner{ctx: ctx, failed: make(chan error, 1)}
}

// run starts a group, unless wait was called.
func (r *groupRunner) run(opened *group.Group) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		if err := opened.Run(r.ctx); err != nil {
			select {
			case r.failed <- err:
			default:
			}
		}
	}()
}

// runBackground runs the writes of a group's compactions. The group waits for them at its end.
func runBackground(work func()) { go work() }

// wait returns once all groups have ended. No other is started afterwards.
func (r *groupRunner) wait() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.running.Wait()
}
