package replica

import "time"

// installPatience is the number of election time-outs without an answer after which parts of a snapshot are sent again.
const installPatience = 2

// offerBeats is the number of heartbeats after which the first part is sent again: where the peer's process is receiving other
// snapshots it drops that part without an answer, and is to begin soon after those are whole.
const offerBeats = 2

// transfer is the sending of a snapshot, part by part, to one peer. A part that was lost is sent again from there on.
type transfer struct {
	snapshot *Snapshot     // nil: none has begun
	wanted   int           // the part that the peer wants next, as far as is known
	next     int           // the part to send next
	due      time.Duration // when parts are sent again unless one is acknowledged before
	rewound  bool          // parts are being sent again since the last one was acknowledged
}

// beginInstall turns to snapshots.
func (r *Replica) beginInstall(p *peer) {
	p.state = installing
	p.clearFlights()
	p.transfer = transfer{}
	r.sendParts(p)
}

// sendParts sends parts of the newest snapshot to a peer that answers, a few beyond those that it has acknowledged.
func (r *Replica) sendParts(p *peer) {
	if !r.hears(p) {
		return
	}
	t := &p.transfer
	switch {
	case t.snapshot != r.snapshot:
		*t = transfer{snapshot: r.snapshot}
		t.due = r.partsDue(t)
	case r.now >= t.due:
		t.next, t.rewound, t.due = t.wanted, true, r.partsDue(t)
	}
	window := r.limits.parts
	if t.wanted == 0 {
		window = 1 // the peer may not be able to take it now
	}
	for t.next < min(t.wanted+window, t.snapshot.Chunks) {
		r.sendEarly(p, Message{Kind: InstallSnapshot, To: p.id, Term: r.promise.Term, Snapshot: t.snapshot, Chunk: t.next})
		t.next++
	}
}

// partsDue is when parts are sent again unless one is acknowledged before.
func (r *Replica) partsDue(t *transfer) time.Duration {
	if t.wanted == 0 {
		return r.now + offerBeats*r.options.HeartbeatInterval
	}
	return r.now + installPatience*r.options.ElectionTimeout
}

// IsSendingSnapshot tells whether a snapshot is on its way to a member that takes it: the disk should keep it for a while.
func (r *Replica) IsSendingSnapshot() bool {
	if r.role != owner {
		return false
	}
	for _, p := range r.ownership.peers {
		if p.state == installing && p.transfer.wanted > 0 && p.transfer.snapshot == r.snapshot && r.hears(p) {
			return true
		}
	}
	return false
}

// receiveAnswerSnapshot takes notice of which part a peer wants next.
func (r *Replica) receiveAnswerSnapshot(answer *Message) {
	if r.role != owner || answer.Term != r.promise.Term {
		return
	}
	p := findPeer(r.ownership.peers, answer.From)
	if p == nil {
		return
	}
	p.heard = r.now
	t := &p.transfer
	if p.state != installing || t.snapshot == nil || answer.Index != t.snapshot.Index || answer.Chunk > t.snapshot.Chunks {
		return
	}
	switch {
	case answer.Chunk > t.wanted:
		t.wanted, t.next = answer.Chunk, max(t.next, answer.Chunk)
		t.due, t.rewound = r.partsDue(t), false
	case answer.Reject && (answer.Chunk < t.wanted || !t.rewound):
		t.wanted, t.next = answer.Chunk, answer.Chunk
		t.due, t.rewound = r.partsDue(t), true
	}
}

// incoming is a snapshot that is being received. Nothing of it counts before it is whole: neither as a match nor for a vote.
type incoming struct {
	from     string // identity of the owner that sends it; empty: none is being received
	epoch    uint64 // of that owner
	snapshot *Snapshot
	wanted   int           // the part that is to come next
	due      time.Duration // when it is given up unless another part has come
}

// isOf tells whether a message brings a part of the snapshot that is being received.
func (i *incoming) isOf(message *Message) bool {
	return i.from == message.From && i.epoch == message.Term &&
		i.snapshot.Index == message.Snapshot.Index && i.snapshot.Chunks == message.Snapshot.Chunks
}

// outdates tells whether a message comes late, with a part of an older snapshot of the same owner.
func (i *incoming) outdates(message *Message) bool {
	return i.from == message.From && i.epoch == message.Term && i.snapshot.Index > message.Snapshot.Index
}

// IsReceivingSnapshot tells whether parts of a snapshot have been received and it isn't whole yet.
func (r *Replica) IsReceivingSnapshot() bool { return r.incoming.from != "" }

// dropStaleIncoming gives up a snapshot whose sender sends no more of it.
func (r *Replica) dropStaleIncoming() {
	if r.IsReceivingSnapshot() && r.now >= r.incoming.due {
		r.incoming = incoming{}
	}
}

// receiveSnapshot takes one part of a snapshot in. A message without a snapshot is one that the shell has no room for: it
// only shows that the owner is there.
func (r *Replica) receiveSnapshot(message *Message) {
	snapshot := message.Snapshot
	if !r.heed(message) || snapshot == nil || snapshot.Chunks < 1 {
		return
	}
	if snapshot.Index <= r.commit {
		r.accept(message, r.commit)
		return
	}
	if r.log.holds(snapshot.Index, snapshot.Term) {
		r.commitUpTo(snapshot.Index)
		r.accept(message, snapshot.Index)
		return
	}
	if r.step.installed != nil {
		return // its parts are on their way to where the next one's would go
	}
	r.receivePart(message)
}

// receivePart takes the part that is wanted, and tells which one is wanted then.
func (r *Replica) receivePart(message *Message) {
	if r.incoming.outdates(message) {
		return
	}
	if !r.IsReceivingSnapshot() || !r.incoming.isOf(message) {
		r.incoming = incoming{}
		if message.Chunk != 0 {
			r.wantPart(message, 0, true)
			return
		}
		r.incoming = incoming{from: message.From, epoch: message.Term, snapshot: withoutState(message.Snapshot)}
	}
	i := &r.incoming
	i.due = r.now + 2*installPatience*r.options.ElectionTimeout
	if message.Chunk != i.wanted {
		r.wantPart(message, i.wanted, message.Chunk > i.wanted)
		return
	}
	r.step.received = append(r.step.received, Chunk{Number: i.wanted, Data: message.Snapshot.State})
	i.wanted++
	if i.wanted < i.snapshot.Chunks {
		r.wantPart(message, i.wanted, false)
		return
	}
	r.install(i.snapshot)
	r.accept(message, message.Snapshot.Index)
}

// wantPart tells the owner which part is to come next; with rejected, that those before the one it has sent are missing.
func (r *Replica) wantPart(message *Message, number int, rejected bool) {
	r.sendAfterSync(Message{Kind: InstallSnapshotResponse, To: message.From, Term: message.Term, Index: message.Snapshot.Index,
		Chunk: number, Reject: rejected})
}

// withoutState returns what a member needs to remember of a snapshot: the state lies on the disk and in the state machine.
func withoutState(snapshot *Snapshot) *Snapshot {
	light := *snapshot
	light.State = nil
	return &light
}

// install puts a snapshot in place of the whole log.
func (r *Replica) install(snapshot *Snapshot) {
	r.incoming = incoming{}
	r.snapshot = snapshot
	r.log.reset(snapshot.Index, snapshot.Term)
	r.groups = groupHistory{newGroup(snapshot.Index, snapshot.Members)}
	r.commit, r.applied = snapshot.Index, snapshot.Index
	r.step.installed = snapshot
	r.step.saved, r.step.savedLast = snapshot.Index, snapshot.Index
}
