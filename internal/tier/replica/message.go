package replica

import "encoding/json"

// Member is one member of a group.
type Member struct {
	ID      string `json:"id"`                // identity, stored on the member's disk
	Address string `json:"address"`           // host:port at which other members reach it
	Learner bool   `json:"learner,omitempty"` // receives the log but has no vote
}

// EntryKind is the type of an entry. Its values are stored and sent.
type EntryKind uint8

// The kinds of entry.
const (
	Command    EntryKind = iota // Data is a command for the state machine
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

// EntryID identifies an entry: two entries of a group with the same index and term are identical (Raft section 5.3).
type EntryID struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"epoch"`
}

// HardState is the state that a member must not lose. It must be on disk before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"epoch"`          // highest term that the member has seen
	Vote string `json:"vote,omitempty"` // ID of the candidate that it voted for in Term; empty: none
}

// Snapshot covers all entries up to Index. The state itself is on disk, in chunks; this struct holds a part of it only
// within a message.
type Snapshot struct {
	Index   uint64          `json:"index"`           // last entry that it covers
	Term    uint64          `json:"epoch"`           // of the entry at Index
	Members []Member        `json:"members"`         // in force at the entry at Index
	Chunks  int             `json:"parts"`           // number of chunks of the state machine's state
	State   json.RawMessage `json:"state,omitempty"` // in a message: the data of the chunk that it carries
}

// Chunk is one part of a snapshot's state.
type Chunk struct {
	Number int // from 0
	Data   json.RawMessage
}

// MessageKind is the type of a message. Its values are sent.
type MessageKind string

// The kinds of message.
const (
	RequestVote             MessageKind = "ask_vote" // with PreVote: asks whether the vote would be granted
	RequestVoteResponse     MessageKind = "answer_vote"
	AppendEntries           MessageKind = "append" // without entries: a heartbeat
	AppendEntriesResponse   MessageKind = "answer_append"
	InstallSnapshot         MessageKind = "install_snapshot" // carries one chunk
	InstallSnapshotResponse MessageKind = "answer_snapshot"  // names the chunk that the follower needs next
)

// Message is sent between members. A receiver drops a message whose To is not its own ID.
type Message struct {
	Kind    MessageKind `json:"kind"`
	From    string      `json:"from"`  // identity of the sender
	To      string      `json:"to"`    // identity of the receiver
	Term    uint64      `json:"epoch"` // of the sender; in a PreVote, the term that it would campaign for
	PreVote bool        `json:"trial,omitempty"`
	// Index is, in AppendEntries, the entry before Entries; in RequestVote, the candidate's last entry; in
	// AppendEntriesResponse, the last entry that matches, or the one that was rejected; in InstallSnapshotResponse, and in
	// InstallSnapshot without Snapshot, the last entry that the snapshot covers.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"logEpoch,omitempty"` // term of the entry at Index; in a rejection, of the one at RejectHint
	Commit  uint64  `json:"commit,omitempty"`   // the leader's commit index
	Entries []Entry `json:"entries,omitempty"`
	Reject  bool    `json:"rejected,omitempty"`
	// RejectHint is, in a rejected AppendEntriesResponse, the highest index at which the follower's log may match the
	// leader's.
	RejectHint uint64 `json:"hint,omitempty"`
	// ExcludedAt is set in a rejection of RequestVote if the candidate is in no configuration that the sender knows, neither
	// the one in force at the sender's commit index nor a later one. It then identifies the entry at that index.
	ExcludedAt *EntryID `json:"excludedAt,omitempty"`
	// ReadContext identifies the reads that the message is to confirm, by a number that grows with each batch of reads. A
	// response repeats it.
	ReadContext uint64    `json:"round,omitempty"`
	Snapshot    *Snapshot `json:"snapshot,omitempty"`
	Chunk       int       `json:"part,omitempty"`    // number of the chunk that is sent, or needed next
	Address     string    `json:"address,omitempty"` // of the sender, so that a new member can respond
	// LeadershipTransfer in AppendEntries asks the receiver to campaign at once. In RequestVote it marks a candidate that
	// the leader has asked to campaign, so that voters do not reject it because of an active leader.
	LeadershipTransfer bool `json:"voluntary,omitempty"`
}
