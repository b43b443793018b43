package capture

import (
	"fmt"
	"math/bits"
	"slices"
	"time"

	"mastusher/control"
)

// What the core is told and does, beside the module: a replay of these drives the whole core with the recording in the
// place of its fronts, its journal and its clock. Bodies are not recorded, only how long they are. All times are on the
// module's clock.

// CoreSettings is what the core itself goes by, beside the module's settings.
type CoreSettings struct {
	Kinds          []string      `cbor:"1,keyasint,omitempty"`
	Zones          []string      `cbor:"2,keyasint,omitempty"`
	WindowMargin   time.Duration `cbor:"3,keyasint,omitempty"`
	BusyRetry      time.Duration `cbor:"4,keyasint,omitempty"`
	AnswerWithin   time.Duration `cbor:"5,keyasint,omitempty"`
	BodySize       int           `cbor:"6,keyasint,omitempty"`
	DrainSends     time.Duration `cbor:"7,keyasint,omitempty"`
	DrainExit      time.Duration `cbor:"8,keyasint,omitempty"`
	NoticesPerCall int           `cbor:"9,keyasint,omitempty"`
	NoticeTimeout  time.Duration `cbor:"10,keyasint,omitempty"`
	NoticeRetry    time.Duration `cbor:"11,keyasint,omitempty"`
	NoticeRetryMax time.Duration `cbor:"12,keyasint,omitempty"`
	WatchRetry     time.Duration `cbor:"13,keyasint,omitempty"`
	Weights        bool          `cbor:"14,keyasint,omitempty"` // the list's weights are rates
	WatchSpread    time.Duration `cbor:"15,keyasint,omitempty"`
	EndedRetention time.Duration `cbor:"16,keyasint,omitempty"`
	MaxEnded       int           `cbor:"17,keyasint,omitempty"`
}

// Core is the core's whole state between two turns, beside the module's. Lists are sorted by their numbers.
type Core struct {
	Fronts           []FrontState       `cbor:"1,keyasint"`
	Destinations     []DestinationState `cbor:"2,keyasint,omitempty"`
	Numbers          []Name             `cbor:"3,keyasint,omitempty"` // also of destinations that stand in the journal only
	Messages         []MessageState     `cbor:"4,keyasint,omitempty"`
	Attempts         []AttemptState     `cbor:"5,keyasint,omitempty"` // that are out
	Events           []control.Event    `cbor:"6,keyasint,omitempty"` // the module learns of them next turn
	LastDestination  uint32             `cbor:"7,keyasint,omitempty"`
	LastRef          uint64             `cbor:"8,keyasint,omitempty"`
	LastAttempt      uint64             `cbor:"9,keyasint,omitempty"`
	Submitted        uint64             `cbor:"10,keyasint,omitempty"`
	WakeAt           time.Duration      `cbor:"11,keyasint,omitempty"` // 0: not at all, as for the next ones
	WatchAt          time.Duration      `cbor:"12,keyasint,omitempty"`
	DrainAt          time.Duration      `cbor:"13,keyasint,omitempty"`
	LastHousekeeping time.Duration      `cbor:"14,keyasint,omitempty"`
	Mandate          *Mandate           `cbor:"15,keyasint,omitempty"` // nil: the relay belongs to no fleet
	Ended            []EndedState       `cbor:"16,keyasint,omitempty"` // the oldest first
}

// EndedState is a message that has ended a moment ago.
type EndedState struct {
	Key     string        `cbor:"1,keyasint"` // its front and id
	At      time.Duration `cbor:"2,keyasint"`
	Verdict uint8         `cbor:"3,keyasint,omitempty"` // the answer if it comes again
}

// FrontState is what the core keeps for a front.
type FrontState struct {
	Name               string        `cbor:"1,keyasint"`
	NotifiesDeliveries bool          `cbor:"2,keyasint,omitempty"` // its clients are owed a notice of a delivery too
	List               []uint32      `cbor:"3,keyasint,omitempty"`
	Index              int64         `cbor:"4,keyasint,omitempty"`
	LastWatch          int           `cbor:"5,keyasint,omitempty"`
	Watching           bool          `cbor:"6,keyasint,omitempty"`
	Outstanding        []uint64      `cbor:"7,keyasint,omitempty"` // refs of messages whose notices wait
	Sending            []uint64      `cbor:"8,keyasint,omitempty"` // and of those in the call that is out
	Calling            bool          `cbor:"9,keyasint,omitempty"`
	MovedMeanwhile     bool          `cbor:"10,keyasint,omitempty"` // the front has moved while that call was out
	RetryAt            time.Duration `cbor:"11,keyasint,omitempty"`
	Backoff            time.Duration `cbor:"12,keyasint,omitempty"`
	ListReportedBy     int           `cbor:"13,keyasint,omitempty"` // number of the watch that told the newest list
}

// DestinationState is a destination as listed.
type DestinationState struct {
	Number    uint32        `cbor:"1,keyasint"`
	Front     int           `cbor:"2,keyasint,omitempty"`
	Name      string        `cbor:"3,keyasint"`
	Zone      string        `cbor:"4,keyasint,omitempty"`
	Kind      string        `cbor:"5,keyasint,omitempty"`
	Partner   int           `cbor:"6,keyasint,omitempty"`
	State     control.State `cbor:"7,keyasint,omitempty"`
	RemovedAt time.Duration `cbor:"8,keyasint,omitempty"`
	Weight    float64       `cbor:"9,keyasint,omitempty"`
}

// MessageState is a message that is not over.
type MessageState struct {
	Ref           uint64        `cbor:"1,keyasint"`
	Front         int           `cbor:"2,keyasint,omitempty"`
	ID            string        `cbor:"3,keyasint"`
	KeySize       int           `cbor:"4,keyasint,omitempty"`
	Partner       int           `cbor:"5,keyasint,omitempty"`
	Class         int           `cbor:"6,keyasint,omitempty"`
	Deadline      time.Duration `cbor:"7,keyasint,omitempty"`
	Resubmitted   bool          `cbor:"8,keyasint,omitempty"`
	Size          int           `cbor:"9,keyasint,omitempty"`
	Headers       uint64        `cbor:"10,keyasint,omitempty"` // a hash: those of one call are the same
	Attempts      int           `cbor:"11,keyasint,omitempty"`
	InFlight      bool          `cbor:"12,keyasint,omitempty"`
	MayHaveRun    bool          `cbor:"13,keyasint,omitempty"`
	MayHaveRunAt  time.Duration `cbor:"14,keyasint,omitempty"`
	MayHaveRunOn  string        `cbor:"15,keyasint,omitempty"`
	LastAttemptAt time.Duration `cbor:"16,keyasint,omitempty"`
	LastAttemptOn string        `cbor:"17,keyasint,omitempty"`
	NoticePending bool          `cbor:"18,keyasint,omitempty"`
	Delivered     bool          `cbor:"19,keyasint,omitempty"`
	HandedBack    bool          `cbor:"20,keyasint,omitempty"`
	RetryAfter    time.Duration `cbor:"21,keyasint,omitempty"`
	Attempt       uint64        `cbor:"22,keyasint,omitempty"` // out now; 0: none
	Tenant        int           `cbor:"23,keyasint,omitempty"`
	PolicyVersion uint64        `cbor:"24,keyasint,omitempty"` // version under which it was taken on
	MaxAttempts   int           `cbor:"25,keyasint,omitempty"` // attempts that it may have by that
}

// AttemptState is an attempt that is out.
type AttemptState struct {
	Number   uint64   `cbor:"1,keyasint"`
	To       uint32   `cbor:"2,keyasint,omitempty"`
	Refs     []uint64 `cbor:"3,keyasint,omitempty"`
	Attempts []int    `cbor:"4,keyasint,omitempty"`

	QueuePosition int           `cbor:"5,keyasint,omitempty"` // its place among those that wait until the relay may act, from 1
	ScheduledAt   time.Duration `cbor:"6,keyasint,omitempty"` // of those: when it was decided, its time-out, and until when it may write
	Timeout       time.Duration `cbor:"7,keyasint,omitempty"`
	WriteBefore   time.Duration `cbor:"8,keyasint,omitempty"`
	Canceled      bool          `cbor:"9,keyasint,omitempty"`  // it has been called off
	StartAfter    time.Duration `cbor:"10,keyasint,omitempty"` // it waits until then, behind others to its partner
}

// Mandate is what a fleet lets its relay do.
type Mandate struct {
	Version  uint64             `cbor:"1,keyasint,omitempty"`  // of the policy in force; 0: the relay's own file
	Until    time.Duration      `cbor:"2,keyasint,omitempty"`  // it may act before that only; 0: not at all
	Halted   uint64             `cbor:"3,keyasint,omitempty"`  // it acts on nothing: that version is about to be in force
	Closed   bool               `cbor:"4,keyasint,omitempty"`  // it takes nothing new
	Stamp    bool               `cbor:"5,keyasint,omitempty"`  // attempts tell their version
	Worth    []float64          `cbor:"6,keyasint,omitempty"`  // of all classes
	Attempts []int              `cbor:"7,keyasint,omitempty"`  // that a message may have, by class; 0: what the settings allow
	Quotas   []float64          `cbor:"8,keyasint,omitempty"`  // of all tenants, messages/s over all relays
	Shut     []int              `cbor:"9,keyasint,omitempty"`  // partners, sorted
	Most     []PartnerRateLimit `cbor:"10,keyasint,omitempty"` // sorted by partner
}

// PartnerRateLimit is a limit that operators set by hand.
type PartnerRateLimit struct {
	Partner int     `cbor:"1,keyasint,omitempty"`
	Limit   float64 `cbor:"2,keyasint,omitempty"` // calls/s from all relays together
}

// Shuts tells whether a partner is shut by hand. No mandate shuts none.
func (s *Mandate) Shuts(partner int) bool { return s != nil && slices.Contains(s.Shut, partner) }

// MostTo is the limit of a partner by hand; 0: none.
func (s *Mandate) MostTo(partner int) float64 {
	if s == nil {
		return 0
	}
	if i := slices.IndexFunc(s.Most, func(m PartnerRateLimit) bool { return m.Partner == partner }); i >= 0 {
		return s.Most[i].Limit
	}
	return 0
}

// String tells two stands apart where states are compared by what they print.
func (s *Mandate) String() string {
	if s == nil {
		return "none"
	}
	return fmt.Sprintf("%+v", *s)
}

// Input is one turn of the core: what its queue brought, how the journal fared, and what it did.
type Input struct {
	No      uint64        `cbor:"1,keyasint,omitempty"` // of the module's turn in it; 0: it had none
	Now     time.Duration `cbor:"2,keyasint"`
	Events  []CoreEvent   `cbor:"3,keyasint,omitempty"`
	Full    []int         `cbor:"4,keyasint,omitempty"` // which of the messages to be taken on the journal had no room for
	Failed  bool          `cbor:"5,keyasint,omitempty"` // the journal could not be written
	Sum     uint64        `cbor:"6,keyasint,omitempty"` // of what it did, see Add; 0: nothing
	Actions []Action      `cbor:"-"`                    // the same in full, in a replay
}

// Add takes a deed into the sum. The deeds themselves follow from the rest, and would take as much time to write as all
// of it.
func (in *Input) Add(d *Action) {
	h := in.Sum ^ uint64(d.Kind)
	for _, v := range [...]uint64{d.Number, uint64(d.Target), uint64(d.Wait), uint64(d.WriteBefore), uint64(d.After), uint64(d.Verdict)} {
		h = (bits.RotateLeft64(h, 23) ^ v) * 0x9e3779b97f4a7c15
	}
	for _, v := range d.Refs {
		h = (bits.RotateLeft64(h, 23) ^ v) * 0x9e3779b97f4a7c15
	}
	in.Sum = max(h, 1)
}

// CoreKind tells what a CoreEvent is.
type CoreKind uint8

// The core's events.
const (
	Submitted    CoreKind = iota + 1 // Front, Arrival
	Withdrawn                        // Ref
	Moved                            // Front
	DrainStarted                     // -
	AttemptEnded                     // Number, Items, Outcomes
	ListReported                     // Front, Number: of the watch, List
	WatchEnded                       // Front, Number: of the watch, Text
	Notified                         // Front, Accepted
	Governed                         // Mandate
	QuotaGranted                     // Shared
)

// CoreEvent is one thing that came by the core's queue.
type CoreEvent struct {
	Kind     CoreKind      `cbor:"1,keyasint"`
	Front    int           `cbor:"2,keyasint,omitempty"` // below 0: there is no such front
	Ref      uint64        `cbor:"3,keyasint,omitempty"`
	Number   uint64        `cbor:"4,keyasint,omitempty"`
	Arrival  *Arrival      `cbor:"5,keyasint,omitempty"`
	Outcomes []Outcome     `cbor:"6,keyasint,omitempty"` // nil: as the module is told in the same turn
	List     *EndpointList `cbor:"7,keyasint,omitempty"`
	Accepted []bool        `cbor:"8,keyasint,omitempty"`
	Text     string        `cbor:"9,keyasint,omitempty"`
	Items    int           `cbor:"10,keyasint,omitempty"`
	Mandate  *Mandate      `cbor:"11,keyasint,omitempty"`

	Shared *control.SharedLimits `cbor:"12,keyasint,omitempty"`
}

// Arrival is a message handed in, with what an inspector (a plug-in) ruled.
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
	QueuedFor       time.Duration `cbor:"11,keyasint,omitempty"` // since it was handed in
	Verdict         uint8         `cbor:"12,keyasint,omitempty"` // of the inspector
	Status          int           `cbor:"13,keyasint,omitempty"`
	Reason          string        `cbor:"14,keyasint,omitempty"`
	Tenant          int           `cbor:"15,keyasint,omitempty"`
	SeenUnderPolicy uint64        `cbor:"16,keyasint,omitempty"` // one more than the version of the policy under which the inspector saw it
}

// Outcome is how an attempt ended for one of its messages.
type Outcome struct {
	Result     control.Result `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"2,keyasint,omitempty"`
	Final      bool           `cbor:"3,keyasint,omitempty"`
	Reported   bool           `cbor:"4,keyasint,omitempty"`
	Share      float64        `cbor:"5,keyasint,omitempty"`
	Limit      float64        `cbor:"6,keyasint,omitempty"`
}

// List is an endpoint list, or what has changed in it.
type EndpointList struct {
	Index        int64              `cbor:"1,keyasint,omitempty"`
	Complete     bool               `cbor:"2,keyasint,omitempty"`
	Destinations []DestinationState `cbor:"3,keyasint,omitempty"` // without numbers
}

// ActionKind tells what an Action is.
type ActionKind uint8

// What the core does.
const (
	Replied         ActionKind = iota + 1 // Number: of the message submitted, Verdict, Wait: when to come again
	AttemptBegan                          // Number: of the attempt, Target, Refs, Wait: its time-out, WriteBefore
	AttemptCanceled                       // Number: of the attempt that is canceled
	AttemptRecalled                       // Number: of the attempt that is canceled if nothing of it was written
	NoticesSent                           // Number: of the front, Refs of the notices in the call
	WatchStarted                          // Number: of the front, Target: number of the watch, After
	IdleClosed                            // Target: the destination whose idle connections are closed
	MessageFinished                       // Number: of the message that is over and owes nothing more
)

// Action is one thing that the core did.
type Action struct {
	Kind        ActionKind
	Number      uint64
	Target      uint32
	Refs        []uint64
	Wait        time.Duration
	WriteBefore time.Duration
	After       int64
	Verdict     uint8
}
