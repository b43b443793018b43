package replica

import "time"

// progressState is how the leader sends entries to a follower.
type progressState uint8

const (
	stateProbe     progressState = iota // sends one append at a time until it is known where the logs match
	stateReplicate                      // sends appends without waiting for responses
	stateSnapshot                       // sends a snapshot
)

// progress is the leader's view of another member.
type progress struct {
	id            string
	learner       bool
	state         progressState
	match         uint64 // last entry that the member is known to have on disk
	next          uint64 // next entry to send; always greater than match
	probeSent     bool   // stateProbe: an append has been sent and not answered
	inflights     []inflight
	inflightBytes int           // total size of inflights
	lastContact   time.Duration // time of the last response; before the first one, when tracking began

	readContext        uint64 // newest read context that the member has responded to
	sentReadContext    uint64 // newest read context that was sent to the member
	sentSinceHeartbeat bool   // an append was sent since the last heartbeat

	hasResponded bool // to an append from this leader in this term

	transfer snapshotTransfer // stateSnapshot: the transfer in progress
}

// inflight is an append that has not been acknowledged.
type inflight struct {
	last uint64 // index of its last entry
	size int    // bytes of its entries
}

// findProgress returns the progress of the member with the given ID, or nil.
func findProgress(peers []*progress, id string) *progress {
	for _, p := range peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// refreshFollowers updates the list of followers to the latest configuration, and keeps the progress of members that stay.
func (r *Replica) refreshFollowers() {
	known := r.leadership.followers
	members := r.configurations.latest().members
	r.leadership.followers = make([]*progress, 0, len(members))
	for i := range members {
		if members[i].ID == r.options.ID {
			continue
		}
		p := findProgress(known, members[i].ID)
		if p == nil {
			p = &progress{id: members[i].ID, next: r.log.lastIndex() + 1, lastContact: r.now}
		}
		p.learner = members[i].Learner
		r.leadership.followers = append(r.leadership.followers, p)
	}
}

// isActive reports whether the follower has responded within the election timeout.
func (r *Replica) isActive(p *progress) bool {
	return r.now-p.lastContact < r.options.ElectionTimeout
}

// updateMatch records that the follower has the log up to index on disk. Offset is the last entry that the leader has
// compacted.
func (p *progress) updateMatch(index, offset uint64) {
	p.match = max(p.match, index)
	p.freeInflights()
	switch p.state {
	case stateProbe:
		p.becomeReplicate()
	case stateSnapshot:
		if p.match >= offset {
			p.transfer = snapshotTransfer{}
			p.becomeReplicate()
		}
	case stateReplicate:
		p.next = max(p.next, p.match+1)
	}
}

// becomeProbe switches to sending one append at a time, starting with the entry at next.
func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.transfer = snapshotTransfer{}
	p.next = next
	p.probeSent = false
	p.clearInflights()
}

// becomeReplicate switches to sending appends without waiting for responses.
func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.next = p.match + 1
	p.clearInflights()
}

// freeInflights drops the appends that have been acknowledged.
func (p *progress) freeInflights() {
	freed := 0
	for freed < len(p.inflights) && p.inflights[freed].last <= p.match {
		p.inflightBytes -= p.inflights[freed].size
		freed++
	}
	p.inflights = p.inflights[freed:]
}

func (p *progress) clearInflights() {
	p.inflights = nil
	p.inflightBytes = 0
}
