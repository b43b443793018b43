package engine

import (
	"slices"
	"time"

	"mastusher/internal/relay/journal"
)

func (c *Core) addOutstanding(m *message, n journal.Notice) {
	c.outstanding++
	m.entry.NoticePending, m.entry.Notice = true, n
	m.front.outstanding = append(m.front.outstanding, m.notice())
}

// notify sends the notices owed, one call a front at a time.
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
		f.cancelNotify = c.shell.Notify(f.Front, batch, now.Add(c.limits.NoticeTimeout), func(taken []bool) { c.queue <- notified{f, taken} })
	}
}

type notified struct {
	front    *frontState
	accepted []bool
}

func (n notified) apply(c *Core, now time.Time) {
	sent, moved := n.front.sending, n.front.movedMeanwhile // then the next goes elsewhere, and at once
	n.front.cancelNotify()
	n.front.cancelNotify, n.front.sending, n.front.movedMeanwhile = nil, nil, false
	if moved || !slices.Contains(n.accepted, false) {
		n.front.backoff = 0
	} else { // twice as long each time in a row
		n.front.backoff = min(max(2*n.front.backoff, c.limits.NoticeRetry), c.limits.NoticeRetryMax)
		n.front.retryAt = now.Add(n.front.backoff)
	}
	for i, notice := range sent {
		if m := c.messages[notice.ref]; !n.accepted[i] {
			n.front.outstanding = append(n.front.outstanding, notice)
		} else if m != nil {
			c.outstanding--
			c.journal.Ack(m.entry)
			c.remember(m, verdictOf(m.entry.Notice), now)
			c.drop(m)
			c.recordFinish(m)
		}
	}
}

func (c *Core) notifyEnd(m *message, how string) {
	c.count(m.entry.Class, m.entry.Tenant, m.entry.Destination, how)
	if c.inspector != nil {
		c.notifications = append(c.notifications, func() {
			c.inspector.OnEnd(m.front.name, End{m.entry.ID, m.entry.Key, m.entry.Destination, m.entry.Class, how})
		})
	}
}
