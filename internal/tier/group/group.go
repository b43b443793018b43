package group

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// Group is one running member. Open makes it, Run drives it.
type Group struct {
	options Options
	origin  string // names this process in proposals, so that it finds the outcomes of its own
	wake    chan struct{}
	status  atomic.Pointer[replica.Status]
	stats   atomic.Pointer[MemberStats]

	nextRunDue atomic.Int64 // when the next iteration is due at the latest, by options.Clock

	// Owned by the member's goroutine.
	disk                 *storage.Group // nil: could not be reopened
	replica              *replica.Replica
	hardState            replica.HardState
	entries              []replica.Entry // saved since the last snapshot
	snapshotIndex        uint64          // last entry of that snapshot
	logBytesAtCompaction int64           // length that the log had after the last compaction
	stateMachine         ChunkedStateMachine
	initialState         []json.RawMessage // chunks of the state of a machine that has applied nothing
	receiving            bool              // it holds one of options.ReceiveLimiter's slots
	compaction           *compaction       // under way; nil: none
	snapshotWanted       atomic.Bool       // there is capacity again for a snapshot that was refused; set by others too
	peerAddresses        map[string]string // by identity, as messages have brought them

	mutex        sync.Mutex // guards all below
	input        replica.Input
	queuedBytes  int // of messages and commands in input
	pendingCalls map[uint64]pendingCall
	lastToken    uint64
	failure      error  // why the member is out of service; nil: it works
	onStopped    func() // to be called when the member has stopped; nil: it is not to stop
	forgetOnStop bool   // its state goes from the disk then
}

// Name returns the group's name.
func (g *Group) Name() string { return g.options.Name }

// TransferLeadership has the member hand the leadership over, if it leads, once its pending calls are resolved.
func (g *Group) TransferLeadership() {
	g.mutex.Lock()
	g.input.TransferLeadership = true
	g.mutex.Unlock()
	g.signal()
}

// SetTargetMembers sets the members that the group is to have. The leader moves it there one member at a time; an empty list
// leaves it as it is.
func (g *Group) SetTargetMembers(members []replica.Member) {
	g.mutex.Lock()
	g.input.TargetMembers = members
	g.mutex.Unlock()
	g.signal()
}

// SetContacts sets the processes that may be in the group without this member's knowing: it asks them too when it hears no leader.
func (g *Group) SetContacts(contacts []replica.Member) {
	g.mutex.Lock()
	g.input.Contacts = contacts
	g.mutex.Unlock()
}

// signal has the member's goroutine run an iteration soon.
func (g *Group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
