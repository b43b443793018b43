package engine

import (
	"slices"
	"time"

	"mastusher/internal/relay/journal"
)

// addOutstanding queues the notice of a message that has ended.
func (c *Core) addOutstanding(m *message, n journal.Notice) {
	c.outstanding++
	m.entry.NoticePending, m.entry.Notice = true, n
	m.front.outstanding = append(m.front.outstanding, m.notice())
}

// sendNotices sends outstanding notices: at most one call per front at a time, with at most Limits.NoticesPerCall notices.
func (c *Core) sendNotices(now time.Time) {
	for _, f := range c.frontsInOrder {
		if f.cancelNotify != nil || len(f.outstanding) == 0 || now.Before(f.retryAt) {
			continue
		}
		n := min(len(f.outstanding), c.limits.NoticesPerCall)
		batch := slices.Clone(f.outstanding[:n])
		f.outstanding = slices.Delete(f.outstanding, 0, n)
		f.sending = batch
		c.recordNotices(f)
		f.cancelNotify = c.shell.Notify(f.Front, batch, now.Add(c.limits.NoticeTimeout), func(accepted []bool) { c.queue <- notifyCallEnded{f, accepted} })
	}
}

// notifyCallEnded is the event that a Notify call has ended, with whether each of its notices was accepted.
type notifyCallEnded struct {
	front    *frontState
	accepted []bool
}

func (n notifyCallEnded) apply(core *Core, now time.Time) {
	f := n.front
	sent, moved := f.sending, f.movedDuringNotify
	f.cancelNotify()
	f.cancelNotify, f.sending, f.movedDuringNotify = nil, nil, false
	if moved || !slices.Contains(n.accepted, false) { // after a move of discovery the next call goes to another address, and need not wait
		f.backoff = 0
	} else { // doubles with each failure in a row
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

// notifyEnd counts the end of a message, and notifies the inspector once the turn has been journalled.
func (c *Core) notifyEnd(m *message, result string) {
	c.count(m.entry.Class, m.entry.Tenant, m.entry.Destination, result)
	if c.inspector != nil {
		c.notifications = append(c.notifications, func() {
			c.inspector.OnEnd(m.front.name, End{m.entry.ID, m.entry.Key, m.entry.Destination, m.entry.Class, result})
		})
	}
}
