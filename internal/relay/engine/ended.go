package engine

import (
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// endedMessages holds the answers to duplicates of messages that have ended recently, within Limits.EndedRetention and Limits.MaxEnded. A
// client whose connection broke before it received its answer submits the message again under the same id: that must not run it twice.
type endedMessages struct {
	verdicts    map[string]Verdict // answers to duplicates, by front name and message id
	oldestFirst []endedMessage
}

// endedMessage identifies an answer in endedMessages.verdicts and dates it, so that the oldest answers can be dropped first.
type endedMessage struct {
	key string    // front name and message id
	at  time.Time // when it ended
}

// remember stores the answer to duplicates of a message that has ended, and drops answers that are too old or too many. A front that
// notifies its clients of deliveries detects duplicates itself: there an id identifies the task, and is used again after a refusal.
func (c *Core) remember(m *message, verdict Verdict, now time.Time) {
	if c.limits.EndedRetention > 0 && !m.front.Front.NotifiesDeliveries() {
		c.ended.add(m.front.name+" "+m.entry.ID, verdict, now)
	}
	for n := len(c.ended.oldestFirst); n > 0 && (n > c.limits.MaxEnded || now.Sub(c.ended.oldestFirst[0].at) > c.limits.EndedRetention); n-- {
		delete(c.ended.verdicts, c.ended.oldestFirst[0].key)
		c.ended.oldestFirst = c.ended.oldestFirst[1:]
	}
}

// add stores the answer to duplicates of a message; a message that is already stored keeps its age.
func (e *endedMessages) add(key string, verdict Verdict, at time.Time) {
	if _, ok := e.verdicts[key]; !ok {
		e.oldestFirst = append(e.oldestFirst, endedMessage{key, at})
	}
	if e.verdicts == nil {
		e.verdicts = map[string]Verdict{}
	}
	e.verdicts[key] = verdict
}

// earlierVerdict returns the answer to a duplicate of a message that is pending or has ended recently; false if the id is that of a new
// message.
func (c *Core) earlierVerdict(front, id string) (Verdict, bool) {
	key := front + " " + id
	if m := c.messagesByID[key]; m != nil && m.entry.NoticePending && !m.front.Front.NotifiesDeliveries() {
		return verdictOf(m.entry.Notice), true
	} else if m != nil {
		return Accepted, true
	}
	v, ok := c.ended.verdicts[key]
	return v, ok
}

// verdictOf returns the answer to a duplicate of a message that has ended with a notice. It is not Accepted: a client that does not know of
// the first acceptance would wait for another notice.
func verdictOf(n journal.Notice) Verdict {
	if n.HandedBack {
		return Busy
	}
	return Failed
}

// verdictAfterWithdrawal returns the answer to a duplicate of a withdrawn message, whose client never received its answer. A message that
// never ran is not remembered: its duplicate is a new message. One that may have run and must not run twice has failed.
func (c *Core) verdictAfterWithdrawal(e *journal.Entry) (verdict Verdict, remembered bool) {
	switch {
	case !e.MayHaveRun && !e.InFlight:
		return 0, false
	case c.settings.Classes[e.Class].Effect == control.Safe:
		return Busy, true
	}
	return Failed, true
}

// state returns the entries as a capture stores them, oldest first.
func (e *endedMessages) state(c *Core) (all []capture.EndedState) {
	for _, o := range e.oldestFirst {
		all = append(all, capture.EndedState{Key: o.key, At: c.moduleTimeOrZero(o.at), Verdict: uint8(e.verdicts[o.key])})
	}
	return all
}
