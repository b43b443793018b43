package engine

import (
	"bytes"
	"errors"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// Submit submits a message and returns the answer, which comes within one turn (Limits.Round), or up to haltTimeout later while a change
// of policy takes hold. It may be called from any goroutine until Stop. With Accepted the message is in the journal.
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

// SubmitAt is Submit for callers with a clock of their own (see Step): the answer comes in the next Step. No inspector sees the message.
func (c *Core) SubmitAt(front string, m Message, at time.Time) <-chan Reply {
	a := arrival{front: front, msg: m, submittedAt: at, reply: make(chan Reply, 1)}
	c.queue <- a
	return a.reply
}

// Withdraw reports that a client never got the answer r: the message that was accepted with it ends without a notice. It does nothing where
// the message had been accepted before, since whoever submitted it first still relies on it. It may be called from any goroutine.
func (c *Core) Withdraw(r Reply) {
	if r.ref != 0 {
		c.queue <- withdrawn{r.ref}
	}
}

// arrival is a message that a front submits.
type arrival struct {
	front           string // its name
	msg             Message
	submittedAt     time.Time
	reply           chan Reply // with room for the one answer
	ruling          Ruling     // the inspector's
	seenUnderPolicy uint64     // one more than the version of the policy under which plug-ins have seen it; 0: none has
}

// stale reports whether plug-ins have seen a message under another policy than is in force now: they must see it again.
func (a *arrival) stale(c *Core) bool {
	return a.seenUnderPolicy != 0 && c.governor != nil && a.seenUnderPolicy != c.governor.Version+1
}

func (a arrival) apply(core *Core, now time.Time) {
	core.submitted++
	// It is pending already, or has ended recently: it has one end, not two, whatever else holds now.
	if verdict, known := core.earlierVerdict(a.front, a.msg.ID); known {
		core.replyTo(a.reply, core.submitted, Reply{Verdict: verdict, RetryAfter: core.limits.BusyRetry})
		return
	}
	if core.closedTo(&a, now) {
		core.refuse(&a)
		return
	}
	if a.ruling.Verdict != Accepted {
		core.replyTo(a.reply, core.submitted, Reply{Verdict: a.ruling.Verdict, RetryAfter: core.limits.BusyRetry, Status: a.ruling.Status,
			Reason: a.ruling.Reason})
		return
	}
	if core.fullFor(&a) {
		core.refuse(&a)
		return
	}
	core.take(&a)
}

// closedTo reports whether nothing is accepted now, whatever the message.
func (c *Core) closedTo(a *arrival, now time.Time) bool {
	return c.fronts[a.front] == nil || !c.drainAt.IsZero() ||
		now.Sub(a.submittedAt) > c.limits.AnswerWithin || // the client is about to leave, and would hand it in again beside this one
		!c.mayAct(now) || c.governor != nil && c.governor.Closed || a.stale(c)
}

// fullFor reports whether the relay has no capacity for the message, or no destination of its partner.
func (c *Core) fullFor(a *arrival) bool {
	return c.settings.MaxOpen > 0 && len(c.messages)-c.outstanding >= c.settings.MaxOpen ||
		!c.serves(c.fronts[a.front], a.msg.Partner) || c.isShut(a.msg.Partner)
}

// refuse answers that the message may be submitted again.
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

// withdrawn is a message whose client never heard that it was accepted.
type withdrawn struct{ ref uint64 }

func (w withdrawn) apply(core *Core, now time.Time) {
	m := core.messages[w.ref]
	if m == nil || m.entry.NoticePending {
		return
	}
	if v, ok := core.afterWithdrawal(m.entry); ok {
		core.remember(m, v, now)
	}
	core.withdraw(m)
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
	c.finish(m, endWithdrawn)
}

// replyTo answers a submission; submission is its number among them.
func (c *Core) replyTo(to chan<- Reply, submission uint64, r Reply) {
	to <- r
	c.recordAction(capture.Action{Kind: capture.Replied, Number: submission, Wait: r.RetryAfter, Verdict: uint8(r.Verdict)})
}

// journalArrivals journals the messages that were accepted in this turn, and drops those that were not. No client is
// answered before the journal is written; see flushAndBegin.
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
