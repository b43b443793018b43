package replica

import (
	"encoding/json"
	"time"
)

// Recovered is what a member found on its disk.
type Recovered struct {
	HardState HardState
	Snapshot  *Snapshot // nil: none
	Entries   []Entry   // those after Snapshot
}

// Proposal is a command to be committed. Its token comes back with the outcome.
type Proposal struct {
	Token uint64
	Data  json.RawMessage
}

// Input is all that has happened since the last Step.
type Input struct {
	Messages  []Message
	Proposals []Proposal
	// Reads are tokens of reads that wait until it is confirmed that this member still leads.
	Reads []uint64
	// TargetMembers are the members that the group is to have; it moves there one step at a time. Nil: as before.
	TargetMembers []Member
	// Contacts are running processes that may be in the group without being in the configuration that this member knows. It asks
	// them too when it campaigns, so that one whose former peers are all gone learns that it was removed. Nil: as before.
	Contacts []Member
	// Compact is a saved snapshot, as SnapshotMetadata named it and with Chunks set: entries up to it may be dropped.
	Compact *Snapshot
	// RequestSnapshot says that there is capacity again for a snapshot whose chunk the caller had to remove from a message.
	RequestSnapshot bool
	// TransferLeadership hands the leadership over once the pending proposals and reads are resolved, after an election
	// timeout at the latest.
	TransferLeadership bool
}

// Outcome is what became of a proposal or a read.
type Outcome struct {
	Token   uint64
	Done    bool // false: this member does not lead, or no longer; whether the command will be committed is not known
	Dropped bool // with !Done: it was certainly never proposed
}

// Ready is what the caller must do after a Step, in the order of the fields. HardState, Snapshot, TruncateFrom and Entries
// must be saved and synced before MessagesAfterSync is sent and CommittedEntries is applied, and all of it must be done
// before the next Step. ReceivedChunks must be written before MessagesAfterSync is sent and need no sync before their
// snapshot is installed. Entries and their data are shared with the log and must never be changed: a message may be kept as
// long as needed. The caller adds the data of the chunk to a message that installs a snapshot.
type Ready struct {
	MessagesBeforeSync []Message     // may be sent before the sync
	HardState          *HardState    // to be saved; nil: unchanged
	ReceivedChunks     []Chunk       // of a snapshot, to be written behind those before; number 0 begins a new one
	Snapshot           *Snapshot     // all its chunks are received: to be saved in place of all before, and restored
	TruncateFrom       uint64        // when over 0: saved entries from this index on are void
	Entries            []Entry       // to be saved
	MessagesAfterSync  []Message     // must not be sent before the sync
	CommittedEntries   []Entry       // to be applied, in order; entries of all kinds are listed
	Outcomes           []Outcome     // to be reported after CommittedEntries has been applied
	NextWake           time.Duration // the next Step is due then at the latest, by the clock that Step is given
}
