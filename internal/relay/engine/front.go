package engine

import (
	"context"
	"errors"
	"time"

	"mastusher/control"
)

// Front is one wire. Its methods may block; the core calls each in a goroutine of its own, but for CloseIdle.
type Front interface {
	// Call makes an attempt and returns an outcome for each item. It writes nothing unless MayWrite, asked right before the first
	// byte, lets it. When it returns no copy is still out.
	Call(ctx context.Context, attempt *Attempt) []Outcome
	// Notify passes on final answers and tells which of them were taken.
	Notify(ctx context.Context, notices []Notice) []bool
	// CloseIdle closes the idle connections to a destination, or all that are too old if it is nil.
	CloseIdle(to *Destination)
	// Watch reports what has changed in the endpoint list since the index after, until it is lost or ctx ends; a
	// front without one returns nil.
	Watch(ctx context.Context, after int64, changed func(EndpointList)) error
	// NotifiesDeliveries is true if its clients are sent a notice of a delivery too.
	NotifiesDeliveries() bool
}

// ErrWatchTimeout is what Watch returns of a watch that came up and then said nothing for too long: its connection is dead, and discovery
// may well be there.
//
// Its text stands in captures, where a replay knows it by that: it must not change.
var ErrWatchTimeout = errors.New("the watch has fallen silent")

// Destination is one endpoint of a partner.
type Destination struct {
	Name, Address string
	Zone, Kind    string
	Partner       int
	State         control.State
	Weight        float64 // as the list tells it; the settings say what it means

	front     *frontState
	number    uint32    // the module's id of it
	removedAt time.Time // when it left the list; zero: it is on it
}

// EndpointList is a list of destinations: the complete one of a front, or what has changed.
type EndpointList struct {
	Index        int64
	Complete     bool
	Destinations []Destination
}
