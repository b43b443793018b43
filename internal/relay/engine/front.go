package engine

import (
	"context"
	"errors"
	"time"

	"mastusher/control"
)

// Front implements a wire protocol: it submits clients' messages and makes the core's calls. Call, Notify and Watch may block, and each
// call of one of them runs on a goroutine of its own; CloseIdle and NotifiesDeliveries are called by the core's goroutine and must not
// block.
type Front interface {
	// Call makes an attempt and returns an outcome for each item, in their order. It must call attempt.MayWrite right before the first
	// byte, and write nothing if that returns false. It must not return while a copy of the call is still in flight. It ends with ctx.
	Call(ctx context.Context, attempt *Attempt) []Outcome
	// Notify sends notices of ended messages and returns for each, in their order, whether it was accepted. It ends with ctx.
	Notify(ctx context.Context, notices []Notice) []bool
	// CloseIdle closes the idle connections to a destination; with nil, those to any destination that have been idle for too long.
	CloseIdle(to *Destination)
	// Watch calls changed with each change of the endpoint list after the index after. It returns ErrWatchTimeout or another error when the
	// watch is lost or ctx ends; a front without an endpoint list returns nil at once.
	Watch(ctx context.Context, after int64, changed func(EndpointList)) error
	// NotifiesDeliveries reports whether clients are also sent a notice of each delivered message. It never changes.
	NotifiesDeliveries() bool
}

// ErrWatchTimeout is returned by Watch when an established watch has been silent for too long: its connection is dead, but discovery may
// well be reachable.
//
// Its text must not change: it is written to captures, and a replay recognizes the error by it.
var ErrWatchTimeout = errors.New("the watch has fallen silent")

// Destination is one endpoint of a partner.
type Destination struct {
	Name    string // unique in its front, and the same across restarts
	Address string // host and port, or another address that the front can call
	Zone    string // one of the settings' zones; any other counts as unknown
	Kind    string // one of the settings' kinds of endpoints; any other counts as unknown
	Partner int    // number of the partner system that it belongs to
	State   control.State
	Weight  float64 // as in the endpoint list; see wire.Settings.Weight

	front     *frontState
	number    uint32    // the module's id of the destination; never reused
	removedAt time.Time // when it left the list; zero if it is listed
}

// EndpointList is the complete endpoint list of a front, or a change of it.
type EndpointList struct {
	Index        int64 // version of the list; increases with each change
	Complete     bool  // destinations that are not in Destinations have left the list
	Destinations []Destination
}
