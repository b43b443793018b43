package engine

import (
	"context"
	"time"
)

// Shell makes what the core decides happen, and hands back what comes of it: the live one by goroutines and sockets, a
// replay from a recording, a simulation in its own time. The core takes what it is handed in its next turn.
type Shell interface {
	// Call makes an attempt that ends at until at the latest, and hands done its outcomes once, however it ends; not
	// before it has returned. What it returns calls the attempt off, and may be called more than once.
	Call(f Front, s *Attempt, until time.Time, done func([]Outcome)) (cancel func())
	// Notify passes on notices, under the same terms.
	Notify(f Front, notices []Notice, until time.Time, done func(taken []bool)) (cancel func())
	// Watch has changes of a front's endpoint list since the index after told until it is lost.
	Watch(f Front, after int64, changed func(EndpointList), lost func(error)) (cancel func())
}

// goroutineShell is the shell of a relay that serves.
type goroutineShell struct{ ctx context.Context }

func (l goroutineShell) Call(f Front, s *Attempt, until time.Time, done func([]Outcome)) func() {
	ctx, cancel := context.WithDeadline(l.ctx, until)
	go func() { done(f.Call(ctx, s)) }()
	return cancel
}

func (l goroutineShell) Notify(f Front, notices []Notice, until time.Time, done func([]bool)) func() {
	ctx, cancel := context.WithDeadline(l.ctx, until)
	go func() { done(f.Notify(ctx, notices)) }()
	return cancel
}

func (l goroutineShell) Watch(f Front, after int64, changed func(EndpointList), lost func(error)) func() {
	ctx, cancel := context.WithCancel(l.ctx)
	go func() {
		if err := f.Watch(ctx, after, changed); err != nil {
			lost(err)
		}
	}()
	return cancel
}
