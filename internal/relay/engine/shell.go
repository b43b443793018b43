package engine

import (
	"context"
	"time"
)

// Shell carries out what the core decides, and hands back the results: the live one by goroutines and sockets, a replay from a
// recording, a simulation in its own time. The core takes the results in its next turn.
//
// Its methods are called by the core's goroutine and must not block. The callbacks may be called from any goroutine, and block while
// the core's queue is full: none may be called before the method has returned.
type Shell interface {
	// Call makes an attempt that ends at until at the latest, and calls done once, however it ends, with an outcome for each of its items.
	// cancel ends the attempt early, and may be called more than once and after its end.
	Call(f Front, attempt *Attempt, until time.Time, done func([]Outcome)) (cancel func())
	// Notify sends notices, under the same terms; accepted says for each of them whether the front's client has it.
	Notify(f Front, notices []Notice, until time.Time, done func(accepted []bool)) (cancel func())
	// Watch reports changes of a front's endpoint list since the index after, until it is cancelled or lost; lost is called once at most.
	Watch(f Front, after int64, changed func(EndpointList), lost func(error)) (cancel func())
}

// goroutineShell is the Shell of a relay that serves: each call has a goroutine of its own, which ends when the front's method returns.
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

// Watch implements Shell; a front whose Watch returns nil has no endpoint list to watch, and is not reported as lost.
func (shell goroutineShell) Watch(f Front, after int64, changed func(EndpointList), lost func(error)) func() {
	ctx, cancel := context.WithCancel(shell.ctx)
	go func() {
		if err := f.Watch(ctx, after, changed); err != nil {
			lost(err)
		}
	}()
	return cancel
}
