package control

import "time"

// EventKind tells what an Event reports.
type EventKind uint8

// The events, with the fields that count.
const (
	Listed              EventKind = iota + 1 // Endpoints, Complete
	ListFailed                               // asking for the list failed, or the subscription broke
	Arrived                                  // ID, Destination, Class, Tenant, Key, Deadline, Resubmitted; Attempt, MayHaveRun, RanAt, Endpoint
	Resolved                                 // ID, Attempt, Endpoint, Result, Elapsed, Final, RetryAfter, Reported, Remaining, Limit
	Withdrawn                                // ID: the client has withdrawn the message
	Woken                                    // a wake-up that was asked for is due
	SharedLimitsUpdated                      // Shared
)

// Result is how an attempt ended. A Result that is not listed here is taken as one that may have run.
type Result uint8

// The results.
const (
	Delivered    Result = iota
	Errored             // an answer that says that it failed
	Throttled           // refused for lack of capacity: over a limit, or shut; RetryAfter may say for how long
	TimedOut            // no answer in the time given with Send
	NoConnection        // no connection could be made
	Reset               // the connection broke before the answer
	Cancelled           // called off after it had been sent
	NotProcessed        // it never reached the destination's work: recalled, or handed back
	Rejected            // refused for good: no other attempt would fare better
	Malformed           // an answer came that can't be read
	Unknown             // nothing is known of it
)

// NeverRan tells whether r proves that the attempt had no effect.
func (r Result) NeverRan() bool {
	return r == Throttled || r == NoConnection || r == NotProcessed || r == Rejected
}

// State is what the list says of an endpoint.
type State uint8

// The states of a listed endpoint.
const (
	Ready    State = iota
	Draining       // gets nothing new
	Removed        // gets nothing new, and is forgotten in time
)

// Endpoint is one entry of the list. The numbers in the tags are those of captures, here and below: they are never given to another field.
type Endpoint struct {
	ID          uint32 `cbor:"1,keyasint,omitempty"`
	Zone        int    `cbor:"2,keyasint,omitempty"`
	Kind        int    `cbor:"3,keyasint,omitempty"` // an index of Settings.Kinds
	Destination int    `cbor:"4,keyasint,omitempty"`
	State       State  `cbor:"5,keyasint,omitempty"`

	// Weight is the calls a second that its route takes from all senders together, as far as the list knows. 0: not known. It counts
	// until the route reports a limit itself.
	Weight float64 `cbor:"6,keyasint,omitempty"`
	// MaxRate is an operator's bound on the calls a second that Destination may get from all senders together. 0: none.
	MaxRate float64 `cbor:"7,keyasint,omitempty"`
}

// Event is one thing that has happened; Kind names the fields that count. Times are on the clock of Step.
type Event struct {
	Kind        EventKind     `cbor:"1,keyasint,omitempty"`
	ID          uint64        `cbor:"2,keyasint,omitempty"` // of a message
	Destination int           `cbor:"3,keyasint,omitempty"`
	Class       int           `cbor:"4,keyasint,omitempty"`  // an index of Settings.Classes
	Tenant      int           `cbor:"5,keyasint,omitempty"`  // an index of Settings.Tenants; any other number: none
	Key         uint64        `cbor:"6,keyasint,omitempty"`  // of messages that must keep their order, in an ordered class; 0: none
	Deadline    time.Duration `cbor:"7,keyasint,omitempty"`  // at most Class.Deadline from when the client first sent it
	Resubmitted bool          `cbor:"8,keyasint,omitempty"`  // handed in before, or taken over from a sender that died
	Attempt     int           `cbor:"9,keyasint,omitempty"`  // its number, from 0; of an arrival: attempts made before this sender started
	MayHaveRun  bool          `cbor:"10,keyasint,omitempty"` // one of those may have run, the first at RanAt, at Endpoint
	RanAt       time.Duration `cbor:"11,keyasint,omitempty"`
	Endpoint    uint32        `cbor:"12,keyasint,omitempty"`
	Result      Result        `cbor:"13,keyasint,omitempty"`
	Elapsed     time.Duration `cbor:"14,keyasint,omitempty"` // recorded, and not used to decide
	Final       bool          `cbor:"15,keyasint,omitempty"` // the message has its final answer
	RetryAfter  time.Duration `cbor:"16,keyasint,omitempty"` // the wait that a Throttled call was answered with
	Reported    bool          `cbor:"17,keyasint,omitempty"` // Remaining and Limit were reported
	Remaining   float64       `cbor:"18,keyasint,omitempty"` // share of the allowance that is left, 0 to 1
	Limit       float64       `cbor:"19,keyasint,omitempty"` // calls a second, over all senders; 0: none
	Endpoints   []Endpoint    `cbor:"20,keyasint,omitempty"`
	Complete    bool          `cbor:"21,keyasint,omitempty"` // Endpoints is the complete list, and not a change of it
	Shared      *SharedLimits `cbor:"22,keyasint,omitempty"`
}

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The actions, with the fields that count.
const (
	Send      ActionKind = iota + 1 // ID, Endpoint, For (time-out)
	Refuse                          // ID, For (when to come again)
	Fail                            // ID
	Cancel                          // ID, Attempt
	Wake                            // At
	Subscribe                       // to changes of the list
	Close                           // Endpoint: its idle connections
	Recall                          // ID: its attempt, if nothing of it has been written yet
	Log                             // Text
)

// Action is one thing to be done at once, in the order of the list that Step returns.
type Action struct {
	Kind     ActionKind    `cbor:"1,keyasint,omitempty"`
	ID       uint64        `cbor:"2,keyasint,omitempty"`
	Endpoint uint32        `cbor:"3,keyasint,omitempty"`
	Attempt  int           `cbor:"4,keyasint,omitempty"`
	For      time.Duration `cbor:"5,keyasint,omitempty"`
	At       time.Duration `cbor:"6,keyasint,omitempty"` // on the clock of Step
	Text     string        `cbor:"7,keyasint,omitempty"`
}
