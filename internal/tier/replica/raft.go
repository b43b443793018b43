package replica

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

const (
	// maxIdle is the longest time until the next Step when no timer is running.
	maxIdle = time.Hour

	// minHeartbeatsPerElection is the minimum number of heartbeat intervals in an election timeout.
	minHeartbeatsPerElection = 3
)

// role is the role of a member in the current term.
type role uint8

const (
	follower     role = iota
	preCandidate      // asks whether it would win an election
	candidate         // asks for votes in a new term
	leader            // even before an entry of its term is committed
)

// Replica is one member of a group. It is driven by calls to Step, from one goroutine at a time.
type Replica struct {
	options Options
	limits  limits
	random  randomSource

	// State that is on disk once the Ready of the last Step has been carried out.
	hardState      HardState
	log            raftLog
	snapshot       *Snapshot // without State
	configurations configurationHistory

	incoming  incomingSnapshot  // snapshot that is being received
	postponed postponedSnapshot // snapshot that waits until the caller has capacity to receive it

	commit  uint64 // last entry known to be committed
	applied uint64 // last entry returned in Ready.CommittedEntries; never greater than commit

	now              time.Duration
	role             role
	leader           leaderContact
	electionTimeout  time.Duration // time without a leader after which this member campaigns, drawn at random
	electionDeadline time.Duration
	hasHeardLeader   bool     // since this member started
	votesGranted     []string // IDs of the members that have voted for this one

	leadership    leadership // zero unless this member leads
	targetMembers []Member   // empty: unknown
	contacts      []Member   // other processes that may be in the group
	exclusion     exclusion

	step stepState
}

// leaderContact is what a follower knows of its leader.
type leaderContact struct {
	id          string // empty: no known leader
	address     string
	lastContact time.Duration
}

// stepState collects the results of one Step.
type stepState struct {
	ready             Ready
	stable            uint64 // last entry on disk that this Step has not truncated
	stableLast        uint64 // last entry on disk, including truncated ones
	hardStateChanged  bool
	receivedChunks    []Chunk
	installedSnapshot *Snapshot
	appendResponse    pendingAppendResponse
}

// New creates a member from the state recovered from its disk. The state machine must start from the recovered snapshot;
// later entries are returned in CommittedEntries once they are known to be committed. The NextWake of the first Step, which
// may have an empty Input, tells when the next Step is due. Invalid options and inconsistent recovered state are errors
// (trace.BadParameter).
func New(options Options, recovered Recovered, now time.Duration) (*Replica, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	r := &Replica{
		options:   options,
		limits:    defaultLimits,
		random:    newRandomSource(options.Seed, options.ID),
		hardState: recovered.HardState,
		now:       now,
	}
	if err := r.recover(recovered); err != nil {
		return nil, err
	}
	r.resetElectionTimer()
	if r.isSingleVoter() {
		r.electionDeadline = now
	}
	return r, nil
}

// recover restores the snapshot and the entries from disk.
func (r *Replica) recover(recovered Recovered) error {
	base := newConfiguration(0, slices.Clone(r.options.InitialMembers))
	if snapshot := recovered.Snapshot; snapshot != nil {
		r.snapshot = snapshot
		r.log.restore(snapshot.Index, snapshot.Term)
		r.commit, r.applied = snapshot.Index, snapshot.Index
		base = newConfiguration(snapshot.Index, snapshot.Members)
	}
	entries := recovered.Entries
	for len(entries) > 0 && entries[0].Index <= r.log.offset {
		entries = entries[1:]
	}
	if err := checkSequence(r.log.offset, r.log.offsetTerm, entries); err != nil {
		return err
	}
	r.log.append(entries...)
	if r.log.lastTerm() > r.hardState.Term {
		return trace.BadParameter("the recovered hard state has term %d, but the last log entry has the later term %d",
			r.hardState.Term, r.log.lastTerm())
	}
	configurations, err := configurationHistory{base}.extend(entries)
	r.configurations = configurations
	return err
}

// checkSequence returns an error unless the entries continue the log after index without gaps and their terms never
// decrease.
func checkSequence(index, term uint64, entries []Entry) error {
	for i := range entries {
		if entries[i].Index != index+1 {
			return trace.BadParameter("entry %d directly follows entry %d; indexes must have no gaps", entries[i].Index, index)
		}
		if entries[i].Term < term {
			return trace.BadParameter("entry %d has term %d, lower than term %d of the entry before it", entries[i].Index, entries[i].Term, term)
		}
		index, term = entries[i].Index, entries[i].Term
	}
	return nil
}

// Step processes all events since the last Step and returns what the caller must do. The time must never go back.
func (r *Replica) Step(now time.Duration, input Input) Ready {
	r.beginStep(now)
	r.compact(input.Compact)
	for i := range input.Messages {
		r.handleMessage(&input.Messages[i])
	}
	if input.RequestSnapshot {
		r.requestPostponedSnapshot()
	}
	r.tick()
	r.setTargetMembers(input.TargetMembers)
	r.setContacts(input.Contacts)
	r.propose(input.Proposals)
	r.read(input.Reads)
	if input.TransferLeadership {
		r.beginLeadershipTransfer()
	}
	if r.role == leader {
		r.tickLeader()
	}
	return r.takeReady()
}

func (r *Replica) beginStep(now time.Duration) {
	r.now = max(r.now, now)
	last := r.log.lastIndex()
	r.step = stepState{stable: last, stableLast: last}
}

// handleMessage handles one message. It drops a message for another identity, since another process may have had this
// address before.
func (r *Replica) handleMessage(message *Message) {
	if message.To != r.options.ID || message.From == r.options.ID {
		return
	}
	switch message.Kind {
	case RequestVote:
		r.handleRequestVote(message)
	case RequestVoteResponse:
		r.handleRequestVoteResponse(message)
	case AppendEntries:
		r.handleAppendEntries(message)
	case AppendEntriesResponse:
		r.handleAppendEntriesResponse(message)
	case InstallSnapshot:
		r.handleInstallSnapshot(message)
	case InstallSnapshotResponse:
		r.handleInstallSnapshotResponse(message)
	}
}

// tick acts on expired timers.
func (r *Replica) tick() {
	r.expireIncomingSnapshot()
	if r.role == leader {
		r.checkQuorum()
		return
	}
	if r.now < r.electionDeadline {
		return
	}
	switch {
	case r.isPromotable():
		r.campaignPreVote()
	case r.isKnownNonMember():
		r.checkMembership()
	}
}

// takeReady completes the Ready of a Step. If the term or the vote has changed, no message may be sent before they are on
// disk.
func (r *Replica) takeReady() Ready {
	r.flushAppendResponse()
	ready := &r.step.ready
	if r.step.hardStateChanged {
		hardState := r.hardState
		ready.HardState = &hardState
	}
	if r.step.hardStateChanged && len(ready.MessagesBeforeSync) > 0 {
		ready.MessagesAfterSync = append(ready.MessagesBeforeSync, ready.MessagesAfterSync...)
		ready.MessagesBeforeSync = nil
	}
	ready.ReceivedChunks = r.step.receivedChunks
	ready.Snapshot = r.step.installedSnapshot
	if r.step.stable < r.step.stableLast {
		ready.TruncateFrom = r.step.stable + 1
	}
	ready.Entries = r.log.slice(r.step.stable+1, r.log.lastIndex())
	ready.CommittedEntries = r.log.slice(r.applied+1, r.commit)
	r.applied = r.commit
	ready.NextWake = r.nextDeadline()
	taken := *ready
	r.step.ready = Ready{}
	return taken
}

// nextDeadline returns when the next timer expires.
func (r *Replica) nextDeadline() time.Duration {
	if r.role == leader {
		if r.commitsOnLocalSync() {
			return r.now
		}
		return r.leadership.heartbeatDeadline
	}
	wake := r.now + maxIdle
	if r.isPromotable() || r.isKnownNonMember() {
		wake = r.electionDeadline
	}
	if r.IsReceivingSnapshot() {
		wake = min(wake, r.incoming.deadline)
	}
	return wake
}

// appendEntries appends entries to the log. A configuration among them takes effect at once, committed or not (thesis
// section 4.1).
func (r *Replica) appendEntries(entries []Entry) error {
	configurations, err := r.configurations.extend(entries)
	if err != nil {
		return err
	}
	r.configurations = configurations
	r.log.append(entries...)
	return nil
}

// truncate drops the entries from index on, and the configurations that they introduced.
func (r *Replica) truncate(index uint64) {
	r.log.truncate(index)
	r.step.stable = min(r.step.stable, index-1)
	r.configurations = r.configurations.truncate(index)
}

// commitTo records that the entries up to index are committed. The commit index never decreases.
func (r *Replica) commitTo(index uint64) {
	if index <= r.commit {
		return
	}
	r.commit = index
	if len(r.configurations) > 1 {
		r.configurations = r.configurations.discardBefore(index)
	}
}

// sendAfterSync queues a message that must not be sent before the changes of this Step are on disk.
func (r *Replica) sendAfterSync(message Message) {
	message.From, message.Address = r.options.ID, r.options.Address
	r.step.ready.MessagesAfterSync = append(r.step.ready.MessagesAfterSync, message)
}

// sendBeforeSync queues a message that need not wait for the local sync: a leader's entries may reach the followers' disks
// before its own (thesis section 10.2.1). A snapshot chunk does not replace a heartbeat, since the follower may drop it.
func (r *Replica) sendBeforeSync(p *progress, message Message) {
	message.From, message.Address = r.options.ID, r.options.Address
	if message.Kind == AppendEntries {
		p.sentSinceHeartbeat = true
		p.sentReadContext = message.ReadContext
	}
	r.step.ready.MessagesBeforeSync = append(r.step.ready.MessagesBeforeSync, message)
}
