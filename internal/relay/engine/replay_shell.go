package engine

import (
	"context"
	"time"
)

// inertShell is a Shell that makes no calls: their results are events of the recording, which a CoreReplay passes to the core.
type inertShell struct{}

// Call implements Shell; the attempt ends by a recorded event.
func (inertShell) Call(Front, *Attempt, time.Time, func([]Outcome)) func() { return func() {} }

// Notify implements Shell; the call ends by a recorded event.
func (inertShell) Notify(Front, []Notice, time.Time, func([]bool)) func() { return func() {} }

// Watch implements Shell; changes and the end are recorded events.
func (inertShell) Watch(Front, int64, func(EndpointList), func(error)) (cancel func()) {
	return func() {}
}

// recordedFront stands for a front of a recording. Its methods that would do I/O are never called by an inertShell.
type recordedFront struct{ notifiesDeliveries bool }

// Call implements Front; it is never called.
func (recordedFront) Call(context.Context, *Attempt) []Outcome { return nil }

// Notify implements Front; it is never called.
func (recordedFront) Notify(context.Context, []Notice) []bool { return nil }

// CloseIdle implements Front; there is no connection to close.
func (recordedFront) CloseIdle(*Destination) {}

// Watch implements Front; it is never called.
func (recordedFront) Watch(context.Context, int64, func(EndpointList)) error { return nil }

// NotifiesDeliveries implements Front: it returns the recorded value.
func (r recordedFront) NotifiesDeliveries() bool { return r.notifiesDeliveries }
