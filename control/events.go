package control

import "time"

// EventKind says what an Event reports.
type EventKind uint8

// The kinds of events, with the fields that each one uses.
const (
	Listed              EventKind = iota + 1 // Endpoints, Complete
	ListFailed                               // the request for the list failed, or the subscription broke
	Arrived                                  // ID, Destination, Class, Tenant, Key, Deadline, Resubmitted; Attempt, MayHaveRun, RanAt, Endpoint
	Resolved                                 // ID, Attempt, Endpoint, Result, Elapsed, Final, RetryAfter, Reported, Remaining, Limit
	Withdrawn                                // ID; the client has withdrawn the message
	Woken                                    // a requested wake-up is due
	SharedLimitsUpdated                      // Shared
)

// Result is how an attempt ended. A Result that is not listed here means that the attempt may have run.
type Result uint8

// The results.
const (
	Delivered    Result = iota
	Errored             // an answer that reports a failure
	Throttled           // refused for lack of capacity: over a limit, or out of service; RetryAfter may say for how long
	TimedOut            // no answer within the time-out given with Send
	NoConnection        // no connection could be established
	Reset               // the connection broke before the answer
	Cancelled           // cancelled after it had been sent
	NotProcessed        // recalled, or handed back by the endpoint without processing
	Rejected            // refused permanently: another attempt would be refused too
	Malformed           // an answer that can't be parsed
	Unknown             // none of the other results; the attempt may have had an effect
)

// NeverRan reports whether r proves that the attempt had no effect.
func (r Result) NeverRan() bool {
	return r == Throttled || r == NoConnection || r == NotProcessed || r == Rejected
}

// State is the state of an endpoint according to the list.
type State uint8

// The states of a listed endpoint.
const (
	Ready    State = iota
	Draining       // gets no new messages
	Removed        // gets no new messages, and is deleted later
)

// Endpoint is one entry of the endpoint list. Captures store fields by the numbers in the tags, here and below: a number is never reused
// for another field.
type Endpoint struct {
	ID          uint32 `cbor:"1,keyasint,omitempty"`
	Zone        int    `cbor:"2,keyasint,omitempty"`
	Kind        int    `cbor:"3,keyasint,omitempty"` // index into Settings.Kinds
	Destination int    `cbor:"4,keyasint,omitempty"`
	State       State  `cbor:"5,keyasint,omitempty"`

	// ListedLimit is the calls a second that the endpoint's route accepts from all senders together, as far as the list knows. 0: not known.
	// It is used until the route itself reports a limit.
	ListedLimit float64 `cbor:"6,keyasint,omitempty"`
	// MaxRate is the operator's bound on the calls a second to Destination from all senders together. 0: none.
	MaxRate float64 `cbor:"7,keyasint,omitempty"`
}

// Event is one thing that has happened; Kind says which fields are used. Times are on the clock of Step.
type Event struct {
	Kind        EventKind     `cbor:"1,keyasint,omitempty"`
	ID          uint64        `cbor:"2,keyasint,omitempty"` // id of a message
	Destination int           `cbor:"3,keyasint,omitempty"`
	Class       int           `cbor:"4,keyasint,omitempty"`  // index into Settings.Classes
	Tenant      int           `cbor:"5,keyasint,omitempty"`  // index into Settings.Tenants; any other number: no tenant
	Key         uint64        `cbor:"6,keyasint,omitempty"`  // in an ordered class, messages with the same key keep their order; 0: no key
	Deadline    time.Duration `cbor:"7,keyasint,omitempty"`  // at most Class.Deadline after the client first sent the message
	Resubmitted bool          `cbor:"8,keyasint,omitempty"`  // submitted before, or taken over from a sender that has failed
	Attempt     int           `cbor:"9,keyasint,omitempty"`  // number of the attempt, from 0; in Arrived: attempts before this sender started
	MayHaveRun  bool          `cbor:"10,keyasint,omitempty"` // at least one of those attempts may have run, the first at RanAt at Endpoint
	RanAt       time.Duration `cbor:"11,keyasint,omitempty"`
	Endpoint    uint32        `cbor:"12,keyasint,omitempty"`
	Result      Result        `cbor:"13,keyasint,omitempty"`
	Elapsed     time.Duration `cbor:"14,keyasint,omitempty"` // recorded only; no decision uses it
	Final       bool          `cbor:"15,keyasint,omitempty"` // the message has its final answer
	RetryAfter  time.Duration `cbor:"16,keyasint,omitempty"` // the wait that a Throttled answer asked for
	Reported    bool          `cbor:"17,keyasint,omitempty"` // the answer reported Remaining and Limit
	Remaining   float64       `cbor:"18,keyasint,omitempty"` // share of the limit that remains, 0 to 1
	Limit       float64       `cbor:"19,keyasint,omitempty"` // calls a second from all senders together; 0: none
	Endpoints   []Endpoint    `cbor:"20,keyasint,omitempty"`
	Complete    bool          `cbor:"21,keyasint,omitempty"` // Endpoints is the complete list, not a change of it
	Shared      *SharedLimits `cbor:"22,keyasint,omitempty"`
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The kinds of actions, with the fields that each one uses.
const (
	Send      ActionKind = iota + 1 // ID, Endpoint, Duration (time-out)
	Refuse                          // ID, Duration (when to submit it again)
	Fail                            // ID
	Cancel                          // ID, Attempt
	Wake                            // At
	Subscribe                       // to the endpoint list
	Close                           // Endpoint; close its idle connections
	Recall                          // ID; give up its attempt if nothing of it has been written yet
	Log                             // Text
)

// Action is one thing for the caller to do immediately, in the order in which Step returns them.
type Action struct {
	Kind     ActionKind    `cbor:"1,keyasint,omitempty"`
	ID       uint64        `cbor:"2,keyasint,omitempty"`
	Endpoint uint32        `cbor:"3,keyasint,omitempty"`
	Attempt  int           `cbor:"4,keyasint,omitempty"`
	Duration time.Duration `cbor:"5,keyasint,omitempty"`
	At       time.Duration `cbor:"6,keyasint,omitempty"` // on the clock of Step
	Text     string        `cbor:"7,keyasint,omitempty"`
}
