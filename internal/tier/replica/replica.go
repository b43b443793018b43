package replica

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

const (
	// idleWake is how long a member without any timer may sleep.
	idleWake = time.Hour

	// minimumBeats is the least number of heartbeats in an election time-out.
	minimumBeats = 3
)

// role is what a member is in its epoch.
type role uint8

const (
	follower role = iota
	trialCandidate
	candidate
	owner
)

// Replica is one member of a group. It is driven by Step, by one goroutine at a time.
type Replica struct {
	options Options
	limits  limits
	random  randomSource

	// What its disk holds after each Step's effects are done.
	promise  HardState
	log      entryLog
	snapshot *Snapshot // without its state
	groups   groupHistory

	incoming incoming // snapshot that is being received

	commit  uint64 // last entry known to be committed
	applied uint64 // last entry handed out as committed

	now         time.Duration
	role        role
	owner       ownerContact
	timeout     time.Duration // silence after which it stands for election, drawn anew each time
	electionDue time.Duration
	heardOwner  bool     // since its start
	granted     []string // members that have voted for this one

	ownership ownership
	wanted    []Member

	step stepState
}

// ownerContact is what a follower knows of its owner.
type ownerContact struct {
	id      string
	address string
	heard   time.Duration
}

// stepState is what one Step gathers.
type stepState struct {
	effects        Ready
	saved          uint64 // last entry on disk that is still the same in memory
	savedLast      uint64 // last entry on disk, still the same or not
	promiseChanged bool
	received       []Chunk
	installed      *Snapshot
	answer         pendingAnswer
}

// New makes a member from what it found on its disk. The state machine starts from the recovered snapshot; entries after
// it come as CommittedEntries once they are known to be. The first Step, with an empty Input, tells when to wake it.
func New(options Options, recovered Recovered, now time.Duration) (*Replica, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	r := &Replica{
		options: options,
		limits:  usualLimits,
		random:  newRandomSource(options.Seed, options.ID),
		promise: recovered.HardState,
		now:     now,
	}
	if err := r.recover(recovered); err != nil {
		return nil, err
	}
	r.waitForOwner()
	if r.isOnlyVoter() {
		r.electionDue = now
	}
	return r, nil
}

func (o *Options) validate() error {
	if o.ID == "" {
		return trace.BadParameter("a member needs an identity")
	}
	if o.HeartbeatInterval <= 0 || o.ElectionTimeout < minimumBeats*o.HeartbeatInterval {
		return trace.BadParameter("an election time-out of %v needs at least %d heartbeats of %v",
			o.ElectionTimeout, minimumBeats, o.HeartbeatInterval)
	}
	return nil
}

// recover takes over snapshot and entries from the disk.
func (r *Replica) recover(recovered Recovered) error {
	base := newGroup(0, slices.Clone(r.options.InitialMembers))
	if snapshot := recovered.Snapshot; snapshot != nil {
		r.snapshot = snapshot
		r.log.reset(snapshot.Index, snapshot.Term)
		r.commit, r.applied = snapshot.Index, snapshot.Index
		base = newGroup(snapshot.Index, snapshot.Members)
	}
	entries := recovered.Entries
	for len(entries) > 0 && entries[0].Index <= r.log.offset {
		entries = entries[1:]
	}
	if err := checkSequence(r.log.offset, r.log.offsetEpoch, entries); err != nil {
		return err
	}
	r.log.append(entries...)
	if r.log.lastEpoch() > r.promise.Term {
		return trace.BadParameter("the promise of epoch %d is older than the log's epoch %d",
			r.promise.Term, r.log.lastEpoch())
	}
	groups, err := groupHistory{base}.extend(entries)
	r.groups = groups
	return err
}

// checkSequence tells whether entries follow each other without a gap, from the one after index on.
func checkSequence(index, epoch uint64, entries []Entry) error {
	for i := range entries {
		if entries[i].Index != index+1 {
			return trace.BadParameter("entry %d follows entry %d", entries[i].Index, index)
		}
		if entries[i].Term < epoch {
			return trace.BadParameter("entry %d of epoch %d follows epoch %d", entries[i].Index, entries[i].Term, epoch)
		}
		index, epoch = entries[i].Index, entries[i].Term
	}
	return nil
}

// Step takes in all that has happened up to now, and tells what must be done. Now never goes back.
func (r *Replica) Step(now time.Duration, input Input) Ready {
	r.begin(now)
	r.compact(input.Compact)
	for i := range input.Messages {
		r.receive(&input.Messages[i])
	}
	r.runTimers()
	r.wish(input.TargetMembers)
	r.propose(input.Proposals)
	r.read(input.Reads)
	if input.TransferLeadership {
		r.resign()
	}
	if r.role == owner {
		r.lead()
	}
	return r.finish()
}

func (r *Replica) begin(now time.Duration) {
	r.now = max(r.now, now)
	last := r.log.last()
	r.step = stepState{saved: last, savedLast: last}
}

// receive handles one message. Those meant for another identity are dropped: an address may have changed hands.
func (r *Replica) receive(message *Message) {
	if message.To != r.options.ID || message.From == r.options.ID {
		return
	}
	switch message.Kind {
	case RequestVote:
		r.receiveAskVote(message)
	case RequestVoteResponse:
		r.receiveAnswerVote(message)
	case AppendEntries:
		r.receiveAppend(message)
	case AppendEntriesResponse:
		r.receiveAnswerAppend(message)
	case InstallSnapshot:
		r.receiveSnapshot(message)
	case InstallSnapshotResponse:
		r.receiveAnswerSnapshot(message)
	}
}

// runTimers does what is due.
func (r *Replica) runTimers() {
	r.dropStaleIncoming()
	if r.role == owner {
		r.checkMajority()
		return
	}
	if r.now >= r.electionDue && r.mayStand() {
		r.standOnTrial()
	}
}

// finish completes the effects of a Step.
func (r *Replica) finish() Ready {
	r.flushAnswer()
	effects := &r.step.effects
	if r.step.promiseChanged {
		promise := r.promise
		effects.HardState = &promise
	}
	if r.step.promiseChanged && len(effects.MessagesBeforeSync) > 0 {
		effects.MessagesAfterSync = append(effects.MessagesBeforeSync, effects.MessagesAfterSync...)
		effects.MessagesBeforeSync = nil
	}
	effects.ReceivedChunks = r.step.received
	effects.Snapshot = r.step.installed
	if r.step.saved < r.step.savedLast {
		effects.TruncateFrom = r.step.saved + 1
	}
	effects.Entries = r.log.between(r.step.saved+1, r.log.last())
	effects.CommittedEntries = r.log.between(r.applied+1, r.commit)
	r.applied = r.commit
	effects.NextWake = r.nextWake()
	finished := *effects
	r.step.effects = Ready{}
	return finished
}

// nextWake is when the next timer is due.
func (r *Replica) nextWake() time.Duration {
	if r.role == owner {
		if r.commitsOnSync() {
			return r.now
		}
		return r.ownership.heartbeatDue
	}
	wake := r.now + idleWake
	if r.mayStand() {
		wake = r.electionDue
	}
	if r.IsReceivingSnapshot() {
		wake = min(wake, r.incoming.due)
	}
	return wake
}

// appendEntries adds entries to the log; lists of members among them count at once.
func (r *Replica) appendEntries(entries []Entry) error {
	groups, err := r.groups.extend(entries)
	if err != nil {
		return err
	}
	r.groups = groups
	r.log.append(entries...)
	return nil
}

// truncate drops the entries from index on.
func (r *Replica) truncate(index uint64) {
	r.log.truncate(index)
	r.step.saved = min(r.step.saved, index-1)
	r.groups = r.groups.truncate(index)
}

// commitUpTo records that entries are committed.
func (r *Replica) commitUpTo(index uint64) {
	if index <= r.commit {
		return
	}
	r.commit = index
	if len(r.groups) > 1 {
		r.groups = r.groups.committed(index)
	}
}

// compact drops entries that a saved snapshot stands for. The place on the disk where parts of another one were being
// received is where it was written, so these are gone.
func (r *Replica) compact(snapshot *Snapshot) {
	if snapshot == nil {
		return
	}
	r.incoming = incoming{}
	if snapshot.Index > r.applied || snapshot.Index <= r.snapshotIndex() {
		return
	}
	if !r.log.holds(snapshot.Index, snapshot.Term) || len(snapshot.Members) == 0 {
		return
	}
	r.snapshot = snapshot
	bytes := r.limits.trail
	if r.role == owner {
		bytes = max(bytes, r.limits.flight)
	}
	r.log.compact(r.log.tailOf(snapshot.Index, r.limits.tail, bytes))
}

func (r *Replica) snapshotIndex() uint64 {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Index
}

// SnapshotMetadata names the last entry handed out as committed, for a snapshot: the shell writes the state after applying it.
func (r *Replica) SnapshotMetadata() Snapshot {
	epoch, _ := r.log.epochAt(r.applied)
	return Snapshot{Index: r.applied, Term: epoch, Members: slices.Clone(r.groups.at(r.applied).members)}
}

// Address is where the member of that identity is reached; empty when not known.
func (r *Replica) Address(id string) string {
	for i := len(r.groups) - 1; i >= 0; i-- {
		if member := r.groups[i].find(id); member != nil {
			return member.Address
		}
	}
	if id == r.owner.id {
		return r.owner.address
	}
	return ""
}

// IsLeader tells whether this member is the owner and has committed an entry of its own epoch.
func (r *Replica) IsLeader() bool {
	return r.role == owner && r.isOpen()
}

// Status is this member's view of its group.
func (r *Replica) Status() Status {
	status := Status{
		ID:                r.options.ID,
		Term:              r.promise.Term,
		Leader:            r.owner.id,
		LeaderLastContact: r.owner.heard,
		IsLeader:          r.IsLeader(),
		Members:           slices.Clone(r.groups.newest().members),
		Commit:            r.commit,
		LastIndex:         r.log.last(),
	}
	if r.role == owner {
		status.Leader = r.options.ID
		status.CaughtUp = r.caughtUp()
	}
	return status
}
