package membership

import (
	"math/bits"
	"slices"
)

// retransmitMult is how many times one member sends an update, for each doubling of the number of members.
const retransmitMult = 3

// minUpdateBytes is a lower bound of an update's encoding, in bytes. With less room there is no use in looking for one.
const minUpdateBytes = 20

// broadcast is one update that is still to be attached to messages.
type broadcast struct {
	update      Update
	size        int // encoded, in bytes; 0: not known yet
	invalidated bool
}

// transmitLimitedQueue holds the updates to be attached, by how often each was sent. The least sent go first, and the newest of
// those.
type transmitLimitedQueue struct {
	tiers    [][]*broadcast // the index is how often each was sent
	byName   map[string]*broadcast
	selected []selection // scratch of take
}

// selection is a broadcast that take has chosen, and its level.
type selection struct {
	item      *broadcast
	transmits int
}

func newTransmitLimitedQueue() *transmitLimitedQueue {
	return &transmitLimitedQueue{byName: map[string]*broadcast{}}
}

// queueBroadcast queues an update in place of any older one about the same member.
func (q *transmitLimitedQueue) queueBroadcast(update Update) {
	q.invalidate(update.Name)
	added := &broadcast{update: update}
	q.byName[update.Name] = added
	q.push(0, added)
}

// invalidate takes back the update about a member.
func (q *transmitLimitedQueue) invalidate(name string) {
	if older := q.byName[name]; older != nil {
		older.invalidated = true
		delete(q.byName, name)
	}
}

func (q *transmitLimitedQueue) push(level int, item *broadcast) {
	for len(q.tiers) <= level {
		q.tiers = append(q.tiers, nil)
	}
	q.tiers[level] = append(q.tiers[level], item)
}

// getBroadcasts appends updates that fit into budget bytes and counts them as sent once more. One that was sent limit times is
// dropped. It also returns the bytes that are left.
func (q *transmitLimitedQueue) getBroadcasts(updates []Update, budget, limit int) ([]Update, int) {
	if len(q.byName) == 0 {
		return updates, budget
	}
	q.selected = q.selected[:0]
	for level := range q.tiers {
		if budget < minUpdateBytes {
			break
		}
		budget = q.selectTier(level, budget)
	}
	updates = slices.Grow(updates, len(q.selected))
	for _, p := range q.selected {
		updates = append(updates, p.item.update)
		q.noteTransmit(p, limit)
	}
	return updates, budget
}

// selectTier picks from the end of one level until the next does not fit.
func (q *transmitLimitedQueue) selectTier(level, budget int) int {
	items := q.tiers[level]
	for len(items) > 0 {
		last := items[len(items)-1]
		if last.invalidated {
			items = items[:len(items)-1]
			continue
		}
		if last.size == 0 {
			last.size = encodedSize(last.update)
		}
		if last.size > budget {
			break
		}
		items = items[:len(items)-1]
		budget -= last.size
		q.selected = append(q.selected, selection{last, level})
	}
	q.tiers[level] = items
	return budget
}

func (q *transmitLimitedQueue) noteTransmit(p selection, limit int) {
	if p.transmits+1 >= limit {
		delete(q.byName, p.item.update.Name)
		return
	}
	q.push(p.transmits+1, p.item)
}

// reset drops all updates.
func (q *transmitLimitedQueue) reset() {
	clear(q.byName)
	for level := range q.tiers {
		clear(q.tiers[level])
		q.tiers[level] = q.tiers[level][:0]
	}
}

// retransmitLimit is how often an update is sent by one of so many members.
func retransmitLimit(members int) int { return retransmitMult * bits.Len(uint(members)) }
