package engine

import (
	"context"
	"time"
)

// inertShell is a Shell that calls nobody: the results of calls are in the recording, whose events a CoreReplay hands to the core.
type inertShell struct{}

// Call implements Shell; the attempt ends when the recording says so.
func (inertShell) Call(Front, *Attempt, time.Time, func([]Outcome)) func() { return func() {} }

// Notify implements Shell; the call ends when the recording says so.
func (inertShell) Notify(Front, []Notice, time.Time, func([]bool)) func() { return func() {} }

// Watch implements Shell; changes and the end come from the recording.
func (inertShell) Watch(Front, int64, func(EndpointList), func(error)) (cancel func()) {
	return func() {}
}

// recordedFront is a front of a recording. An inertShell calls none of its methods that would do I/O.
type recordedFront struct{ notifiesDeliveries bool }

// Call implements Front; it is never called.
func (recordedFront) Call(context.Context, *Attempt) []Outcome { return nil }

// Notify implements Front; it is never called.
func (recordedFront) Notify(context.Context, []Notice) []bool { return nil }

// CloseIdle implements Front; there is no connection to close.
func (recordedFront) CloseIdle(*Destination) {}

// Watch implements Front; it is never called.
func (recordedFront) Watch(context.Context, int64, func(EndpointList)) error { return nil }

// NotifiesDeliveries implements Front: it is as it was recorded.
func (r recordedFront) NotifiesDeliveries() bool { return r.notifiesDeliveries }
