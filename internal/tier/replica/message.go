package replica

import "encoding/json"

// Member is one member of a group.
type Member struct {
	ID      string `json:"id"`                // identity, stored on the member's disk
	Address string `json:"address"`           // host:port of its control link
	Learner bool   `json:"learner,omitempty"` // receives the log and has no vote
}

// EntryKind tells what an entry is for. Its numbers are stored and sent.
type EntryKind uint8

// The kinds of entry.
const (
	Command    EntryKind = iota // Data is for the state machine
	NoOp                        // the first entry of a leader's term; no data
	ConfChange                  // Data is the JSON list of the members from this entry on
)

// Entry is one entry of a group's log. It is stored and sent.
type Entry struct {
	Index uint64          `json:"index"` // from 1, without gaps
	Term  uint64          `json:"epoch"` // of the leader that appended it
	Kind  EntryKind       `json:"kind,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// EntryID identifies an entry: no two entries of a group's logs have the same index and term (Raft section 5.3).
type EntryID struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"epoch"`
}

// HardState is what a member must never forget. It must be on disk before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"epoch"`          // the highest term that the member has seen
	Vote string `json:"vote,omitempty"` // the candidate that it voted for in Term; empty: none
}

// Snapshot stands for all entries up to Index. The state itself is on disk, in chunks, and in this struct only in a
// message.
type Snapshot struct {
	Index   uint64          `json:"index"`           // last entry that it includes
	Term    uint64          `json:"epoch"`           // of that entry
	Members []Member        `json:"members"`         // in force at that entry
	Chunks  int             `json:"parts"`           // number of chunks of the state machine's state
	State   json.RawMessage `json:"state,omitempty"` // in a message: the data of its one chunk
}

// Chunk is one of the chunks of a snapshot's state.
type Chunk struct {
	Number int // from 0
	Data   json.RawMessage
}

// MessageKind tells what a message requests or responds to. Its strings are sent.
type MessageKind string

// The kinds of message.
const (
	RequestVote             MessageKind = "ask_vote" // with PreVote: a vote that would be given, without a new term
	RequestVoteResponse     MessageKind = "answer_vote"
	AppendEntries           MessageKind = "append" // without entries: a heartbeat
	AppendEntriesResponse   MessageKind = "answer_append"
	InstallSnapshot         MessageKind = "install_snapshot" // one chunk of it
	InstallSnapshotResponse MessageKind = "answer_snapshot"  // names the chunk that is needed next
)

// Message travels between members. One that is addressed to another identity than the receiver's is dropped.
type Message struct {
	Kind    MessageKind `json:"kind"`
	From    string      `json:"from"`  // identity of the sender
	To      string      `json:"to"`    // identity of the receiver
	Term    uint64      `json:"epoch"` // of the sender; of a PreVote, the term that it would campaign for
	PreVote bool        `json:"trial,omitempty"`
	// Index is, of AppendEntries, the entry before Entries; of RequestVote, the candidate's last entry; of
	// AppendEntriesResponse, the last entry that matches, or the one that was rejected; of InstallSnapshotResponse, the
	// snapshot's last entry, and of InstallSnapshot without Snapshot too.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"logEpoch,omitempty"` // term of the entry at Index; in a rejection, of the one at RejectHint
	Commit  uint64  `json:"commit,omitempty"`   // the leader's commit index
	Entries []Entry `json:"entries,omitempty"`
	Reject  bool    `json:"rejected,omitempty"`
	// RejectHint is the highest index at which the log of a follower that rejected may agree with the leader's.
	RejectHint uint64 `json:"hint,omitempty"`
	// ExcludedAt is, in a rejection of RequestVote, the newest committed entry that the sender knows, if neither the members in
	// force at it nor any later ones that the sender knows include the candidate; nil: they do.
	ExcludedAt *EntryID `json:"excludedAt,omitempty"`
	// ReadContext names the reads that the message is to confirm, by a number that grows with each. A response repeats it.
	ReadContext uint64    `json:"round,omitempty"`
	Snapshot    *Snapshot `json:"snapshot,omitempty"`
	Chunk       int       `json:"part,omitempty"`    // number of the chunk that is sent, or needed next
	Address     string    `json:"address,omitempty"` // of the sender, so that a new member can respond
	// LeadershipTransfer asks, in AppendEntries, the receiver to campaign at once, and excuses a candidate, in
	// RequestVote, from waiting until the leader is no longer heard.
	LeadershipTransfer bool `json:"voluntary,omitempty"`
}
