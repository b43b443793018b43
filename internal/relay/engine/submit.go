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

// SubmitAt is Submit for those who have a clock of their own (see Step): the answer comes in the next Step.
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

// arrival is a message that a front hands in.
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
	c.submitted++
	// It is in the relay already, or was until a moment ago: the relay owes it one end, not two, whatever else holds now.
	if verdict, known := c.earlierVerdict(a.front, a.msg.ID); known {
		c.replyTo(a.reply, c.submitted, Reply{Verdict: verdict, RetryAfter: c.limits.BusyRetry})
		return
	}
	if c.closedTo(&a, now) {
		c.refuse(&a)
		return
	}
	if a.ruling.Verdict != Accepted {
		c.replyTo(a.reply, c.submitted, Reply{Verdict: a.ruling.Verdict, RetryAfter: c.limits.BusyRetry, Status: a.ruling.Status, Reason: a.ruling.Reason})
		return
	}
	if c.fullFor(&a) {
		c.refuse(&a)
		return
	}
	c.take(&a)
}

// closedTo tells whether nothing is taken on now, whatever the message.
func (c *Core) closedTo(a *arrival, now time.Time) bool {
	return c.fronts[a.front] == nil || !c.drainAt.IsZero() ||
		now.Sub(a.submittedAt) > c.limits.AnswerWithin || // the client is about to leave, and would hand it in again beside this one
		!c.mayAct(now) || c.governor != nil && c.governor.Closed || a.stale(c)
}

// fullFor tells whether there is no room for the message, or no way to its partner.
func (c *Core) fullFor(a *arrival) bool {
	return c.settings.MaxOpen > 0 && len(c.messages)-c.outstanding >= c.settings.MaxOpen ||
		!c.serves(c.fronts[a.front], a.msg.Partner) || c.isShut(a.msg.Partner)
}

// refuse answers that the message may be handed in again.
func (c *Core) refuse(a *arrival) {
	halted := c.governor != nil && c.governor.Halted != 0 || a.stale(c)
	c.count(a.msg.Class, a.msg.Tenant, a.msg.Partner, countRefused)
	c.replyTo(a.reply, c.submitted, Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry, halted: halted})
}

// take has the module decide on the message; it is answered once that is done and the journal written.
func (c *Core) take(a *arrival) {
	msg := &a.msg
	m := c.add(c.fronts[a.front], &journal.Entry{ID: msg.ID, Key: msg.Key, Front: a.front, Destination: msg.Partner, Class: msg.Class,
		Tenant: msg.Tenant, Deadline: msg.Deadline, Resubmitted: msg.Resubmitted, Body: bytes.Clone(msg.Body), Headers: msg.ExtraHeaders,
		MayHaveRun: !msg.MayHaveRunAt.IsZero(), MayHaveRunAt: msg.MayHaveRunAt})
	c.stampPolicy(m.entry)
	m.reply, m.submission = a.reply, c.submitted
	c.arrivals = append(c.arrivals, m)
	c.moduleEvents = append(c.moduleEvents, c.arrival(m))
}

// withdrawn is a message whose client never heard that it was taken on.
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
	if attempt := m.attempt; attempt != nil && len(attempt.Items) == 1 { // the module can't: the message is no longer there when it decides
		if attempt.recall(); c.settings.Cancel {
			attempt.cancel()
		}
		c.recordAction(capture.Action{Kind: capture.AttemptCanceled, Number: attempt.number})
	}
	c.finish(m, "withdrawn")
}

// replyTo answers whoever handed in a message; submission is its number among those handed in.
func (c *Core) replyTo(to chan<- Reply, submission uint64, r Reply) {
	to <- r
	c.recordAction(capture.Action{Kind: capture.Replied, Number: submission, Wait: r.RetryAfter, Verdict: uint8(r.Verdict)})
}

// journalArrivals journals the messages that were taken on in this turn, and drops those that were not. Nothing is
// told to a client before the journal is written; see flushAndBegin.
func (c *Core) journalArrivals() {
	for i, m := range c.arrivals {
		if m.refusal == nil {
			err := c.journal.Accept(m.entry)
			if err == nil {
				continue
			} else if !errors.Is(err, journal.ErrFull) {
				c.log.Error("journal not written", "err", err)
			}
			c.turnInput.Full = append(c.turnInput.Full, i)
			m.refusal = &Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry}
			c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Withdrawn, ID: m.ref}) // the module learns of it next turn
		}
		c.drop(m)
	}
}
