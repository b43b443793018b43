package engine

import (
	"slices"
	"time"

	"mastusher/internal/relay/journal"
)

// addOutstanding adds the notice of a message that has ended to those to be sent.
func (c *Core) addOutstanding(m *message, n journal.Notice) {
	c.outstanding++
	m.entry.NoticePending, m.entry.Notice = true, n
	m.front.outstanding = append(m.front.outstanding, m.notice())
}

// notify sends outstanding notices, Limits.NoticesPerCall at most in a call, one call a front at a time.
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

// notified is the end of a call with notices: whether each of those sent was accepted.
type notified struct {
	front    *frontState
	accepted []bool
}

func (n notified) apply(core *Core, now time.Time) {
	f := n.front
	sent, moved := f.sending, f.movedMeanwhile
	f.cancelNotify()
	f.cancelNotify, f.sending, f.movedMeanwhile = nil, nil, false
	if moved || !slices.Contains(n.accepted, false) { // moved: the next call goes elsewhere, and at once
		f.backoff = 0
	} else { // twice as long each time in a row
		f.backoff = min(max(2*f.backoff, core.limits.NoticeRetry), core.limits.NoticeRetryMax)
		f.retryAt = now.Add(f.backoff)
	}
	for i, notice := range sent {
		if m := core.messages[notice.ref]; !n.accepted[i] {
			f.outstanding = append(f.outstanding, notice)
		} else if m != nil {
			core.outstanding--
			core.journal.Ack(m.entry)
			core.remember(m, verdictOf(m.entry.Notice), now)
			core.drop(m)
			core.recordFinish(m)
		}
	}
}

// notifyEnd counts a message's end and notifies the inspector once the turn is journalled.
func (c *Core) notifyEnd(m *message, result string) {
	c.count(m.entry.Class, m.entry.Tenant, m.entry.Destination, result)
	if c.inspector != nil {
		c.notifications = append(c.notifications, func() {
			c.inspector.OnEnd(m.front.name, End{m.entry.ID, m.entry.Key, m.entry.Destination, m.entry.Class, result})
		})
	}
}
