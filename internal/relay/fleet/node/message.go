// Package node is one relay's part in its fleet: agreement, policy, leases and who may act, in one Step that is handed the
// time and what has happened and returns what is to be done. It does no I/O, reads no clock and starts no goroutine; the
// daemon, the lab and the explorer drive the same code.
package node

import (
	"time"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
)

// Message is what relays of a fleet tell each other; one field is set. The fields' numbers are never given to another.
type Message struct {
	Raft          *Raft           `cbor:"1,keyasint,omitempty"`
	LeaseRequest  *LeaseRequest   `cbor:"2,keyasint,omitempty"`
	LeaseGrant    *LeaseGrant     `cbor:"3,keyasint,omitempty"`
	StateUpdate   *StateUpdate    `cbor:"4,keyasint,omitempty"`
	PositionQuery *PositionQuery  `cbor:"5,keyasint,omitempty"`
	Propose       *policy.Command `cbor:"6,keyasint,omitempty"`
	Tallies       []quota.Tally   `cbor:"7,keyasint,omitempty"` // of the sender, or of others that a voter knows
	Totals        *CounterTotals  `cbor:"8,keyasint,omitempty"`
}

// CounterTotals asks a voter what all relays have counted, or answers.
type CounterTotals struct {
	RequestNumber uint64        `cbor:"1,keyasint"` // of the ask
	Totals        *quota.Totals `cbor:"2,keyasint,omitempty"`
}

// Raft is a message of the engine's.
type Raft struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	Data []byte `cbor:"3,keyasint"`
}

// LeaseRequest asks the leader for a lease, and tells it where its sender stands. A voter that does not lead passes it on.
type LeaseRequest struct {
	From        string   `cbor:"1,keyasint"`
	Generation  uint64   `cbor:"2,keyasint"` // grows with each start of the relay
	Incarnation uint64   `cbor:"3,keyasint"` // drawn at each start: tells two relays of one name apart
	Seq         uint64   `cbor:"4,keyasint"`
	Epoch       uint64   `cbor:"5,keyasint,omitempty"` // of what it knows
	Index       uint64   `cbor:"6,keyasint,omitempty"`
	Stopped     uint64   `cbor:"7,keyasint,omitempty"` // it acts on nothing before that version is in force
	Verdict     *Verdict `cbor:"8,keyasint,omitempty"`
	Member      uint64   `cbor:"9,keyasint,omitempty"` // of a voter, or of one that would be
	Term        uint64   `cbor:"10,keyasint,omitempty"`
	LastIndex   uint64   `cbor:"11,keyasint,omitempty"`
	Forwarded   bool     `cbor:"12,keyasint,omitempty"` // it was passed on once, or is only for the record

	QuotaRequest *quota.Request `cbor:"13,keyasint,omitempty"` // nil: it shares nothing
}

// Verdict is whether a relay can apply a version.
type Verdict struct {
	Version uint64 `cbor:"1,keyasint"`
	Reason  string `cbor:"2,keyasint,omitempty"` // why not; empty: it can
}

// LeaseGrant answers a ping.
type LeaseGrant struct {
	To               string        `cbor:"1,keyasint"`
	Generation       uint64        `cbor:"2,keyasint"`
	Incarnation      uint64        `cbor:"3,keyasint"`
	Seq              uint64        `cbor:"4,keyasint"` // of the ping, from whose sending on the lease counts
	Lease            time.Duration `cbor:"5,keyasint,omitempty"`
	Epoch            uint64        `cbor:"6,keyasint"`
	Index            uint64        `cbor:"7,keyasint"` // the lease is for whoever knows this
	State            *policy.State `cbor:"8,keyasint,omitempty"`
	Rejected         string        `cbor:"9,keyasint,omitempty"`
	NewestGeneration uint64        `cbor:"11,keyasint,omitempty"` // a later generation of the name that was heard
	Progress         *Progress     `cbor:"10,keyasint,omitempty"`

	QuotaGrant *quota.Grant `cbor:"12,keyasint,omitempty"` // for as long as the lease
}

// StateUpdate tells what has been agreed on, unasked.
type StateUpdate struct {
	State    *policy.State `cbor:"1,keyasint"`
	Progress *Progress     `cbor:"2,keyasint,omitempty"`
}

// Progress is how far the step of a change has come, as the leader sees it.
type Progress struct {
	Version uint64        `cbor:"1,keyasint" json:"version"`
	Phase   string        `cbor:"2,keyasint" json:"phase"`
	Done    int           `cbor:"3,keyasint" json:"done"`
	Of      int           `cbor:"4,keyasint" json:"of"`
	Missing []string      `cbor:"5,keyasint,omitempty" json:"missing,omitempty"` // the first of them
	Within  time.Duration `cbor:"6,keyasint,omitempty" json:"within_ns,omitempty"`
}

// PositionQuery asks, or answers, what is remembered of a member: one that has forgotten must not vote.
type PositionQuery struct {
	Member    uint64 `cbor:"1,keyasint"`
	Answer    bool   `cbor:"2,keyasint,omitempty"`
	Term      uint64 `cbor:"3,keyasint,omitempty"`
	LastIndex uint64 `cbor:"4,keyasint,omitempty"`
}

// Event is something that has happened; one field is set.
type Event struct {
	From           string   // a relay whose message this is
	Message        *Message // not to be changed any more
	HaltedFor      uint64   // the core has stopped for that version, and begins nothing under the one before
	Verdict        *Verdict // a check that was asked for is done
	AdminRequest   *AdminRequest
	SaveFailed     error                 // what was to be saved is not on disk
	Demands        *[]quota.Demand       // of this relay, now
	Counters       *map[quota.Key]uint64 // of this life
	ConfirmedLease *[2]uint64            // the core goes by that loan (LeaseLeft's By and Reason), and by none before
}

// AdminRequest is an operator's word, by the command line at this relay.
type AdminRequest struct {
	Number  uint64 `cbor:"1,keyasint"` // by which the answer is known
	Op      string `cbor:"2,keyasint"` // status, propose, found, force, roster
	Version uint64 `cbor:"3,keyasint,omitempty"`
	Doc     []byte `cbor:"4,keyasint,omitempty"`
	By      string `cbor:"5,keyasint,omitempty"`
	Ticket  uint64 `cbor:"6,keyasint,omitempty"`
}

// Action is something to be done; one field is set. Actions are carried out in their order, and none after a Save that fails.
type Action struct {
	Save          *consensus.Image // on disk, synced; with Member: of a new member, all before is void
	Member        uint64
	Generation    uint64 // to be on disk before anything else leaves: its folder had forgotten how often it was started
	To            string // a relay that Message goes to
	Message       *Message
	Check         *policy.Change // may this relay apply it?
	Mandate       *Mandate
	Lease         *quota.Lease // what the core may spend from now on
	Answer        *Status
	RequestNumber uint64 // of the ask that Answer is for
	Log           string
	Fields        []any
}

// Mandate is what a relay may do. It may act from now on, until Until by its own clock, unless it is halted.
type Mandate struct {
	Version uint64
	Doc     []byte
	Until   time.Duration // 0: not at all
	Halted  uint64        // actions on nothing, and says so: this version is about to be in force
	WhyNot  string        // it may not act
}

// Status is what a relay knows, for operators.
type Status struct {
	Relay          string           `cbor:"1,keyasint" json:"relay"`
	Error          string           `cbor:"2,keyasint,omitempty" json:"error,omitempty"`
	Generation     uint64           `cbor:"3,keyasint" json:"generation"`
	Leader         string           `cbor:"4,keyasint,omitempty" json:"leader,omitempty"` // as far as it knows
	Voter          string           `cbor:"5,keyasint,omitempty" json:"voter,omitempty"`
	MayAct         bool             `cbor:"6,keyasint" json:"acts"`
	LeaseLeft      time.Duration    `cbor:"7,keyasint,omitempty" json:"lease_left_ns"`
	WhyNot         string           `cbor:"8,keyasint,omitempty" json:"why_not,omitempty"`
	State          *policy.State    `cbor:"9,keyasint,omitempty" json:"-"`
	Progress       *Progress        `cbor:"10,keyasint,omitempty" json:"progress,omitempty"`
	Voters         []string         `cbor:"11,keyasint,omitempty" json:"voters,omitempty"`
	Counts         map[string]int   `cbor:"12,keyasint,omitempty" json:"counts,omitempty"`
	Quota          *QuotaStatus     `cbor:"14,keyasint,omitempty" json:"rights,omitempty"` // nil: nothing is shared
	Totals         *quota.Totals    `cbor:"16,keyasint,omitempty" json:"-"`
	Shared         []quota.KeyUsage `cbor:"15,keyasint,omitempty" json:"shared,omitempty"` // at the leader
	Contradictions map[string]int   `cbor:"13,keyasint,omitempty" json:"odd,omitempty"`    // at the leader: relays that contradicted all others'
}

// QuotaStatus is what a relay may spend of what the fleet shares.
type QuotaStatus struct {
	LeaseNumber uint64        `cbor:"1,keyasint" json:"loan"`
	Minimum     float64       `cbor:"2,keyasint" json:"floor"` // of 1, of each limit
	Left        time.Duration `cbor:"3,keyasint" json:"left_ns"`
	Keys        []KeyQuota    `cbor:"4,keyasint,omitempty" json:"parts"`
}

// KeyQuota is one destination's or tenant's.
type KeyQuota struct {
	Name     string  `cbor:"1,keyasint" json:"name"`
	Share    float64 `cbor:"2,keyasint" json:"part"` // of 1, with the floor
	Limit    float64 `cbor:"3,keyasint,omitempty" json:"limit,omitempty"`
	State    string  `cbor:"4,keyasint,omitempty" json:"state,omitempty"` // what the fleet takes it for
	MayProbe bool    `cbor:"5,keyasint,omitempty" json:"try,omitempty"`   // it is this relay's turn to try
}
