// Package group runs one member of a replica group: one goroutine drives the group's state machine over its disk and its
// links, so that what must be on disk is there before anything that depends on it leaves the process.
package group

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// Options sets a member up.
type Options struct {
	Name            string // of the group, the same at all members
	Replica         replica.Options
	Disk            storage.Disk
	StateMachine    StateMachine                            // a ChunkedStateMachine where the state may be large
	Send            func(address string, envelope Envelope) // must not block
	CompactionLock  *sync.Mutex                             // held while a member compacts, so that those of one process do so in turn; nil: its own
	ReceiveLimiter  *SnapshotLimiter                        // bounds the snapshots that members of one process receive at once; nil: its own
	QueueBudget     *QueueBudget                            // bounds what waits for the turns of all members of one process; nil: its own
	CompactionBytes int64                                   // length of the log from which on a snapshot replaces it
	Logger          log.Logger
	Clock           func() time.Duration        // steady; nil: time since Open
	OnStatusChange  func(status replica.Status) // told of a new owner, epoch or membership; must not block; may be nil
}

// defaultCompactBytes bounds the log where the options say nothing.
const defaultCompactBytes = 1 << 20

// Group is a running member.
type Group struct {
	options   Options
	origin    string
	disk      *storage.Group
	member    *replica.Replica
	promise   replica.HardState
	entries   []replica.Entry // saved since the last snapshot
	base      uint64          // index of that snapshot
	compacted int64           // length that the log had after the last compaction
	machine   ChunkedStateMachine
	admitted  bool              // to receive a snapshot
	heard     map[string]string // address by identity, as messages told it
	status    atomic.Pointer[replica.Status]
	vitals    atomic.Pointer[MemberStats]
	due       atomic.Int64 // when the next turn was due, as the last one told
	wake      chan struct{}
	blank     []json.RawMessage // the state of a machine that has applied nothing

	mutex    sync.Mutex
	input    replica.Input
	waiting  int // bytes of messages and commands in input
	calls    map[uint64]call
	token    uint64
	broken   error  // what has broken the member; nil: it works
	stopping func() // told when the member has ended; nil: it goes on
}

// Status returns the member's last view of the group. A member that hasn't had its turn for an election time-out says that it
// owns nothing, also before it has found that out: its process or its disk stands still, or did until now. Nor does it name
// an owner of which it hasn't heard for an election time-out: that one, or this member, is cut off.
func (g *Group) Status() replica.Status {
	status := *g.status.Load()
	now := g.options.Clock()
	switch {
	case status.IsLeader && now-time.Duration(g.due.Load()) > g.options.Replica.ElectionTimeout:
		status.Leader, status.IsLeader, status.CaughtUp = "", false, nil
	case status.Leader != status.ID && now-status.LeaderLastContact > g.options.Replica.ElectionTimeout:
		status.Leader = ""
	}
	return status
}

// Name returns the group's name.
func (g *Group) Name() string { return g.options.Name }

// mostWaitingBytes bounds what waits for the member's turn: messages beyond it are lost like any other message, commands are
// refused.
const mostWaitingBytes = 4 << 20

// messageBytes is about what a message takes beside what it brings.
const messageBytes = 256

func sizeOf(message *replica.Message) int {
	size := messageBytes
	for i := range message.Entries {
		size += len(message.Entries[i].Data)
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.State)
	}
	return size
}

// Deliver hands in a message from another member.
func (g *Group) Deliver(message replica.Message) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.broken != nil || !g.hasRoom(&message) {
		return
	}
	g.input.Messages = append(g.input.Messages, message)
	g.poke()
}

// hasRoom takes a message into account, unless too much waits. One part of a snapshot may always wait, however large: a member
// that needs it gets on by nothing else, and its owner goes on sending other messages meanwhile.
func (g *Group) hasRoom(message *replica.Message) bool {
	needed := isPart(*message) && !slices.ContainsFunc(g.input.Messages, isPart)
	return g.takeRoom(sizeOf(message), needed)
}

func isPart(message replica.Message) bool { return message.Kind == replica.InstallSnapshot }

// TransferLeadership has the member hand its ownership over, if it owns the group, once what is under way is settled.
func (g *Group) TransferLeadership() {
	g.mutex.Lock()
	g.input.TransferLeadership = true
	g.mutex.Unlock()
	g.poke()
}

// SetTargetMembers tells which members the group is to have.
func (g *Group) SetTargetMembers(members []replica.Member) {
	g.mutex.Lock()
	g.input.TargetMembers = members
	g.mutex.Unlock()
	g.poke()
}

func (g *Group) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
