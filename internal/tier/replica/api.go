// Package replica is one member of a replica group that agrees on a log of entries: owners are elected by epoch, an entry
// is committed once a majority of the group has it on disk, and the group changes by one member at a time. It does no I/O,
// reads no clock and starts no goroutine; the same inputs and seed give the same effects.
package replica

import (
	"encoding/json"
	"time"
)

// Member is one member of a group.
type Member struct {
	ID      string `json:"id"`      // identity that lies on its disk
	Address string `json:"address"` // host:port of its control link
	Learner bool   `json:"learner,omitempty"`
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entry.
const (
	Command    EntryKind = iota // Data is for the state machine
	NoOp                        // the first entry of an epoch's owner; no data
	ConfChange                  // Data is the JSON list of members from here on
)

// Entry is one entry of a group's log.
type Entry struct {
	Index uint64          `json:"index"` // from 1
	Term  uint64          `json:"epoch"`
	Kind  EntryKind       `json:"kind,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// HardState is what a member must never forget: the highest epoch it has seen and whom it voted for in it.
type HardState struct {
	Term uint64 `json:"epoch"`
	Vote string `json:"vote,omitempty"`
}

// Snapshot stands for all entries up to Index. The state itself lies on the disk, in parts.
type Snapshot struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"epoch"`
	Members []Member        `json:"members"`
	Chunks  int             `json:"parts"`           // in which the state machine's state comes
	State   json.RawMessage `json:"state,omitempty"` // in a message: the part that it brings
}

// Chunk is one of the parts that a snapshot's state comes in.
type Chunk struct {
	Number int // from 0
	Data   json.RawMessage
}

// MessageKind tells what a message asks or answers.
type MessageKind string

// The kinds of message.
const (
	RequestVote             MessageKind = "ask_vote"
	RequestVoteResponse     MessageKind = "answer_vote"
	AppendEntries           MessageKind = "append" // also a heartbeat
	AppendEntriesResponse   MessageKind = "answer_append"
	InstallSnapshot         MessageKind = "install_snapshot" // one part of it
	InstallSnapshotResponse MessageKind = "answer_snapshot"  // tells which part is wanted next
)

// Message travels between members. One that is addressed to another identity than the receiver's is dropped.
type Message struct {
	Kind               MessageKind `json:"kind"`
	From               string      `json:"from"`
	To                 string      `json:"to"`
	Term               uint64      `json:"epoch"`
	PreVote            bool        `json:"trial,omitempty"`    // a vote that is only asked for, without a new epoch
	Index              uint64      `json:"index,omitempty"`    // of the entry before Entries; last of a candidate; matched
	LogTerm            uint64      `json:"logEpoch,omitempty"` // epoch of the entry at Index; in a rejection, of the one at RejectHint
	Commit             uint64      `json:"commit,omitempty"`
	Entries            []Entry     `json:"entries,omitempty"`
	Reject             bool        `json:"rejected,omitempty"`
	RejectHint         uint64      `json:"hint,omitempty"`  // where the log of a follower that rejected may agree
	ReadIndexRound     uint64      `json:"round,omitempty"` // of heartbeats, to confirm reads
	Snapshot           *Snapshot   `json:"snapshot,omitempty"`
	Chunk              int         `json:"part,omitempty"`      // number of the part that is brought, or wanted next
	Address            string      `json:"address,omitempty"`   // of the sender, so that a new member can answer
	LeadershipTransfer bool        `json:"voluntary,omitempty"` // the owner hands its ownership over
}

// Recovered is what a member found on its disk.
type Recovered struct {
	HardState HardState
	Snapshot  *Snapshot // nil: none
	Entries   []Entry   // those after Snapshot
}

// Options sets a member up. Times are durations of the clock that Step is given.
type Options struct {
	ID                     string
	Address                string
	InitialMembers         []Member // the group at its first start; empty: wait to be taken in by an owner
	HeartbeatInterval      time.Duration
	ElectionTimeout        time.Duration // silence after which it stands for election, up to twice that
	InitialElectionTimeout time.Duration // the same until it has heard an owner since its start; 0: ElectionTimeout
	Seed                   uint64
}

// Proposal is a command that is to be agreed on. Token comes back with the outcome.
type Proposal struct {
	Token uint64
	Data  json.RawMessage
}

// Input is all that has happened since the last Step.
type Input struct {
	Messages           []Message
	Proposals          []Proposal
	Reads              []uint64  // tokens of reads that wait until it is certain that this member still is the owner
	TargetMembers      []Member  // the members that the group is to have; it moves there one step at a time. Nil: as it is
	Compact            *Snapshot // a saved snapshot (SnapshotMetadata with Chunks added): entries up to it may go
	TransferLeadership bool      // hand the ownership over once the open proposals are settled; they wait an election time-out at most
}

// Outcome is what became of a proposal or a read.
type Outcome struct {
	Token   uint64
	Done    bool // false: this member is not the owner, or no longer; whether the command was committed is not known
	Dropped bool // with !Done: it was certainly never proposed
}

// Ready is what must be done, in the order of the fields. HardState, Snapshot, TruncateFrom and Entries are saved and synced
// before MessagesAfterSync is sent and CommittedEntries applied, and all of it is done before the next Step. Chunks in ReceivedChunks are written
// before MessagesAfterSync is sent and need no sync before they are installed. Entries and their data are shared with the log and
// never changed: a message may be kept as long as needed. The shell adds the state to a message with a snapshot.
type Ready struct {
	MessagesBeforeSync []Message  // may be sent before the sync
	HardState          *HardState // to be saved
	ReceivedChunks     []Chunk    // of a snapshot, to be written behind those before; number 0 begins a new one
	Snapshot           *Snapshot  // all its parts are received: to be saved in place of all before; the state machine is set to it
	TruncateFrom       uint64     // when over 0: saved entries from this index on are void
	Entries            []Entry    // to be saved
	MessagesAfterSync  []Message
	CommittedEntries   []Entry   // commands to be applied, in order (all kinds are listed)
	Outcomes           []Outcome // after CommittedEntries has been applied
	NextWake           time.Duration
}

// Status is a member's view of its group.
type Status struct {
	ID                string
	Term              uint64
	Leader            string        // identity of the owner; empty: not known
	IsLeader          bool          // and it has committed an entry of its own epoch
	LeaderLastContact time.Duration // when Leader, another member, was last heard, by the clock that Step is given
	Members           []Member
	Commit            uint64
	LastIndex         uint64
	CaughtUp          map[string]bool // at the owner: members that have all but the newest entries
}
