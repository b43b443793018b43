package capture

import (
	"time"

	"mastusher/control"
)

// CoreSettings holds the core's own settings, in addition to the module's.
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
	Weights        bool          `cbor:"14,keyasint,omitempty"` // the weights in the endpoint list are rates
	WatchSpread    time.Duration `cbor:"15,keyasint,omitempty"`
	EndedRetention time.Duration `cbor:"16,keyasint,omitempty"`
	MaxEnded       int           `cbor:"17,keyasint,omitempty"`
}

// Core is the core's whole state between two turns, without the module's. Lists are sorted by number.
type Core struct {
	Fronts           []FrontState       `cbor:"1,keyasint"`
	Destinations     []DestinationState `cbor:"2,keyasint,omitempty"`
	Numbers          []Name             `cbor:"3,keyasint,omitempty"` // names of destinations, including those that only the journal mentions
	Messages         []MessageState     `cbor:"4,keyasint,omitempty"`
	Attempts         []AttemptState     `cbor:"5,keyasint,omitempty"` // in flight
	Events           []control.Event    `cbor:"6,keyasint,omitempty"` // to be passed to the module in the next turn
	LastDestination  uint32             `cbor:"7,keyasint,omitempty"`
	LastRef          uint64             `cbor:"8,keyasint,omitempty"`
	LastAttempt      uint64             `cbor:"9,keyasint,omitempty"`
	Submitted        uint64             `cbor:"10,keyasint,omitempty"`
	WakeAt           time.Duration      `cbor:"11,keyasint,omitempty"` // 0: not set; the same for WatchAt and DrainAt
	WatchAt          time.Duration      `cbor:"12,keyasint,omitempty"`
	DrainAt          time.Duration      `cbor:"13,keyasint,omitempty"`
	LastHousekeeping time.Duration      `cbor:"14,keyasint,omitempty"`
	Mandate          *Mandate           `cbor:"15,keyasint,omitempty"` // nil: the relay belongs to no fleet
	Ended            []EndedState       `cbor:"16,keyasint,omitempty"` // oldest first
}

// EndedState is a message that ended recently.
type EndedState struct {
	Key     string        `cbor:"1,keyasint"` // front and id of the message
	At      time.Duration `cbor:"2,keyasint"`
	Verdict uint8         `cbor:"3,keyasint,omitempty"` // the reply to a resubmission
}

// FrontState is the core's state of a front.
type FrontState struct {
	Name               string        `cbor:"1,keyasint"`
	NotifiesDeliveries bool          `cbor:"2,keyasint,omitempty"` // clients also get notices of deliveries
	List               []uint32      `cbor:"3,keyasint,omitempty"`
	Index              int64         `cbor:"4,keyasint,omitempty"`
	LastWatch          int           `cbor:"5,keyasint,omitempty"`
	Watching           bool          `cbor:"6,keyasint,omitempty"`
	Outstanding        []uint64      `cbor:"7,keyasint,omitempty"` // refs of messages whose notices wait to be sent
	Sending            []uint64      `cbor:"8,keyasint,omitempty"` // refs of messages whose notices are in the call in flight
	Calling            bool          `cbor:"9,keyasint,omitempty"`
	MovedMeanwhile     bool          `cbor:"10,keyasint,omitempty"` // the front's discovery moved while the call was in flight
	RetryAt            time.Duration `cbor:"11,keyasint,omitempty"`
	Backoff            time.Duration `cbor:"12,keyasint,omitempty"`
	ListReportedBy     int           `cbor:"13,keyasint,omitempty"` // number of the watch that delivered the newest list
}

// DestinationState is a destination as the endpoint list has it.
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

// MessageState is a message that has not ended.
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
	Headers       uint64        `cbor:"10,keyasint,omitempty"` // hash of the headers: messages of one call have the same headers
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
	Attempt       uint64        `cbor:"22,keyasint,omitempty"` // number of the attempt in flight; 0: none
	Tenant        int           `cbor:"23,keyasint,omitempty"`
	PolicyVersion uint64        `cbor:"24,keyasint,omitempty"` // version of the policy under which it was accepted
	MaxAttempts   int           `cbor:"25,keyasint,omitempty"` // maximum number of attempts under that policy
}

// AttemptState is an attempt in flight.
type AttemptState struct {
	Number   uint64   `cbor:"1,keyasint"`
	To       uint32   `cbor:"2,keyasint,omitempty"`
	Refs     []uint64 `cbor:"3,keyasint,omitempty"`
	Attempts []int    `cbor:"4,keyasint,omitempty"`

	QueuePosition int           `cbor:"5,keyasint,omitempty"` // from 1, among attempts that wait until the relay may act
	ScheduledAt   time.Duration `cbor:"6,keyasint,omitempty"` // when a waiting attempt was decided
	Timeout       time.Duration `cbor:"7,keyasint,omitempty"` // of a waiting attempt
	WriteBefore   time.Duration `cbor:"8,keyasint,omitempty"` // after this time a waiting attempt must not write
	Canceled      bool          `cbor:"9,keyasint,omitempty"`
	StartAfter    time.Duration `cbor:"10,keyasint,omitempty"` // it waits until then, behind other attempts to its partner
}
