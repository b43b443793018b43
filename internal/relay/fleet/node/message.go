// Package node implements a relay's membership in its fleet (consensus, policy, leases and the mandate to act) as a state machine: Step
// takes the time and events and returns actions. It does no I/O, reads no clock and starts no goroutine. Package peer drives it in the
// daemon, package simulation in tests; both must execute the actions in order.
//
// A Node owns its copy of the fleet's state and, if it is a voter, its consensus.Engine. It must be driven by one goroutine at a time.
// Design: docs/design/fleet-policy.md and docs/design/shared-state.md.
//
// Files: node.go is the part of every relay, lease.go requests leases, voter.go is the part of voters, leader.go the part of the leader,
// members.go changes the voters, admin.go handles operators' requests, count.go the counters.
package node

import (
	"time"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
)

// Message is a message between relays of a fleet; one field is set. A field's number is never reused.
type Message struct {
	Raft          *Raft           `cbor:"1,keyasint,omitempty"`
	LeaseRequest  *LeaseRequest   `cbor:"2,keyasint,omitempty"`
	LeaseGrant    *LeaseGrant     `cbor:"3,keyasint,omitempty"`
	StateUpdate   *StateUpdate    `cbor:"4,keyasint,omitempty"`
	PositionQuery *PositionQuery  `cbor:"5,keyasint,omitempty"`
	Propose       *policy.Command `cbor:"6,keyasint,omitempty"`
	Tallies       []quota.Tally   `cbor:"7,keyasint,omitempty"` // of the sender, or relayed between voters
	Totals        *CounterTotals  `cbor:"8,keyasint,omitempty"`
}

// CounterTotals requests the sums of all relays' counters from a voter, or answers such a request.
type CounterTotals struct {
	RequestNumber uint64        `cbor:"1,keyasint"`           // of the operator's request
	Totals        *quota.Totals `cbor:"2,keyasint,omitempty"` // nil: this is a request
}

// Raft is a message between the engines of two voters.
type Raft struct {
	From uint64 `cbor:"1,keyasint"` // the member's id
	To   uint64 `cbor:"2,keyasint"` // the member's id
	Data []byte `cbor:"3,keyasint"` // see consensus.Message
}

// LeaseRequest requests a lease from the leader and reports the sender's state. A voter that is not the leader forwards it.
type LeaseRequest struct {
	From        string   `cbor:"1,keyasint"`
	Generation  uint64   `cbor:"2,keyasint"`           // grows with each start of the relay
	Incarnation uint64   `cbor:"3,keyasint"`           // random, drawn at each start: distinguishes two relays with one name
	Seq         uint64   `cbor:"4,keyasint"`           // number of the request, from 1 in each incarnation
	Epoch       uint64   `cbor:"5,keyasint,omitempty"` // of the newest state that the sender knows
	Index       uint64   `cbor:"6,keyasint,omitempty"`
	Stopped     uint64   `cbor:"7,keyasint,omitempty"` // the version until which the sender has halted
	Verdict     *Verdict `cbor:"8,keyasint,omitempty"`
	Member      uint64   `cbor:"9,keyasint,omitempty"` // id of a voter, or of a relay that is to become one
	Term        uint64   `cbor:"10,keyasint,omitempty"`
	LastIndex   uint64   `cbor:"11,keyasint,omitempty"`
	Forwarded   bool     `cbor:"12,keyasint,omitempty"` // by a voter; if the sender itself sets it, the request only reports a log position

	QuotaRequest *quota.Request `cbor:"13,keyasint,omitempty"` // nil: the sender shares no limits
}

// Verdict is whether a relay can apply a version of the policy.
type Verdict struct {
	Version uint64 `cbor:"1,keyasint"`
	Reason  string `cbor:"2,keyasint,omitempty"` // why it can't; empty: it can
}

// LeaseGrant is the leader's answer to a LeaseRequest, with or without a lease.
type LeaseGrant struct {
	To               string        `cbor:"1,keyasint"`
	Generation       uint64        `cbor:"2,keyasint"`
	Incarnation      uint64        `cbor:"3,keyasint"`
	Seq              uint64        `cbor:"4,keyasint"`           // of the request; the lease runs from when that request was sent
	Lease            time.Duration `cbor:"5,keyasint,omitempty"` // 0: none
	Epoch            uint64        `cbor:"6,keyasint"`
	Index            uint64        `cbor:"7,keyasint"` // the lease is valid only with a state at least as new
	State            *policy.State `cbor:"8,keyasint,omitempty"`
	Rejected         string        `cbor:"9,keyasint,omitempty"`  // why the relay can get no lease; empty: it can
	NewestGeneration uint64        `cbor:"11,keyasint,omitempty"` // that is known for the relay's name, if it is higher than the requester's
	Progress         *Progress     `cbor:"10,keyasint,omitempty"`

	QuotaGrant *quota.Grant `cbor:"12,keyasint,omitempty"` // valid for as long as the lease
}

// StateUpdate is the leader's broadcast of the committed state.
type StateUpdate struct {
	State    *policy.State `cbor:"1,keyasint"`
	Progress *Progress     `cbor:"2,keyasint,omitempty"`
}

// Progress is the progress of a phase of a change, as seen by the leader. The command line prints it as JSON.
type Progress struct {
	Version uint64        `cbor:"1,keyasint" json:"version"`
	Phase   string        `cbor:"2,keyasint" json:"phase"`
	Done    int           `cbor:"3,keyasint" json:"done"`                          // relays that have completed the phase
	Of      int           `cbor:"4,keyasint" json:"of"`                            // all relays that must complete it
	Missing []string      `cbor:"5,keyasint,omitempty" json:"missing,omitempty"`   // names of relays that are not done, up to maxMissingNames
	Within  time.Duration `cbor:"6,keyasint,omitempty" json:"within_ns,omitempty"` // until all missing relays' leases expire, when those count as done
}

// PositionQuery asks a voter for the log position that it remembers of a member, or answers that. A member that lost entries must not vote.
type PositionQuery struct {
	Member    uint64 `cbor:"1,keyasint"`
	Answer    bool   `cbor:"2,keyasint,omitempty"`
	Term      uint64 `cbor:"3,keyasint,omitempty"`
	LastIndex uint64 `cbor:"4,keyasint,omitempty"`
}

// Event is an input of Step. One kind of input is set: the fields other than From exclude each other.
type Event struct {
	From           string   // the relay that sent Message
	Message        *Message // must not be changed any more
	HaltedFor      uint64   // the core has halted until that version takes effect, and starts nothing under the old one
	Verdict        *Verdict // the result of an Action.Check
	AdminRequest   *AdminRequest
	SaveFailed     error                 // why an action's Save or Generation could not be saved
	Demands        *[]quota.Demand       // the current demands of this relay
	Counters       *map[quota.Key]uint64 // the counters of this incarnation
	ConfirmedLease *[2]uint64            // Term and Number of the quota.Lease that the core has applied, in place of all before it
}

// AdminRequest is an operator's request to a relay, sent by the command line.
type AdminRequest struct {
	Number  uint64 `cbor:"1,keyasint"` // identifies the answer
	Op      string `cbor:"2,keyasint"` // counts, status, propose, roster, found or force
	Version uint64 `cbor:"3,keyasint,omitempty"`
	Doc     []byte `cbor:"4,keyasint,omitempty"`
	By      string `cbor:"5,keyasint,omitempty"`
	Ticket  uint64 `cbor:"6,keyasint,omitempty"`
}

// Action is an output of Step. One kind of action is set. Actions must be executed in order, and none after a Save that fails.
type Action struct {
	Save          *consensus.Image // to be synced to disk
	Member        uint64           // with Save: id of the new member that replaces the saved one; 0: unchanged
	Generation    uint64           // to be on disk before any further message is sent, see raiseGeneration
	To            string           // the relay that Message is sent to
	Message       *Message
	Check         *policy.Change // to be checked; an Event with the Verdict must follow
	Mandate       *Mandate       // for the core, from now on; see Event.HaltedFor
	Lease         *quota.Lease   // for the core, from now on; see Event.ConfirmedLease
	Answer        *Status
	RequestNumber uint64 // of the operator's request that Answer answers
	Log           string // a line to be logged
	Fields        []any  // of Log: alternating keys and values
}

// Mandate is a relay's permission to act: until Until by the relay's own clock, unless it is halted.
type Mandate struct {
	Version uint64        // of the policy in force; 0: none
	Doc     []byte        // of that policy
	Until   time.Duration // 0: it must not act
	Halted  uint64        // not 0: it must not act since this version is about to take effect
	WhyNot  string        // why it must not act, or gets no new lease; empty: neither
}

// Status is a relay's view of the fleet, for operators. The command line prints it as JSON.
type Status struct {
	Relay          string           `cbor:"1,keyasint" json:"relay"`
	Error          string           `cbor:"2,keyasint,omitempty" json:"error,omitempty"`
	Generation     uint64           `cbor:"3,keyasint" json:"generation"`
	Leader         string           `cbor:"4,keyasint,omitempty" json:"leader,omitempty"` // as far as the relay knows
	Voter          string           `cbor:"5,keyasint,omitempty" json:"voter,omitempty"`
	MayAct         bool             `cbor:"6,keyasint" json:"acts"`
	LeaseLeft      time.Duration    `cbor:"7,keyasint,omitempty" json:"lease_left_ns"`
	WhyNot         string           `cbor:"8,keyasint,omitempty" json:"why_not,omitempty"`
	State          *policy.State    `cbor:"9,keyasint,omitempty" json:"-"`
	Progress       *Progress        `cbor:"10,keyasint,omitempty" json:"progress,omitempty"`
	Voters         []string         `cbor:"11,keyasint,omitempty" json:"voters,omitempty"`
	Counts         map[string]int   `cbor:"12,keyasint,omitempty" json:"counts,omitempty"`
	Quota          *QuotaStatus     `cbor:"14,keyasint,omitempty" json:"rights,omitempty"` // nil: no limits are shared
	Totals         *quota.Totals    `cbor:"16,keyasint,omitempty" json:"-"`
	Shared         []quota.KeyUsage `cbor:"15,keyasint,omitempty" json:"shared,omitempty"` // at the leader
	Contradictions map[string]int   `cbor:"13,keyasint,omitempty" json:"odd,omitempty"`    // at the leader: reports that contradicted all others, by relay
}

// QuotaStatus is what a relay may spend of the shared limits.
type QuotaStatus struct {
	LeaseNumber uint64        `cbor:"1,keyasint" json:"loan"`
	Minimum     float64       `cbor:"2,keyasint" json:"floor"` // guaranteed fraction of each limit
	Left        time.Duration `cbor:"3,keyasint" json:"left_ns"`
	Keys        []KeyQuota    `cbor:"4,keyasint,omitempty" json:"parts"`
}

// KeyQuota is a relay's share of a destination's limit or a tenant's quota.
type KeyQuota struct {
	Name     string  `cbor:"1,keyasint" json:"name"`
	Share    float64 `cbor:"2,keyasint" json:"part"` // fraction, with the guaranteed minimum
	Limit    float64 `cbor:"3,keyasint,omitempty" json:"limit,omitempty"`
	State    string  `cbor:"4,keyasint,omitempty" json:"state,omitempty"` // the fleet's verdict on the destination; empty: none
	MayProbe bool    `cbor:"5,keyasint,omitempty" json:"try,omitempty"`   // it is this relay's turn to probe
}
