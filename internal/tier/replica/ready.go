package replica

import (
	"encoding/json"
	"time"
)

// Recovered is the state that a member finds on its disk at startup.
type Recovered struct {
	HardState HardState
	Snapshot  *Snapshot // nil: none
	Entries   []Entry   // entries after Snapshot
}

// Proposal is a command to be committed. Its Outcome carries the same token.
type Proposal struct {
	Token uint64
	Data  json.RawMessage
}

// Input is everything that has happened since the last Step.
type Input struct {
	Messages  []Message
	Proposals []Proposal
	// Reads are tokens of reads. A read is resolved once it is confirmed that this member still leads.
	Reads []uint64
	// TargetMembers are the members that the group should have; the leader changes the membership one step at a time. Nil:
	// unchanged.
	TargetMembers []Member
	// Contacts are running processes that may be in the group even if this member's configuration does not include them.
	// They are also sent PreVote requests, so that a member whose former peers are all gone learns that it was removed. Nil:
	// unchanged.
	Contacts []Member
	// Compact is the metadata of a saved snapshot, as returned by SnapshotMetadata and with Chunks set. Entries that it
	// covers may be dropped.
	Compact *Snapshot
	// RequestSnapshot reports that the caller can now receive a snapshot for which it had no capacity before. The caller had
	// then removed Snapshot from the InstallSnapshot message.
	RequestSnapshot bool
	// TransferLeadership asks a leader to transfer its leadership once the pending proposals and reads are resolved, or
	// after an election timeout if that comes first.
	TransferLeadership bool
}

// Outcome is the result of a proposal or a read.
type Outcome struct {
	Token   uint64
	Done    bool // false: this member does not lead (any more); unless Dropped is set, the command may still be committed
	Dropped bool // with !Done: the command was not appended to the log, or the read not started
}

// Ready is what the caller must do after a Step, in the order of the fields. HardState, Snapshot, TruncateFrom and Entries
// must be saved and synced before MessagesAfterSync are sent and CommittedEntries are applied, and all of it must be done
// before the next Step. ReceivedChunks must be written before MessagesAfterSync are sent, but need not be synced before
// their snapshot is installed. Entries and their data share memory with the log and must never be changed, so a message may
// be kept as long as needed. Before sending an InstallSnapshot message, the caller adds the data of its chunk.
type Ready struct {
	MessagesBeforeSync []Message     // may be sent before the sync
	HardState          *HardState    // to be saved; nil: unchanged
	ReceivedChunks     []Chunk       // of a snapshot, to be written after the earlier ones; number 0 begins a new snapshot
	Snapshot           *Snapshot     // a completely received one, which replaces the saved snapshot, all entries and the state machine's state
	TruncateFrom       uint64        // if greater than 0: saved entries from this index on are discarded
	Entries            []Entry       // to be saved
	MessagesAfterSync  []Message     // must not be sent before the sync
	CommittedEntries   []Entry       // to be applied in order; includes entries of all kinds
	Outcomes           []Outcome     // to be reported after CommittedEntries have been applied
	NextWake           time.Duration // time by which Step must be called again, on the clock that is passed to Step
}
