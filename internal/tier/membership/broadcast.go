package membership

import (
	"math/bits"
	"slices"
)

// retransmitFactor is how many times one member sends an update, for each doubling of the number of members.
const retransmitFactor = 3

// smallestUpdate is a lower bound of an update's encoding, in bytes. With less room there is no use in looking for one.
const smallestUpdate = 20

// broadcast is one update that is still to be attached to messages.
type broadcast struct {
	update Update
	size   int // encoded, in bytes; 0: not known yet
	stale  bool
}

// broadcastQueue holds the updates to be attached, by how often each was sent. The least sent go first, and the newest of
// those.
type broadcastQueue struct {
	levels [][]*broadcast // the index is how often each was sent
	byName map[string]*broadcast
	picked []pick // scratch of take
}

// pick is a broadcast that take has chosen, and its level.
type pick struct {
	item  *broadcast
	level int
}

func newBroadcastQueue() *broadcastQueue { return &broadcastQueue{byName: map[string]*broadcast{}} }

// add queues an update in place of any older one about the same member.
func (q *broadcastQueue) add(update Update) {
	q.drop(update.Name)
	added := &broadcast{update: update}
	q.byName[update.Name] = added
	q.push(0, added)
}

// drop takes back the update about a member.
func (q *broadcastQueue) drop(name string) {
	if older := q.byName[name]; older != nil {
		older.stale = true
		delete(q.byName, name)
	}
}

func (q *broadcastQueue) push(level int, item *broadcast) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], item)
}

// take appends updates that fit into budget bytes and counts them as sent once more. One that was sent limit times is
// dropped. It also returns the bytes that are left.
func (q *broadcastQueue) take(updates []Update, budget, limit int) ([]Update, int) {
	if len(q.byName) == 0 {
		return updates, budget
	}
	q.picked = q.picked[:0]
	for level := range q.levels {
		if budget < smallestUpdate {
			break
		}
		budget = q.takeLevel(level, budget)
	}
	updates = slices.Grow(updates, len(q.picked))
	for _, p := range q.picked {
		updates = append(updates, p.item.update)
		q.sent(p, limit)
	}
	return updates, budget
}

// takeLevel picks from the end of one level until the next does not fit.
func (q *broadcastQueue) takeLevel(level, budget int) int {
	items := q.levels[level]
	for len(items) > 0 {
		last := items[len(items)-1]
		if last.stale {
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
		q.picked = append(q.picked, pick{last, level})
	}
	q.levels[level] = items
	return budget
}

func (q *broadcastQueue) sent(p pick, limit int) {
	if p.level+1 >= limit {
		delete(q.byName, p.item.update.Name)
		return
	}
	q.push(p.level+1, p.item)
}

// clear drops all updates.
func (q *broadcastQueue) clear() {
	clear(q.byName)
	for level := range q.levels {
		clear(q.levels[level])
		q.levels[level] = q.levels[level][:0]
	}
}

// retransmitLimit is how often an update is sent by one of so many members.
func retransmitLimit(members int) int { return retransmitFactor * bits.Len(uint(members)) }
