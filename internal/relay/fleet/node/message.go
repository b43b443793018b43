// Package node is one relay's member of its fleet: consensus, policy, leases and the mandate to act, in one Step that is given
// the time and events and returns actions. It does no I/O, reads no clock and starts no goroutine. Package peer drives it in the
// daemon, package simulation in tests; both must carry out the actions in their order.
//
// A Node owns its consensus.Engine, if it is a voter, and what it knows of the fleet's state. It must be driven by one goroutine
// at a time. Design: docs/design/fleet-policy.md and docs/design/shared-state.md.
//
// Files: node.go is what every relay does, lease.go how it gets its lease, voter.go what a voter does, leader.go what the leader does,
// members.go how it changes the voters, admin.go operators' requests, count.go the counters.
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
	Tallies       []quota.Tally   `cbor:"7,keyasint,omitempty"` // of the sender, or of others that a voter knows
	Totals        *CounterTotals  `cbor:"8,keyasint,omitempty"`
}

// CounterTotals asks a voter what all relays have counted, or answers that.
type CounterTotals struct {
	RequestNumber uint64        `cbor:"1,keyasint"`           // of the operator's request
	Totals        *quota.Totals `cbor:"2,keyasint,omitempty"` // nil: it asks
}

// Raft is a message between the engines of two voters.
type Raft struct {
	From uint64 `cbor:"1,keyasint"` // the member's id
	To   uint64 `cbor:"2,keyasint"` // the member's id
	Data []byte `cbor:"3,keyasint"` // see consensus.Message
}

// LeaseRequest asks the leader for a lease, and reports what its sender knows and has done. Another voter forwards it to the leader.
type LeaseRequest struct {
	From        string   `cbor:"1,keyasint"`
	Generation  uint64   `cbor:"2,keyasint"`           // grows with each start of the relay
	Incarnation uint64   `cbor:"3,keyasint"`           // drawn at each start: distinguishes two relays of one name
	Seq         uint64   `cbor:"4,keyasint"`           // number of the request, from 1 in each incarnation
	Epoch       uint64   `cbor:"5,keyasint,omitempty"` // of the newest state that it knows
	Index       uint64   `cbor:"6,keyasint,omitempty"`
	Stopped     uint64   `cbor:"7,keyasint,omitempty"` // it has halted until that version is in force
	Verdict     *Verdict `cbor:"8,keyasint,omitempty"`
	Member      uint64   `cbor:"9,keyasint,omitempty"` // id of a voter, or of a relay that is to become one
	Term        uint64   `cbor:"10,keyasint,omitempty"`
	LastIndex   uint64   `cbor:"11,keyasint,omitempty"`
	Forwarded   bool     `cbor:"12,keyasint,omitempty"` // by a voter; from the sender itself: only its log position is to be remembered

	QuotaRequest *quota.Request `cbor:"13,keyasint,omitempty"` // nil: it shares nothing
}

// Verdict is whether a relay can apply a version.
type Verdict struct {
	Version uint64 `cbor:"1,keyasint"`
	Reason  string `cbor:"2,keyasint,omitempty"` // why not; empty: it can
}

// LeaseGrant answers a LeaseRequest.
type LeaseGrant struct {
	To               string        `cbor:"1,keyasint"`
	Generation       uint64        `cbor:"2,keyasint"`
	Incarnation      uint64        `cbor:"3,keyasint"`
	Seq              uint64        `cbor:"4,keyasint"`           // of the request; the lease counts from when that was sent
	Lease            time.Duration `cbor:"5,keyasint,omitempty"` // 0: none
	Epoch            uint64        `cbor:"6,keyasint"`
	Index            uint64        `cbor:"7,keyasint"` // the lease counts only with a state at least as new
	State            *policy.State `cbor:"8,keyasint,omitempty"`
	Rejected         string        `cbor:"9,keyasint,omitempty"`  // why the relay gets no lease at all; empty: it may
	NewestGeneration uint64        `cbor:"11,keyasint,omitempty"` // of the relay's name, where it is higher than the requester's
	Progress         *Progress     `cbor:"10,keyasint,omitempty"`

	QuotaGrant *quota.Grant `cbor:"12,keyasint,omitempty"` // for as long as the lease
}

// StateUpdate is the leader's broadcast of the committed state.
type StateUpdate struct {
	State    *policy.State `cbor:"1,keyasint"`
	Progress *Progress     `cbor:"2,keyasint,omitempty"`
}

// Progress is how far a phase of a change has come, as the leader sees it. Its JSON is part of what the command line prints.
type Progress struct {
	Version uint64        `cbor:"1,keyasint" json:"version"`
	Phase   string        `cbor:"2,keyasint" json:"phase"`
	Done    int           `cbor:"3,keyasint" json:"done"`                          // relays
	Of      int           `cbor:"4,keyasint" json:"of"`                            // relays
	Missing []string      `cbor:"5,keyasint,omitempty" json:"missing,omitempty"`   // names of the first maxMissingNames relays that are not done
	Within  time.Duration `cbor:"6,keyasint,omitempty" json:"within_ns,omitempty"` // until the last missing relay's lease has expired, and it counts as done
}

// PositionQuery asks which log position a voter remembers of a member, or answers that: a member that has lost entries must not vote.
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
	HaltedFor      uint64   // the core has halted for that version, and starts nothing under the one before
	Verdict        *Verdict // a check that was asked for is done
	AdminRequest   *AdminRequest
	SaveFailed     error                 // an action's Save or Generation is not on disk
	Demands        *[]quota.Demand       // of this relay, now
	Counters       *map[quota.Key]uint64 // of this incarnation
	ConfirmedLease *[2]uint64            // Term and Number of the quota.Lease that is in force at the core, and none before it
}

// AdminRequest is an operator's request, by the command line at this relay.
type AdminRequest struct {
	Number  uint64 `cbor:"1,keyasint"` // of the answer too
	Op      string `cbor:"2,keyasint"` // counts, status, propose, roster, found or force
	Version uint64 `cbor:"3,keyasint,omitempty"`
	Doc     []byte `cbor:"4,keyasint,omitempty"`
	By      string `cbor:"5,keyasint,omitempty"`
	Ticket  uint64 `cbor:"6,keyasint,omitempty"`
}

// Action is something to be done; one field is set. Actions are carried out in their order, and none after a Save that fails.
type Action struct {
	Save          *consensus.Image // to be on disk, synced; with Member: of a new member, all before is void
	Member        uint64
	Generation    uint64 // to be on disk before any message leaves, see raiseGeneration
	To            string // a relay that Message goes to
	Message       *Message
	Check         *policy.Change // to be checked: an Event with the Verdict must follow
	Mandate       *Mandate       // what the core may do from now on; see Event.HaltedFor
	Lease         *quota.Lease   // what the core may spend from now on
	Answer        *Status
	RequestNumber uint64 // of the operator's request that Answer is for
	Log           string // a line to be logged
	Fields        []any  // of Log: keys and values alternating
}

// Mandate is what a relay may do. It may act from now on, until Until by its own clock, unless it is halted.
type Mandate struct {
	Version uint64        // of the policy in force; 0: none
	Doc     []byte        // of that policy
	Until   time.Duration // 0: not at all
	Halted  uint64        // not 0: it must not act, as this version is about to be in force
	WhyNot  string        // why it must not act; empty: it may
}

// Status is what a relay knows, for operators. Its JSON is printed by the command line.
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

// KeyQuota is what a relay may spend of one destination's limit or one tenant's quota.
type KeyQuota struct {
	Name     string  `cbor:"1,keyasint" json:"name"`
	Share    float64 `cbor:"2,keyasint" json:"part"` // of 1, with the guaranteed minimum
	Limit    float64 `cbor:"3,keyasint,omitempty" json:"limit,omitempty"`
	State    string  `cbor:"4,keyasint,omitempty" json:"state,omitempty"` // the fleet's verdict on the destination; empty: none
	MayProbe bool    `cbor:"5,keyasint,omitempty" json:"try,omitempty"`   // it is this relay's turn to probe
}
