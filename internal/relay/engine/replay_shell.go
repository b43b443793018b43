package engine

import (
	"context"
	"time"
)

// inertShell is a shell in which nothing moves: what comes of calls stands in the recording.
type inertShell struct{}

func (inertShell) Call(Front, *Attempt, time.Time, func([]Outcome)) func() { return func() {} }

func (inertShell) Notify(Front, []Notice, time.Time, func([]bool)) func() { return func() {} }

func (inertShell) Watch(Front, int64, func(EndpointList), func(error)) (cancel func()) {
	return func() {}
}

// recordedFront is a front of a recording.
type recordedFront struct{ notifiesDeliveries bool }

func (recordedFront) Call(context.Context, *Attempt) []Outcome { return nil }

func (recordedFront) Notify(context.Context, []Notice) []bool { return nil }

func (recordedFront) CloseIdle(*Destination) {}

func (recordedFront) Watch(context.Context, int64, func(EndpointList)) (err error) { return nil }

func (r recordedFront) NotifiesDeliveries() bool { return r.notifiesDeliveries }
