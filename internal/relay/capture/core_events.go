package capture

import (
	"time"

	"mastusher/control"
)

// CoreKind is the kind of a CoreEvent.
type CoreKind uint8

// Kinds of core events, each with the fields of CoreEvent that it uses.
const (
	Submitted       CoreKind = iota + 1 // Front, Arrival
	Withdrawn                           // Ref
	DiscoveryMoved                      // Front
	DrainStarted                        // no fields
	AttemptEnded                        // Number, Items, Outcomes
	ListReported                        // Front, Number: of the watch, List
	WatchEnded                          // Front, Number: of the watch, Text
	NoticesAnswered                     // Front, Accepted
	MandateChanged                      // Mandate
	QuotaGranted                        // Shared
)

// CoreEvent is one event from the core's queue.
type CoreEvent struct {
	Kind     CoreKind      `cbor:"1,keyasint"`
	Front    int           `cbor:"2,keyasint,omitempty"` // index of the front; below 0: no such front exists
	Ref      uint64        `cbor:"3,keyasint,omitempty"`
	Number   uint64        `cbor:"4,keyasint,omitempty"`
	Arrival  *Arrival      `cbor:"5,keyasint,omitempty"`
	Outcomes []Outcome     `cbor:"6,keyasint,omitempty"` // nil: the same as in the module's events of this turn
	List     *EndpointList `cbor:"7,keyasint,omitempty"`
	Accepted []bool        `cbor:"8,keyasint,omitempty"`
	Text     string        `cbor:"9,keyasint,omitempty"`
	Items    int           `cbor:"10,keyasint,omitempty"`
	Mandate  *Mandate      `cbor:"11,keyasint,omitempty"`

	Shared *control.SharedLimits `cbor:"12,keyasint,omitempty"`
}

// Arrival is a submitted message, with the verdict of the inspector (a plug-in).
type Arrival struct {
	ID              string        `cbor:"1,keyasint"`
	KeySize         int           `cbor:"2,keyasint,omitempty"`
	Partner         int           `cbor:"3,keyasint,omitempty"`
	Class           int           `cbor:"4,keyasint,omitempty"`
	Deadline        time.Duration `cbor:"5,keyasint"`
	Resubmitted     bool          `cbor:"6,keyasint,omitempty"`
	Size            int           `cbor:"7,keyasint,omitempty"`
	Headers         uint64        `cbor:"8,keyasint,omitempty"`
	MayHaveRun      bool          `cbor:"9,keyasint,omitempty"`
	MayHaveRunAt    time.Duration `cbor:"10,keyasint,omitempty"`
	QueuedFor       time.Duration `cbor:"11,keyasint,omitempty"` // time since it was submitted
	Verdict         uint8         `cbor:"12,keyasint,omitempty"` // of the inspector on the message
	Status          int           `cbor:"13,keyasint,omitempty"`
	Reason          string        `cbor:"14,keyasint,omitempty"`
	Tenant          int           `cbor:"15,keyasint,omitempty"`
	SeenUnderPolicy uint64        `cbor:"16,keyasint,omitempty"` // version of the policy under which the inspector saw it, plus one
}

// Outcome tells how an attempt ended for one of its messages.
type Outcome struct {
	Result     control.Result `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"2,keyasint,omitempty"`
	Final      bool           `cbor:"3,keyasint,omitempty"`
	Reported   bool           `cbor:"4,keyasint,omitempty"`
	Share      float64        `cbor:"5,keyasint,omitempty"`
	Limit      float64        `cbor:"6,keyasint,omitempty"`
}

// EndpointList is an endpoint list: the whole list where Complete, otherwise the changes to it.
type EndpointList struct {
	Index        int64              `cbor:"1,keyasint,omitempty"`
	Complete     bool               `cbor:"2,keyasint,omitempty"`
	Destinations []DestinationState `cbor:"3,keyasint,omitempty"` // their Number is not set
}
