package replica

import "time"

// progressState tells how the leader sends to a follower.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time, until it is known where the logs agree
	stateReplicate                      // appends follow each other without waiting for responses
	stateSnapshot                       // a snapshot is on its way
)

// progress is what the leader knows of another member.
type progress struct {
	id            string
	learner       bool
	state         progressState
	match         uint64 // last entry that it is known to have on disk
	next          uint64 // next entry to send; always over match
	probeSent     bool   // stateProbe: entries are on their way
	inflights     []inflight
	inflightBytes int           // sum over inflights
	lastContact   time.Duration // last response; until hasResponded, when it became a follower

	readContext        uint64 // newest one that it has responded to
	sentReadContext    uint64 // newest one that was sent to it
	sentSinceHeartbeat bool   // an append was sent since the last heartbeat

	hasResponded bool // to this leader in this term

	transfer snapshotTransfer // stateSnapshot: the snapshot
}

// inflight is an append that has not been acknowledged.
type inflight struct {
	last uint64 // its last entry
	size int    // bytes of its entries
}

// findProgress is the progress of the member of that identity, or nil.
func findProgress(peers []*progress, id string) *progress {
	for _, p := range peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// refreshFollowers brings the followers in line with the latest configuration, and keeps the progress of those that stay.
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

// isActive tells whether the follower has responded within the election timeout.
func (r *Replica) isActive(p *progress) bool {
	return r.now-p.lastContact < r.options.ElectionTimeout
}

// updateMatch records that the follower's disk holds the log up to index. Offset is where the leader's log begins.
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

// becomeProbe sends one append at a time from next on.
func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.transfer = snapshotTransfer{}
	p.next = next
	p.probeSent = false
	p.clearInflights()
}

// becomeReplicate sends without waiting for responses.
func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.next = p.match + 1
	p.clearInflights()
}

// freeInflights drops the appends that are acknowledged by now.
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
