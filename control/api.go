// Package control decides, for one sender of outbound messages, which endpoint a message is sent to,
// when, for how long, and when it is given up. It does no I/O, starts no goroutine and reads no clock.
package control

import (
	"fmt"
	"math"
	"time"
)

// Effect says what a repeat of a message does at its destination.
type Effect uint8

// The three kinds of class.
const (
	Unsafe Effect = iota // must never take effect twice
	Keyed                // a repeat is dropped within Group, for Memory
	Safe                 // may be repeated at will
)

// Group says which endpoints of a destination drop the repeat of a keyed message.
type Group uint8

// The groups of endpoints that share their memory of keys.
const (
	GroupEndpoint Group = iota
	GroupZone
	GroupAll
)

// Class is one class of message.
type Class struct {
	Name          string        `cbor:"Name"`
	Effect        Effect        `cbor:"Effect"`
	Group         Group         `cbor:"Group"`
	Memory        time.Duration `cbor:"Memory"`   // how long a repeat of a keyed message is dropped
	InOrder       bool          `cbor:"InOrder"`  // messages of one key go one at a time
	LatencyTarget time.Duration `cbor:"Aim"`      // delivered within this time, it earns Value in full
	Deadline      time.Duration `cbor:"Deadline"` // given up after this time
	Value         float64       `cbor:"Worth"`
	LateValue     float64       `cbor:"LateWorth"` // share of Value that is left at Deadline
}

// Kind is one kind of destination.
type Kind struct {
	SeparateRoutes bool `cbor:"Apart"`   // its endpoints are separate routes
	PerCall        int  `cbor:"PerCall"` // messages that one call carries at most
}

// Tenant is one of those who share the service.
type Tenant struct {
	Quota float64 `cbor:"Quota"` // messages a second within its share, over all senders
}

// Settings is what a sender is told at its start. Durations must not be negative.
type Settings struct {
	Peers            int           `cbor:"Peers"` // senders in all, this one included
	Index            int           `cbor:"Me"`    // its number among them, from 0
	Zone             int           `cbor:"Zone"`
	Classes          []Class       `cbor:"Classes"`
	Kinds            []Kind        `cbor:"Kinds"`
	Tenants          []Tenant      `cbor:"Tenants"`     // none: messages have none
	Slots            int           `cbor:"Slots"`       // calls out at once
	MaxOpen          int           `cbor:"MaxOpen"`     // messages held, sent or not; 0: no bound
	MaxAttempts      int           `cbor:"MaxAttempts"` // for one message
	Cancel           bool          `cbor:"Cancel"`
	ConnIdle         time.Duration `cbor:"ConnIdle"`    // an idle connection closes by itself after this
	OverQuotaValue   float64       `cbor:"OverWorth"`   // share of worth of a message beyond its tenant's quota
	ValueHalves      bool          `cbor:"WorthHalves"` // worth falls by half with each further aim, not evenly
	MaxRetryAfter    time.Duration `cbor:"MaxHoldOff"`
	MarksResubmitted bool          `cbor:"MarksAgain"` // messages handed in again are marked so
	MustSubscribe    bool          `cbor:"Ask"`        // the list must be asked for
	SubscribeWithin  time.Duration `cbor:"AskWithin"`
	DrainGrace       time.Duration `cbor:"DrainGrace"`
	SlowStartShare   float64       `cbor:"StartShare"` // share of capacity that a returning destination has at least
	SlowStart        time.Duration `cbor:"Cold"`       // and is warm after
	OverloadWindow   time.Duration `cbor:"Fall"`
	OverloadMultiple float64       `cbor:"FallMultiple"`
	InDoubtDelay     time.Duration `cbor:"Settle"`     // rest of a key after an attempt that may still run
	CrossZonePrice   float64       `cbor:"CrossPrice"` // price of an attempt that leaves the zone
	ZoneFee          []float64     `cbor:"ZoneFee"`    // price of a message taken on by a route apart, by zone
}

// check returns an error that names the first field with an impossible figure.
func (set *Settings) check() error {
	type field struct {
		name  string
		value float64
		least float64
	}
	fields := []field{{"Slots", float64(set.Slots), 1}, {"Peers", float64(set.Peers), 1},
		{"Me", float64(set.Index), 0}, {"MaxAttempts", float64(set.MaxAttempts), 1}, {"Classes", float64(len(set.Classes)), 1},
		{"MaxOpen", float64(set.MaxOpen), 0}, {"MaxHoldOff", float64(set.MaxRetryAfter), 0},
		{"AskWithin", float64(set.SubscribeWithin), 0}, {"DrainGrace", float64(set.DrainGrace), 0},
		{"Cold", float64(set.SlowStart), 0}, {"Fall", float64(set.OverloadWindow), 0}, {"Settle", float64(set.InDoubtDelay), 0},
		{"ConnIdle", float64(set.ConnIdle), 0}, {"StartShare", set.SlowStartShare, 0},
		{"FallMultiple", set.OverloadMultiple, 0}, {"OverWorth", set.OverQuotaValue, 0}, {"CrossPrice", set.CrossZonePrice, 0}}
	for i, fee := range set.ZoneFee {
		fields = append(fields, field{fmt.Sprintf("ZoneFee[%d]", i), fee, 0})
	}
	for i, t := range set.Tenants {
		fields = append(fields, field{fmt.Sprintf("Tenants[%d].Quota", i), t.Quota, 0})
	}
	for i, c := range set.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		fields = append(fields, field{at + "Aim", float64(c.LatencyTarget), 0}, field{at + "Memory", float64(c.Memory), 0},
			field{at + "Deadline", float64(c.Deadline), 1}, field{at + "Worth", c.Value, 0},
			field{at + "LateWorth", c.LateValue, 0})
	}
	if set.Index >= set.Peers && set.Peers > 0 {
		return fmt.Errorf("control: settings: Me is %d, want a number below Peers, %d", set.Index, set.Peers)
	}
	for _, f := range fields {
		if math.IsNaN(f.value) || math.IsInf(f.value, 0) || f.value < f.least {
			return fmt.Errorf("control: settings: %s is %v, want a number of %v at least", f.name, f.value, f.least)
		}
	}
	return nil
}

// EventKind tells what an Event reports.
type EventKind uint8

// The events.
const (
	Listed              EventKind = iota + 1 // Endpoints, Complete
	ListFailed                               // asking for the list failed, or the subscription broke
	Arrived                                  // ID, Destination, Class, Tenant, Key, Deadline, Resubmitted; Attempt, MayHaveRun, RanAt, Endpoint
	Resolved                                 // ID, Attempt, Endpoint, Result, Elapsed, Final, RetryAfter, Remaining, Limit
	Withdrawn                                // ID: the client has withdrawn the message
	Woken                                    // a wake asked for is due
	SharedLimitsUpdated                      // Shared
)

// Result is how an attempt ended. A Result that is not listed here is taken as one that may have run.
type Result uint8

// The results. Throttled, NoConnection, NotProcessed and Rejected prove that the attempt never ran.
const (
	Delivered Result = iota
	Errored
	Throttled
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotProcessed
	Rejected  // for good: no other attempt would fare better
	Malformed // an answer came that can't be read
	Unknown
)

// NeverRan tells whether r proves that the attempt had no effect.
func (r Result) NeverRan() bool {
	return r == Throttled || r == NoConnection || r == NotProcessed || r == Rejected
}

// State is what the list says of an endpoint.
type State uint8

// The states of a listed endpoint.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one entry of the list.
type Endpoint struct {
	ID          uint32 `cbor:"1,keyasint,omitempty"`
	Zone        int    `cbor:"2,keyasint,omitempty"`
	Kind        int    `cbor:"3,keyasint,omitempty"`
	Destination int    `cbor:"4,keyasint,omitempty"`
	State       State  `cbor:"5,keyasint,omitempty"`

	// Calls a second that its destination (or the route) takes from all senders together; 0: not told.
	Weight float64 `cbor:"6,keyasint,omitempty"`
	// Calls a second that the whole of Destination may get from all senders together, by hand; 0: as many as it takes.
	MaxRate float64 `cbor:"7,keyasint,omitempty"`
}

// Event is one thing that has happened; Kind names the fields that count. The numbers in the tags are those of captures:
// they are never given to another field.
type Event struct {
	Kind        EventKind     `cbor:"1,keyasint,omitempty"`
	ID          uint64        `cbor:"2,keyasint,omitempty"`
	Destination int           `cbor:"3,keyasint,omitempty"`
	Class       int           `cbor:"4,keyasint,omitempty"`
	Tenant      int           `cbor:"5,keyasint,omitempty"`
	Key         uint64        `cbor:"6,keyasint,omitempty"`
	Deadline    time.Duration `cbor:"7,keyasint,omitempty"`  // on the clock of Step
	Resubmitted bool          `cbor:"8,keyasint,omitempty"`  // handed in before, or taken over from a sender that died
	Attempt     int           `cbor:"9,keyasint,omitempty"`  // of an arrival: attempts made before this sender started
	MayHaveRun  bool          `cbor:"10,keyasint,omitempty"` // one of those may have run, the first at RanAt, at Endpoint
	RanAt       time.Duration `cbor:"11,keyasint,omitempty"` // on the clock of Step
	Endpoint    uint32        `cbor:"12,keyasint,omitempty"`
	Result      Result        `cbor:"13,keyasint,omitempty"`
	Elapsed     time.Duration `cbor:"14,keyasint,omitempty"`
	Final       bool          `cbor:"15,keyasint,omitempty"`
	RetryAfter  time.Duration `cbor:"16,keyasint,omitempty"` // told with Throttled
	Reported    bool          `cbor:"17,keyasint,omitempty"` // Remaining and Limit were reported
	Remaining   float64       `cbor:"18,keyasint,omitempty"` // share of the allowance left
	Limit       float64       `cbor:"19,keyasint,omitempty"` // calls a second, over all senders; 0: none
	Endpoints   []Endpoint    `cbor:"20,keyasint,omitempty"`
	Complete    bool          `cbor:"21,keyasint,omitempty"` // Endpoints is the whole list
	Shared      *SharedLimits `cbor:"22,keyasint,omitempty"`
}

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send      ActionKind = iota + 1 // ID, Endpoint, For (time-out)
	Refuse                          // ID, For (hold-off)
	Fail                            // ID
	Cancel                          // ID, Attempt
	Wake                            // At
	Subscribe                       // to changes of the list
	Close                           // Endpoint: its idle connections
	Recall                          // ID: its attempt, if nothing of it has been written yet
	Log                             // Text
)

// Action is one thing to be done at once.
type Action struct {
	Kind     ActionKind    `cbor:"1,keyasint,omitempty"`
	ID       uint64        `cbor:"2,keyasint,omitempty"`
	Endpoint uint32        `cbor:"3,keyasint,omitempty"`
	Attempt  int           `cbor:"4,keyasint,omitempty"`
	For      time.Duration `cbor:"5,keyasint,omitempty"`
	At       time.Duration `cbor:"6,keyasint,omitempty"`
	Text     string        `cbor:"7,keyasint,omitempty"`
}

// Reconfigure changes what classes are worth and what tenants may hand in from now on; lists that are shorter than the settings'
// leave the rest as it is. What has arrived keeps its worth.
func (s *Sender) Reconfigure(worth, quotas []float64) {
	for i := range min(len(worth), len(s.set.Classes)) {
		s.set.Classes[i].Value = worth[i]
	}
	for i := range min(len(quotas), len(s.quotas)) {
		q := &s.quotas[i]
		q.total, q.rate = quotas[i], quotas[i]/float64(s.set.Peers)
		if s.rights != nil {
			q.rate = quotas[i] * s.part(q.extra)
		}
	}
}
