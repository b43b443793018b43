package engine

import (
	"slices"
	"time"

	"mastusher/internal/relay/journal"
)

// addOutstanding notes that a message has ended and that its client must be notified.
func (c *Core) addOutstanding(m *message, n journal.Notice) {
	c.outstanding++
	m.entry.NoticePending, m.entry.Notice = true, n
	m.front.outstanding = append(m.front.outstanding, m.notice())
}

// notify sends the notices outstanding, one call a front at a time.
func (c *Core) notify(now time.Time) {
	for _, f := range c.frontsInOrder {
		if f.cancelNotify != nil || len(f.outstanding) == 0 || now.Before(f.retryAt) {
			continue
		}
		n := min(len(f.outstanding), c.limits.NoticesPerCall)
		batch := slices.Clone(f.outstanding[:n])
		f.outstanding = slices.Delete(f.outstanding, 0, n)
		f.sending = batch
		c.recordNotices(f)
		f.cancelNotify = c.shell.Notify(f.Front, batch, now.Add(c.limits.NoticeTimeout), func(accepted []bool) { c.queue <- notified{f, accepted} })
	}
}

// notified is the end of a call with notices, with those that were accepted.
type notified struct {
	front    *frontState
	accepted []bool
}

func (n notified) apply(c *Core, now time.Time) {
	f := n.front
	sent, moved := f.sending, f.movedMeanwhile // then the next goes elsewhere, and at once
	f.cancelNotify()
	f.cancelNotify, f.sending, f.movedMeanwhile = nil, nil, false
	if moved || !slices.Contains(n.accepted, false) {
		f.backoff = 0
	} else { // twice as long each time in a row
		f.backoff = min(max(2*f.backoff, c.limits.NoticeRetry), c.limits.NoticeRetryMax)
		f.retryAt = now.Add(f.backoff)
	}
	for i, notice := range sent {
		if m := c.messages[notice.ref]; !n.accepted[i] {
			f.outstanding = append(f.outstanding, notice)
		} else if m != nil {
			c.outstanding--
			c.journal.Ack(m.entry)
			c.remember(m, verdictOf(m.entry.Notice), now)
			c.drop(m)
			c.recordFinish(m)
		}
	}
}

// notifyEnd counts a message's end and has the inspector told of it once the turn is journalled.
func (c *Core) notifyEnd(m *message, result string) {
	c.count(m.entry.Class, m.entry.Tenant, m.entry.Destination, result)
	if c.inspector != nil {
		c.notifications = append(c.notifications, func() {
			c.inspector.OnEnd(m.front.name, End{m.entry.ID, m.entry.Key, m.entry.Destination, m.entry.Class, result})
		})
	}
}
