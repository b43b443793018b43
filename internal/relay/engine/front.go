package engine

import (
	"context"
	"errors"
	"time"

	"mastusher/control"
)

// Front is one wire: it submits clients' messages and makes the core's calls. Call, Notify and Watch may block, and each call of them has a
// goroutine of its own; CloseIdle and NotifiesDeliveries are called by the core's goroutine and must not block.
type Front interface {
	// Call makes an attempt and returns an outcome for each item, in their order. It must write nothing unless MayWrite, asked right before
	// the first byte, returns true, and must not return while a copy of the call is still in flight. It ends with ctx.
	Call(ctx context.Context, attempt *Attempt) []Outcome
	// Notify sends notices of ended messages and returns for each, in their order, whether the client has accepted it. It ends with ctx.
	Notify(ctx context.Context, notices []Notice) []bool
	// CloseIdle closes the idle connections to a destination; with nil, those of all destinations that have been idle for too long.
	CloseIdle(to *Destination)
	// Watch reports what has changed in the endpoint list since the index after. It returns ErrWatchTimeout or another error when the
	// watch is lost or ctx ends; a front without an endpoint list returns nil at once.
	Watch(ctx context.Context, after int64, changed func(EndpointList)) error
	// NotifiesDeliveries is true if clients are also sent a notice of each message that was delivered. It never changes.
	NotifiesDeliveries() bool
}

// ErrWatchTimeout is returned by Watch when a watch came up and then was silent for too long: its connection is dead, but discovery may
// well be reachable.
//
// Its text is written to captures, and a replay recognizes it by that: it must not change.
var ErrWatchTimeout = errors.New("the watch has fallen silent")

// Destination is one endpoint of a partner.
type Destination struct {
	Name    string // unique in its front, the same across restarts
	Address string // host and port, or whatever the front calls by
	Zone    string // one of the settings' zones; another counts as unknown
	Kind    string // one of the settings' kinds of endpoints; another counts as unknown
	Partner int    // number of the partner system that it belongs to
	State   control.State
	Weight  float64 // as the list has it; wire.Settings.Weight says how it counts

	front     *frontState
	number    uint32    // the module's id of it; never given to another
	removedAt time.Time // when it left the list; zero: it is listed
}

// EndpointList is a list of destinations: the complete one of a front, or what has changed.
type EndpointList struct {
	Index        int64 // version of the list, growing with each change
	Complete     bool  // destinations that it does not name have left the list
	Destinations []Destination
}
