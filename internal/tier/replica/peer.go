package replica

import "time"

// peerState tells how the owner sends to a follower.
type peerState uint8

const (
	probing    peerState = iota // one append at a time, until it is known where the logs agree
	streaming                   // appends follow each other without waiting for answers
	installing                  // a snapshot is under way
)

// peer is another member, as the owner knows it.
type peer struct {
	id      string
	learner bool
	state   peerState
	match   uint64 // last entry that it is known to have on disk
	next    uint64 // next entry to send
	probed  bool   // probing: entries are on their way
	flights []flight
	flying  int           // bytes in flights
	heard   time.Duration // last answer
	round   uint64        // newest round of heartbeats that it has answered

	sent      bool   // something since the last heartbeat
	sentRound uint64 // newest round that was sent to it

	answered bool // this owner; until then heard tells since when it is a peer

	transfer transfer // installing: of a snapshot
}

// flight is an append that has not been acknowledged.
type flight struct {
	last uint64
	size int
}

// refreshPeers brings the peers in line with the newest list of members.
func (r *Replica) refreshPeers() {
	known := r.ownership.peers
	members := r.groups.newest().members
	r.ownership.peers = make([]*peer, 0, len(members))
	for i := range members {
		if members[i].ID == r.options.ID {
			continue
		}
		p := findPeer(known, members[i].ID)
		if p == nil {
			p = &peer{id: members[i].ID, next: r.log.last() + 1, heard: r.now}
		}
		p.learner = members[i].Learner
		r.ownership.peers = append(r.ownership.peers, p)
	}
}

func findPeer(peers []*peer, id string) *peer {
	for _, p := range peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// hears tells whether the peer has answered within the election time-out.
func (r *Replica) hears(p *peer) bool {
	return r.now-p.heard < r.options.ElectionTimeout
}

// replicate sends each peer what it lacks, and heartbeats when they are due.
func (r *Replica) replicate() {
	beat := r.now >= r.ownership.heartbeatDue
	if beat {
		r.ownership.heartbeatDue = r.now + r.options.HeartbeatInterval
	}
	for _, p := range r.ownership.peers {
		if beat {
			r.pauseSilent(p)
		}
		r.sendEntries(p)
		confirm := !p.learner && p.sentRound < r.ownership.round
		if confirm || beat && !p.sent {
			r.sendHeartbeat(p)
		}
		if beat {
			p.sent = false
		}
	}
}

// pauseSilent sends no more entries to a peer that does not answer, until it does.
func (r *Replica) pauseSilent(p *peer) {
	if p.state == streaming && !r.hears(p) {
		p.probe(p.match + 1)
		p.probed = true
	}
}

// sendEntries sends as much of the log as the peer may have under way.
func (r *Replica) sendEntries(p *peer) {
	switch p.state {
	case probing:
		if !p.probed && p.next <= r.log.last() {
			r.sendBatch(p)
		}
	case streaming:
		for p.next <= r.log.last() && p.flying < r.limits.flight && p.state == streaming {
			r.sendBatch(p)
		}
	case installing:
		r.sendParts(p)
	}
}

// sendBatch sends the next entries, or a snapshot if they are no longer in the log.
func (r *Replica) sendBatch(p *peer) {
	if p.next <= r.log.offset {
		r.beginInstall(p)
		return
	}
	entries, size := r.log.batch(p.next, r.limits.message)
	r.sendEarly(p, r.appendTo(p, p.next-1, entries))
	if p.state == probing {
		p.probed = true
		return
	}
	last := entries[len(entries)-1].Index
	p.next = last + 1
	p.flights = append(p.flights, flight{last: last, size: size})
	p.flying += size
}

// sendHeartbeat sends an append without entries. It also shows whether the entries before it have arrived.
func (r *Replica) sendHeartbeat(p *peer) {
	if p.state != installing && p.next <= r.log.offset {
		r.beginInstall(p)
	}
	previous := p.next - 1
	if p.state == installing {
		previous = 0
	}
	r.sendEarly(p, r.appendTo(p, previous, nil))
}

// appendTo is an append with the entries after previous.
func (r *Replica) appendTo(p *peer, previous uint64, entries []Entry) Message {
	epoch, _ := r.log.epochAt(previous)
	return Message{
		Kind:           AppendEntries,
		To:             p.id,
		Term:           r.promise.Term,
		Index:          previous,
		LogTerm:        epoch,
		Commit:         r.commit,
		Entries:        entries,
		ReadIndexRound: r.ownership.round,
	}
}

// sendEarly sends a message that does not wait for the own sync. A part of a snapshot, which the follower may have no room
// for, doesn't stand for a heartbeat.
func (r *Replica) sendEarly(p *peer, message Message) {
	message.From, message.Address = r.options.ID, r.options.Address
	if message.Kind == AppendEntries {
		p.sent = true
		p.sentRound = message.ReadIndexRound
	}
	r.step.effects.MessagesBeforeSync = append(r.step.effects.MessagesBeforeSync, message)
}

func (r *Replica) receiveAnswerAppend(answer *Message) {
	if answer.Term > r.promise.Term {
		r.follow(answer.Term, "")
		return
	}
	if r.role != owner || answer.Term != r.promise.Term {
		return
	}
	p := findPeer(r.ownership.peers, answer.From)
	if p == nil {
		return
	}
	p.heard, p.answered = r.now, true
	p.round = max(p.round, answer.ReadIndexRound)
	if answer.Reject {
		r.repair(p, answer)
		return
	}
	if answer.Index <= r.log.last() {
		p.acknowledge(answer.Index, r.log.offset)
	}
}

// repair goes back to where the peer's log may agree with the own one.
func (r *Replica) repair(p *peer, answer *Message) {
	outdated := answer.Index <= p.match || p.state == installing || p.state == probing && answer.Index != p.next-1
	if outdated {
		return
	}
	limit := min(answer.RejectHint, answer.Index-1)
	p.probe(max(p.match, r.log.agreement(limit, answer.LogTerm)) + 1)
}

// acknowledge records that the peer has the log up to index on disk.
func (p *peer) acknowledge(index, offset uint64) {
	p.match = max(p.match, index)
	p.land()
	switch p.state {
	case probing:
		p.stream()
	case installing:
		if p.match >= offset {
			p.transfer = transfer{}
			p.stream()
		}
	case streaming:
		p.next = max(p.next, p.match+1)
	}
}

// probe sends one append at a time from next on.
func (p *peer) probe(next uint64) {
	p.state = probing
	p.transfer = transfer{}
	p.next = next
	p.probed = false
	p.clearFlights()
}

// stream sends without waiting for answers.
func (p *peer) stream() {
	p.state = streaming
	p.next = p.match + 1
	p.clearFlights()
}

// land takes the acknowledged appends out of flight.
func (p *peer) land() {
	landed := 0
	for landed < len(p.flights) && p.flights[landed].last <= p.match {
		p.flying -= p.flights[landed].size
		landed++
	}
	p.flights = p.flights[landed:]
}

func (p *peer) clearFlights() {
	p.flights = nil
	p.flying = 0
}
