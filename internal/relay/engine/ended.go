package engine

import (
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// endings is the memory of messages that have ended a moment ago. A client whose connection broke before it had its answer hands
// the same message in once more, under the same id: that must neither run it again nor be a message of its own.
type endings struct {
	verdicts    map[string]Verdict // the answer to one that comes again, by front and id
	oldestFirst []ending           // the oldest first
}

// ending is one such message.
type ending struct {
	key string
	at  time.Time
}

// remember notes how one that comes again under the id of a message that is over is to be answered. A front that tells its clients
// of deliveries too has a memory of its own: there an id stands for what is to be done, and comes again after a refusal.
func (c *Core) remember(m *message, v Verdict, now time.Time) {
	if c.limits.EndedRetention > 0 && !m.front.Front.NotifiesDeliveries() {
		c.endings.add(m.front.name+" "+m.entry.ID, v, now)
	}
	for n := len(c.endings.oldestFirst); n > 0 && (n > c.limits.MaxEnded || now.Sub(c.endings.oldestFirst[0].at) > c.limits.EndedRetention); n-- {
		delete(c.endings.verdicts, c.endings.oldestFirst[0].key)
		c.endings.oldestFirst = c.endings.oldestFirst[1:]
	}
}

func (e *endings) add(key string, v Verdict, at time.Time) {
	if _, ok := e.verdicts[key]; !ok {
		e.oldestFirst = append(e.oldestFirst, ending{key, at})
	}
	if e.verdicts == nil {
		e.verdicts = map[string]Verdict{}
	}
	e.verdicts[key] = v
}

// earlierVerdict tells the answer to a message that is handed in under an id that is held, or was until a moment ago.
func (c *Core) earlierVerdict(front, id string) (Verdict, bool) {
	key := front + " " + id
	if m := c.messagesByID[key]; m != nil && m.entry.NoticePending && !m.front.Front.NotifiesDeliveries() {
		return verdictOf(m.entry.Notice), true
	} else if m != nil {
		return Accepted, true
	}
	v, ok := c.endings.verdicts[key]
	return v, ok
}

// verdictOf is the answer to a message that has ended with a notice, and comes again: its client may not know that it was ever taken on, and
// would wait for another end if it were told so now.
func verdictOf(n journal.Notice) Verdict {
	if n.HandedBack {
		return Busy
	}
	return Failed
}

// afterWithdrawal is the answer to a message whose client never heard that it had been taken on, and comes again. One that never
// ran begins anew, and is not remembered; what may have run and must not run twice has failed.
func (c *Core) afterWithdrawal(e *journal.Entry) (v Verdict, remembered bool) {
	switch {
	case !e.MayHaveRun && !e.InFlight:
		return 0, false
	case c.settings.Classes[e.Class].Effect == control.Safe:
		return Busy, true
	}
	return Failed, true
}

// state is the memory as a capture keeps it, the oldest first.
func (e *endings) state(c *Core) (all []capture.EndedState) {
	for _, o := range e.oldestFirst {
		all = append(all, capture.EndedState{Key: o.key, At: c.stamp(o.at), Verdict: uint8(e.verdicts[o.key])})
	}
	return all
}
