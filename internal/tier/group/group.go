package group

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// Group is a running member of a replica group. Open creates it, Run drives it.
type Group struct {
	options Options
	origin  string // identifies this process in proposals, so that it recognizes its own when they are committed
	wake    chan struct{}
	status  atomic.Pointer[replica.Status]
	stats   atomic.Pointer[MemberStats]

	nextIterationDue atomic.Int64 // latest time of the next iteration, by options.Clock

	// Owned by the member's goroutine.
	disk                 *storage.Group // nil if it could not be reopened
	replica              *replica.Replica
	hardState            replica.HardState
	entries              []replica.Entry // in the log after the last snapshot
	snapshotIndex        uint64          // index of the last entry that the snapshot covers
	logBytesAtCompaction int64           // length of the log after the last compaction
	peakStateBytes       int64           // largest size of the state since then
	stateMachine         ChunkedStateMachine
	initialState         []json.RawMessage // chunks of the state before any command was applied
	receiving            bool              // whether this member holds a slot of options.ReceiveLimiter
	compaction           *compaction       // running; nil if none
	snapshotRequested    atomic.Bool       // whether to request a refused snapshot again; also set by other members' goroutines
	peerAddresses        map[string]string // by identity, learned from messages

	mutex        sync.Mutex // guards the fields below
	input        replica.Input
	queuedBytes  int // of messages and commands in input
	pendingCalls map[uint64]pendingCall
	lastToken    uint64
	failure      error  // why the member is out of service; nil if it is in service
	onStopped    func() // called once the member has stopped; nil if no stop is requested
	forgetOnStop bool   // whether a stop also removes the member's state from the disk
}

// Name returns the group's name.
func (g *Group) Name() string { return g.options.Name }

// TransferLeadership makes the member, if it is the leader, transfer the leadership once its pending calls are resolved.
func (g *Group) TransferLeadership() {
	g.mutex.Lock()
	g.input.TransferLeadership = true
	g.mutex.Unlock()
	g.signal()
}

// SetTargetMembers sets the members that the group should have. The leader changes the membership one member at a time; an empty
// list leaves it unchanged.
func (g *Group) SetTargetMembers(members []replica.Member) {
	g.mutex.Lock()
	g.input.TargetMembers = members
	g.mutex.Unlock()
	g.signal()
}

// SetContacts sets processes that may be members of the group although this member's configuration doesn't list them. The member
// also contacts them when it hears from no leader.
func (g *Group) SetContacts(contacts []replica.Member) {
	g.mutex.Lock()
	g.input.Contacts = contacts
	g.mutex.Unlock()
}

// signal wakes the member's goroutine for an iteration.
func (g *Group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
