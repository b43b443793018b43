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
	Name      string        `cbor:"Name"`
	Effect    Effect        `cbor:"Effect"`
	Group     Group         `cbor:"Group"`
	Memory    time.Duration `cbor:"Memory"`   // how long a repeat of a keyed message is dropped
	InOrder   bool          `cbor:"InOrder"`  // messages of one key go one at a time
	Aim       time.Duration `cbor:"Aim"`      // delivered within this time, it earns Worth in full
	Deadline  time.Duration `cbor:"Deadline"` // given up after this time
	Worth     float64       `cbor:"Worth"`
	LateWorth float64       `cbor:"LateWorth"` // share of Worth that is left at Deadline
}

// Kind is one kind of destination.
type Kind struct {
	Apart   bool `cbor:"Apart"`   // its endpoints are separate routes
	PerCall int  `cbor:"PerCall"` // messages that one call carries at most
}

// Tenant is one of those who share the service.
type Tenant struct {
	Quota float64 `cbor:"Quota"` // messages a second within its share, over all senders
}

// Settings is what a sender is told at its start. Durations must not be negative.
type Settings struct {
	Peers        int           `cbor:"Peers"` // senders in all, this one included
	Me           int           `cbor:"Me"`    // its number among them, from 0
	Zone         int           `cbor:"Zone"`
	Classes      []Class       `cbor:"Classes"`
	Kinds        []Kind        `cbor:"Kinds"`
	Tenants      []Tenant      `cbor:"Tenants"`     // none: messages have none
	Slots        int           `cbor:"Slots"`       // calls out at once
	MaxOpen      int           `cbor:"MaxOpen"`     // messages held, sent or not; 0: no bound
	MaxAttempts  int           `cbor:"MaxAttempts"` // for one message
	Cancel       bool          `cbor:"Cancel"`
	ConnIdle     time.Duration `cbor:"ConnIdle"`    // an idle connection closes by itself after this
	OverWorth    float64       `cbor:"OverWorth"`   // share of worth of a message beyond its tenant's quota
	WorthHalves  bool          `cbor:"WorthHalves"` // worth falls by half with each further aim, not evenly
	MaxHoldOff   time.Duration `cbor:"MaxHoldOff"`
	MarksAgain   bool          `cbor:"MarksAgain"` // messages handed in again are marked so
	Ask          bool          `cbor:"Ask"`        // the list must be asked for
	AskWithin    time.Duration `cbor:"AskWithin"`
	DrainGrace   time.Duration `cbor:"DrainGrace"`
	StartShare   float64       `cbor:"StartShare"` // share of capacity that a returning destination has at least
	Cold         time.Duration `cbor:"Cold"`       // and is warm after
	Fall         time.Duration `cbor:"Fall"`
	FallMultiple float64       `cbor:"FallMultiple"`
	Settle       time.Duration `cbor:"Settle"`     // rest of a key after an attempt that may still run
	CrossPrice   float64       `cbor:"CrossPrice"` // price of an attempt that leaves the zone
	ZoneFee      []float64     `cbor:"ZoneFee"`    // price of a message taken on by a route apart, by zone
}

// check returns an error that names the first field with an impossible figure.
func (set *Settings) check() error {
	type field struct {
		name  string
		value float64
		least float64
	}
	fields := []field{{"Slots", float64(set.Slots), 1}, {"Peers", float64(set.Peers), 1},
		{"Me", float64(set.Me), 0}, {"MaxAttempts", float64(set.MaxAttempts), 1}, {"Classes", float64(len(set.Classes)), 1},
		{"MaxOpen", float64(set.MaxOpen), 0}, {"MaxHoldOff", float64(set.MaxHoldOff), 0},
		{"AskWithin", float64(set.AskWithin), 0}, {"DrainGrace", float64(set.DrainGrace), 0},
		{"Cold", float64(set.Cold), 0}, {"Fall", float64(set.Fall), 0}, {"Settle", float64(set.Settle), 0},
		{"ConnIdle", float64(set.ConnIdle), 0}, {"StartShare", set.StartShare, 0},
		{"FallMultiple", set.FallMultiple, 0}, {"OverWorth", set.OverWorth, 0}, {"CrossPrice", set.CrossPrice, 0}}
	for i, fee := range set.ZoneFee {
		fields = append(fields, field{fmt.Sprintf("ZoneFee[%d]", i), fee, 0})
	}
	for i, t := range set.Tenants {
		fields = append(fields, field{fmt.Sprintf("Tenants[%d].Quota", i), t.Quota, 0})
	}
	for i, c := range set.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		fields = append(fields, field{at + "Aim", float64(c.Aim), 0}, field{at + "Memory", float64(c.Memory), 0},
			field{at + "Deadline", float64(c.Deadline), 1}, field{at + "Worth", c.Worth, 0},
			field{at + "LateWorth", c.LateWorth, 0})
	}
	if set.Me >= set.Peers && set.Peers > 0 {
		return fmt.Errorf("control: settings: Me is %d, want a number below Peers, %d", set.Me, set.Peers)
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
	Listed     EventKind = iota + 1 // Endpoints, Whole
	ListFailed                      // asking for the list failed, or the subscription broke
	Arrived                         // ID, Destination, Class, Tenant, Key, Deadline, Again; Attempt, Ran, RanAt, Endpoint
	Resolved                        // ID, Attempt, Endpoint, Result, Elapsed, Settled, Wait, Share, Limit
	Gone                            // ID: the client has withdrawn the message
	Woken                           // a wake asked for is due
	Others                          // Shared
)

// Result is how an attempt ended. A Result that is not listed here is taken as one that may have run.
type Result uint8

// The results. Full, NoConnection, Moot and Rejected prove that the attempt never ran.
const (
	Delivered Result = iota
	Errored
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	Moot
	Rejected // for good: no other attempt would fare better
	Spoilt   // an answer came that can't be read
	Unknown
)

// NeverRan tells whether r proves that the attempt had no effect.
func (r Result) NeverRan() bool {
	return r == Full || r == NoConnection || r == Moot || r == Rejected
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
	Most float64 `cbor:"7,keyasint,omitempty"`
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
	Again       bool          `cbor:"8,keyasint,omitempty"`  // handed in before, or taken over from a sender that died
	Attempt     int           `cbor:"9,keyasint,omitempty"`  // of an arrival: attempts made before this sender started
	Ran         bool          `cbor:"10,keyasint,omitempty"` // one of those may have run, the first at RanAt, at Endpoint
	RanAt       time.Duration `cbor:"11,keyasint,omitempty"` // on the clock of Step
	Endpoint    uint32        `cbor:"12,keyasint,omitempty"`
	Result      Result        `cbor:"13,keyasint,omitempty"`
	Elapsed     time.Duration `cbor:"14,keyasint,omitempty"`
	Settled     bool          `cbor:"15,keyasint,omitempty"`
	Wait        time.Duration `cbor:"16,keyasint,omitempty"` // told with Full
	Reported    bool          `cbor:"17,keyasint,omitempty"` // Share and Limit were reported
	Share       float64       `cbor:"18,keyasint,omitempty"` // share of the allowance left
	Limit       float64       `cbor:"19,keyasint,omitempty"` // calls a second, over all senders; 0: none
	Endpoints   []Endpoint    `cbor:"20,keyasint,omitempty"`
	Whole       bool          `cbor:"21,keyasint,omitempty"` // Endpoints is the whole list
	Shared      *Shared       `cbor:"22,keyasint,omitempty"`
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

// Adopt changes what classes are worth and what tenants may hand in from now on; lists that are shorter than the settings'
// leave the rest as it is. What has arrived keeps its worth.
func (s *Sender) Adopt(worth, quotas []float64) {
	for i := range min(len(worth), len(s.set.Classes)) {
		s.set.Classes[i].Worth = worth[i]
	}
	for i := range min(len(quotas), len(s.quotas)) {
		q := &s.quotas[i]
		q.total, q.rate = quotas[i], quotas[i]/float64(s.set.Peers)
		if s.rights != nil {
			q.rate = quotas[i] * s.part(q.extra)
		}
	}
}
