package membership

import (
	"math/bits"
	"slices"
)

// retransmitMult is how many times one member sends an update per doubling of the number of members (SWIM's lambda). More
// makes it less likely that an update misses a member, and costs bytes in the datagrams.
const retransmitMult = 3

// minUpdateBytes is a lower bound of an update's encoding, in bytes: with less room none is looked for.
const minUpdateBytes = 20

// broadcast is an update that is piggybacked on messages.
type broadcast struct {
	update      Update
	size        int  // encoded, in bytes; 0: not measured yet
	invalidated bool // a newer update about the same member has replaced it
}

// transmitLimitedQueue holds the updates to be piggybacked, by how often each was sent. Those sent least often go first (SWIM
// section 4.1), and the newest of them. An update leaves the queue after retransmitLimit transmits.
type transmitLimitedQueue struct {
	tiers    [][]*broadcast // the index is the number of transmits
	byName   map[string]*broadcast
	selected []selection // scratch of getBroadcasts
}

// selection is a broadcast that getBroadcasts has chosen.
type selection struct {
	item      *broadcast
	transmits int // before this one
}

// newTransmitLimitedQueue returns an empty queue.
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

// invalidate drops the update about a member.
func (q *transmitLimitedQueue) invalidate(name string) {
	if older := q.byName[name]; older != nil {
		older.invalidated = true
		delete(q.byName, name)
	}
}

// push adds a broadcast to the tier of those sent so many times.
func (q *transmitLimitedQueue) push(transmits int, item *broadcast) {
	for len(q.tiers) <= transmits {
		q.tiers = append(q.tiers, nil)
	}
	q.tiers[transmits] = append(q.tiers[transmits], item)
}

// getBroadcasts appends updates that fit into budget bytes and counts a transmit of each; one that reaches limit transmits
// is dropped. It also returns the bytes that are left.
func (q *transmitLimitedQueue) getBroadcasts(updates []Update, budget, limit int) ([]Update, int) {
	if len(q.byName) == 0 {
		return updates, budget
	}
	q.selected = q.selected[:0]
	for transmits := range q.tiers {
		if budget < minUpdateBytes {
			break
		}
		budget = q.selectTier(transmits, budget)
	}
	updates = slices.Grow(updates, len(q.selected))
	for _, chosen := range q.selected {
		updates = append(updates, chosen.item.update)
		q.recordTransmit(chosen, limit)
	}
	return updates, budget
}

// selectTier takes broadcasts from the end of one tier, the newest first, until one does not fit.
func (q *transmitLimitedQueue) selectTier(transmits, budget int) int {
	items := q.tiers[transmits]
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
		q.selected = append(q.selected, selection{last, transmits})
	}
	q.tiers[transmits] = items
	return budget
}

// recordTransmit moves a broadcast to the next tier, or drops it when it has reached the limit.
func (q *transmitLimitedQueue) recordTransmit(chosen selection, limit int) {
	if chosen.transmits+1 >= limit {
		delete(q.byName, chosen.item.update.Name)
		return
	}
	q.push(chosen.transmits+1, chosen.item)
}

// reset drops all broadcasts.
func (q *transmitLimitedQueue) reset() {
	clear(q.byName)
	for transmits := range q.tiers {
		clear(q.tiers[transmits])
		q.tiers[transmits] = q.tiers[transmits][:0]
	}
}

// retransmitLimit is how often each of so many members sends an update.
func retransmitLimit(members int) int { return retransmitMult * bits.Len(uint(members)) }
