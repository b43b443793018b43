package engine

import (
	"bytes"
	"errors"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// Submit hands in a message and waits for the answer, which comes within the turn.
func (c *Core) Submit(front string, m Message) Reply {
	if !c.ready.Load() || !c.admitted() {
		return Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry}
	}
	a := arrival{front: front, submittedAt: time.Now(), reply: make(chan Reply, 1)}
	for {
		a.msg = m
		if c.inspector != nil {
			if s := c.mandate.Load(); s != nil {
				a.seenUnderPolicy = s.version + 1
			}
			a.ruling = c.inspector.OnArrival(front, &a.msg)
		}
		select {
		case c.queue <- a:
		default: // the queue is full: the relay can't keep up
			return Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry}
		}
		// It may have passed the check above right before a change stopped the relay: it waits for that like those after it.
		if r := <-a.reply; !r.halted || time.Since(a.submittedAt) > haltTimeout || !c.admitted() {
			return r
		}
	}
}

// SubmitAt is Submit for them: the answer comes in the next Step.
func (c *Core) SubmitAt(front string, m Message, at time.Time) <-chan Reply {
	a := arrival{front: front, msg: m, submittedAt: at, reply: make(chan Reply, 1)}
	c.queue <- a
	return a.reply
}

// Withdraw tells that a client never heard the answer r: what was taken on with it is over. Where the message
// had been taken on before, whoever handed it in first still counts on it.
func (c *Core) Withdraw(r Reply) {
	if r.ref != 0 {
		c.queue <- withdrawn{r.ref}
	}
}

type arrival struct {
	front           string
	msg             Message
	submittedAt     time.Time
	reply           chan Reply
	ruling          Ruling
	seenUnderPolicy uint64 // one more than the version of the policy under which plug-ins have seen it; 0: none has
}

// stale tells whether plug-ins have seen a message under another policy than is in force now: it is theirs to see again.
func (a *arrival) stale(c *Core) bool {
	return a.seenUnderPolicy != 0 && c.governor != nil && a.seenUnderPolicy != c.governor.Version+1
}

func (a arrival) apply(c *Core, now time.Time) {
	f, m := c.fronts[a.front], &a.msg
	// Past AnswerWithin the client is about to leave, and would hand it in again beside this one.
	c.submitted++
	busy := Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry, halted: c.governor != nil && c.governor.Halted != 0 || a.stale(c)}
	// It is held already, or was until a moment ago: the relay owes it one end, not two, whatever else holds now.
	if v, again := c.earlierVerdict(a.front, m.ID); again {
		c.replyTo(a.reply, c.submitted, Reply{Verdict: v, RetryAfter: c.limits.BusyRetry})
		return
	}
	if f == nil || !c.drainAt.IsZero() || now.Sub(a.submittedAt) > c.limits.AnswerWithin || !c.mayAct(now) || c.governor != nil && c.governor.Closed || a.stale(c) {
		c.count(m.Class, m.Tenant, m.Partner, countRefused)
		c.replyTo(a.reply, c.submitted, busy)
		return
	}
	if a.ruling.Verdict != Accepted {
		c.replyTo(a.reply, c.submitted, Reply{Verdict: a.ruling.Verdict, RetryAfter: c.limits.BusyRetry, Status: a.ruling.Status, Reason: a.ruling.Reason})
		return
	}
	if c.settings.MaxOpen > 0 && len(c.messages)-c.outstanding >= c.settings.MaxOpen || !c.serves(f, m.Partner) || c.isShut(m.Partner) {
		c.count(m.Class, m.Tenant, m.Partner, countRefused)
		c.replyTo(a.reply, c.submitted, busy)
		return
	}
	msg := c.add(f, &journal.Entry{ID: m.ID, Key: m.Key, Front: a.front, Destination: m.Partner, Class: m.Class,
		Tenant: m.Tenant, Deadline: m.Deadline, Resubmitted: m.Resubmitted, Body: bytes.Clone(m.Body), Headers: m.ExtraHeaders, MayHaveRun: !m.MayHaveRunAt.IsZero(), MayHaveRunAt: m.MayHaveRunAt})
	c.stampPolicy(msg.entry)
	msg.reply, msg.submission = a.reply, c.submitted
	c.arrivals = append(c.arrivals, msg)
	c.moduleEvents = append(c.moduleEvents, c.arrival(msg))
}

type withdrawn struct{ ref uint64 }

func (w withdrawn) apply(c *Core, now time.Time) {
	m := c.messages[w.ref]
	if m == nil || m.entry.NoticePending {
		return
	}
	if v, ok := c.afterWithdrawal(m.entry); ok {
		c.remember(m, v, now)
	}
	c.withdraw(m)
}

// withdraw forgets a message whose client does not count on it, and calls off what is out.
func (c *Core) withdraw(m *message) {
	c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Withdrawn, ID: m.ref})
	c.journal.End(m.entry)
	if s := m.attempt; s != nil && len(s.Items) == 1 { // the module can't: the message is no longer there when it decides
		if s.recall(); c.settings.Cancel {
			s.cancel()
		}
		c.recordAction(capture.Action{Kind: capture.AttemptCanceled, Number: s.number})
	}
	c.finish(m, "withdrawn")
}

// replyTo answers a client.
func (c *Core) replyTo(to chan<- Reply, hand uint64, r Reply) {
	to <- r
	c.recordAction(capture.Action{Kind: capture.Replied, Number: hand, Wait: r.RetryAfter, Verdict: uint8(r.Verdict)})
}

// journalArrivals journals the messages that were taken on in this turn, and drops those that were not. Nothing is
// told to a client before the journal is written; see begin.
func (c *Core) journalArrivals() {
	for i, m := range c.arrivals {
		if m.refusal == nil {
			err := c.journal.Accept(m.entry)
			if err == nil {
				continue
			} else if !errors.Is(err, journal.ErrFull) {
				c.log.Error("journal", "error", err)
			}
			c.turnInput.Full = append(c.turnInput.Full, i)
			m.refusal = &Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry}
			c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Withdrawn, ID: m.ref}) // the module learns of it next turn
		}
		c.drop(m)
	}
}
