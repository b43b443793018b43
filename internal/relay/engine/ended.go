package engine

import (
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// endings remembers messages that have ended recently, within Limits.EndedRetention and Limits.MaxEnded. A client whose connection broke before it
// had its answer submits the same message once more, under the same id: that must neither run it twice nor be a message of its own.
type endings struct {
	verdicts    map[string]Verdict // the answer to a duplicate, by front and id
	oldestFirst []ending
}

// ending is one message of endings.
type ending struct {
	key string    // front and id
	at  time.Time // when it ended
}

// remember stores the answer to duplicates of a message that has ended. A front that notifies its clients of deliveries has a memory of its
// own: there an id stands for the task, and comes again after a refusal.
func (c *Core) remember(m *message, verdict Verdict, now time.Time) {
	if c.limits.EndedRetention > 0 && !m.front.Front.NotifiesDeliveries() {
		c.endings.add(m.front.name+" "+m.entry.ID, verdict, now)
	}
	for n := len(c.endings.oldestFirst); n > 0 && (n > c.limits.MaxEnded || now.Sub(c.endings.oldestFirst[0].at) > c.limits.EndedRetention); n-- {
		delete(c.endings.verdicts, c.endings.oldestFirst[0].key)
		c.endings.oldestFirst = c.endings.oldestFirst[1:]
	}
}

// add stores the answer to duplicates of a message; a message that is there already keeps its age.
func (e *endings) add(key string, verdict Verdict, at time.Time) {
	if _, ok := e.verdicts[key]; !ok {
		e.oldestFirst = append(e.oldestFirst, ending{key, at})
	}
	if e.verdicts == nil {
		e.verdicts = map[string]Verdict{}
	}
	e.verdicts[key] = verdict
}

// earlierVerdict returns the answer to a message whose id is that of a pending message, or of one that has ended recently; false: it is a
// new message.
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

// verdictOf is the answer to a duplicate of a message that has ended with a notice: its client may not know that it was ever accepted, and
// would wait for another end if the answer were Accepted.
func verdictOf(n journal.Notice) Verdict {
	if n.HandedBack {
		return Busy
	}
	return Failed
}

// afterWithdrawal is the answer to a duplicate of a withdrawn message, whose client never heard that it had been accepted. One that never ran
// is not remembered: its duplicate is a new message. What may have run and must not run twice has failed.
func (c *Core) afterWithdrawal(e *journal.Entry) (verdict Verdict, remembered bool) {
	switch {
	case !e.MayHaveRun && !e.InFlight:
		return 0, false
	case c.settings.Classes[e.Class].Effect == control.Safe:
		return Busy, true
	}
	return Failed, true
}

// state returns the endings as a capture has them, the oldest first.
func (e *endings) state(c *Core) (all []capture.EndedState) {
	for _, o := range e.oldestFirst {
		all = append(all, capture.EndedState{Key: o.key, At: c.stamp(o.at), Verdict: uint8(e.verdicts[o.key])})
	}
	return all
}
