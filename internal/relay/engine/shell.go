package engine

import (
	"context"
	"time"
)

// Shell makes the core's calls and reports their results by callbacks: a live relay on goroutines, a replay from a recording, a
// simulation in virtual time. The core processes the results in its next turn.
//
// The methods are called by the core's goroutine and must not block. The callbacks may be called from any goroutine, but not before the
// method has returned; they block while the core's queue is full.
type Shell interface {
	// Call makes an attempt, which ends at until at the latest, and calls done exactly once, with an outcome for each of its items. cancel
	// ends the attempt early; it may be called more than once, and after the attempt has ended.
	Call(f Front, attempt *Attempt, until time.Time, done func([]Outcome)) (cancel func())
	// Notify sends notices; until, done and cancel are as for Call. accepted tells for each notice whether it was accepted.
	Notify(f Front, notices []Notice, until time.Time, done func(accepted []bool)) (cancel func())
	// Watch reports changes of a front's endpoint list after the index after, until it is cancelled or lost; lost is called at most once.
	Watch(f Front, after int64, changed func(EndpointList), lost func(error)) (cancel func())
}

// goroutineShell is the Shell of a live relay: each call has a goroutine of its own, which ends when the front's method returns.
type goroutineShell struct{ ctx context.Context }

// Call implements Shell.
func (shell goroutineShell) Call(f Front, attempt *Attempt, until time.Time, done func([]Outcome)) func() {
	ctx, cancel := context.WithDeadline(shell.ctx, until)
	go func() { done(f.Call(ctx, attempt)) }()
	return cancel
}

// Notify implements Shell.
func (shell goroutineShell) Notify(f Front, notices []Notice, until time.Time, done func([]bool)) func() {
	ctx, cancel := context.WithDeadline(shell.ctx, until)
	go func() { done(f.Notify(ctx, notices)) }()
	return cancel
}

// Watch implements Shell. If the front's Watch returns nil, the front has no endpoint list, and lost is not called.
func (shell goroutineShell) Watch(f Front, after int64, changed func(EndpointList), lost func(error)) func() {
	ctx, cancel := context.WithCancel(shell.ctx)
	go func() {
		if err := f.Watch(ctx, after, changed); err != nil {
			lost(err)
		}
	}()
	return cancel
}
