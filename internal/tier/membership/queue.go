package membership

import (
	"math/bits"
	"slices"
)

// retransmitMult is how often a member sends an update per doubling of the number of members (SWIM's lambda). A larger value makes
// it less likely that an update misses a member, and costs bytes in the datagrams.
const retransmitMult = 3

// minUpdateBytes is a lower bound of an update's encoded size; with a smaller budget the queue is not searched.
const minUpdateBytes = 20

// broadcast is an update that is piggybacked on messages.
type broadcast struct {
	update      Update
	size        int  // encoded size in bytes; 0: not computed yet
	invalidated bool // a newer update about the same member has replaced it
}

// transmitLimitedQueue holds the updates to piggyback. Those sent least often come first (SWIM section 4.1), and among these the
// newest. An update is dropped after retransmitLimit transmits.
type transmitLimitedQueue struct {
	tiers    [][]*broadcast // by number of transmits
	byName   map[string]*broadcast
	selected []selection // buffer that getBroadcasts reuses
}

// selection is a broadcast that getBroadcasts has chosen.
type selection struct {
	item      *broadcast
	transmits int // before this selection
}

// newTransmitLimitedQueue returns an empty queue.
func newTransmitLimitedQueue() *transmitLimitedQueue {
	return &transmitLimitedQueue{byName: map[string]*broadcast{}}
}

// queueBroadcast queues an update and drops an older one about the same member.
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

// push adds a broadcast to the tier for its number of transmits.
func (q *transmitLimitedQueue) push(transmits int, item *broadcast) {
	for len(q.tiers) <= transmits {
		q.tiers = append(q.tiers, nil)
	}
	q.tiers[transmits] = append(q.tiers[transmits], item)
}

// getBroadcasts appends updates that fit into budget bytes and counts a transmit of each; an update that reaches limit transmits is
// dropped. It also returns the remaining budget.
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

// selectTier selects broadcasts from one tier, newest first, until one exceeds the budget, and returns the remaining budget.
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

// retransmitLimit returns how often each member sends an update in a group of the given size.
func retransmitLimit(members int) int { return retransmitMult * bits.Len(uint(members)) }
