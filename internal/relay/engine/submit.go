package engine

import (
	"bytes"
	"errors"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// Submit submits a message and returns the answer, which takes at most one turn (Limits.Round), or haltTimeout more while the relay is
// halted for a change of policy. If the verdict is Accepted, the message is in the journal. Submit may be called from any goroutine until
// Stop.
func (c *Core) Submit(front string, m Message) Reply {
	if !c.ready.Load() || !c.admitted() {
		return Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry}
	}
	a := arrival{front: front, submittedAt: time.Now(), reply: make(chan Reply, 1)}
	for {
		a.msg = m
		if c.inspector != nil {
			if s := c.publishedMandate.Load(); s != nil {
				a.seenUnderPolicy = s.version + 1
			}
			a.ruling = c.inspector.OnArrival(front, &a.msg)
		}
		select {
		case c.queue <- a:
		default: // the queue is full: the relay is overloaded
			return Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry}
		}
		// The message may have passed admitted above right before a change of policy halted the relay. It then waits for the end of the
		// halt and is submitted again, as a later message would be.
		if r := <-a.reply; !r.halted || time.Since(a.submittedAt) > haltTimeout || !c.admitted() {
			return r
		}
	}
}

// SubmitAt is Submit for callers with a clock of their own, who call Step: the next Step sends the answer. The inspector is not called.
func (c *Core) SubmitAt(front string, m Message, at time.Time) <-chan Reply {
	a := arrival{front: front, msg: m, submittedAt: at, reply: make(chan Reply, 1)}
	c.queue <- a
	return a.reply
}

// Withdraw reports that a client never received the answer r: the message that was accepted with it ends without a notice. It does nothing
// if the message had been accepted earlier, since the client that submitted it first still relies on it. It may be called from any
// goroutine.
func (c *Core) Withdraw(r Reply) {
	if r.ref != 0 {
		c.queue <- withdrawn{r.ref}
	}
}

// arrival is the event that a front submits a message.
type arrival struct {
	front           string // name of the front
	msg             Message
	submittedAt     time.Time
	reply           chan Reply // buffered: the core does not wait for the receiver
	ruling          Ruling     // the inspector's
	seenUnderPolicy uint64     // version of the policy under which plug-ins have seen the message, plus one; 0 if none has
}

// stale reports whether plug-ins have seen the message under another policy than the current one, and must see it again.
func (a *arrival) stale(c *Core) bool {
	return a.seenUnderPolicy != 0 && c.mandate != nil && a.seenUnderPolicy != c.mandate.Version+1
}

func (a arrival) apply(core *Core, now time.Time) {
	core.submitted++
	// A duplicate of a message that is pending or has ended recently gets the answer to that message, whatever else would apply now.
	if verdict, known := core.earlierVerdict(a.front, a.msg.ID); known {
		core.replyTo(a.reply, core.submitted, Reply{Verdict: verdict, RetryAfter: core.limits.BusyRetry})
		return
	}
	if core.refusesNow(&a, now) {
		core.refuse(&a)
		return
	}
	if a.ruling.Verdict != Accepted {
		core.replyTo(a.reply, core.submitted, Reply{Verdict: a.ruling.Verdict, RetryAfter: core.limits.BusyRetry, Status: a.ruling.Status,
			Reason: a.ruling.Reason})
		return
	}
	if core.lacksCapacityFor(&a) {
		core.refuse(&a)
		return
	}
	core.passToModule(&a)
}

// refusesNow reports whether the core accepts nothing now, or the message has waited too long in the queue or is stale.
func (c *Core) refusesNow(a *arrival, now time.Time) bool {
	return c.fronts[a.front] == nil || !c.drainAt.IsZero() ||
		now.Sub(a.submittedAt) > c.limits.AnswerWithin || // the client is about to time out and submit the message to another relay
		!c.mayAct(now) || c.mandate != nil && c.mandate.Closed || a.stale(c)
}

// lacksCapacityFor reports whether the relay has no capacity for the message, or no destination of its partner that it may call.
func (c *Core) lacksCapacityFor(a *arrival) bool {
	return c.settings.MaxOpen > 0 && len(c.messages)-c.outstanding >= c.settings.MaxOpen ||
		!c.serves(c.fronts[a.front], a.msg.Partner) || c.isShut(a.msg.Partner)
}

// refuse answers that the message is not accepted and may be submitted again.
func (c *Core) refuse(a *arrival) {
	halted := c.mandate != nil && c.mandate.Halted != 0 || a.stale(c)
	c.count(a.msg.Class, a.msg.Tenant, a.msg.Partner, countRefused)
	c.replyTo(a.reply, c.submitted, Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry, halted: halted})
}

// passToModule adds the message and passes it to the module; the answer follows when the module has decided and the journal is written.
func (c *Core) passToModule(a *arrival) {
	msg := &a.msg
	m := c.add(c.fronts[a.front], &journal.Entry{ID: msg.ID, Key: msg.Key, Front: a.front, Destination: msg.Partner, Class: msg.Class,
		Tenant: msg.Tenant, Deadline: msg.Deadline, Resubmitted: msg.Resubmitted, Body: bytes.Clone(msg.Body), Headers: msg.ExtraHeaders,
		MayHaveRun: !msg.MayHaveRunAt.IsZero(), MayHaveRunAt: msg.MayHaveRunAt})
	c.stampPolicy(m.entry)
	m.reply, m.submission = a.reply, c.submitted
	c.arrivals = append(c.arrivals, m)
	c.moduleEvents = append(c.moduleEvents, c.arrivedEvent(m))
}

// withdrawn is the event that a client never received the answer that accepted its message.
type withdrawn struct{ ref uint64 }

func (w withdrawn) apply(core *Core, now time.Time) {
	m := core.messages[w.ref]
	if m == nil || m.entry.NoticePending {
		return
	}
	if v, ok := core.verdictAfterWithdrawal(m.entry); ok {
		core.remember(m, v, now)
	}
	core.withdraw(m)
}

// withdraw ends a message on which no client relies, and recalls its attempt.
func (c *Core) withdraw(m *message) {
	c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Withdrawn, ID: m.ref})
	c.journal.End(m.entry)
	if attempt := m.attempt; attempt != nil && len(attempt.Items) == 1 { // the module can't recall it: the message is gone by then
		if attempt.recall(); c.settings.Cancel {
			attempt.cancel()
		}
		c.recordAction(capture.Action{Kind: capture.AttemptCanceled, Number: attempt.number})
	}
	c.finish(m, endWithdrawn)
}

// replyTo answers a submission; submission is its number.
func (c *Core) replyTo(to chan<- Reply, submission uint64, r Reply) {
	to <- r
	c.recordAction(capture.Action{Kind: capture.Replied, Number: submission, Wait: r.RetryAfter, Verdict: uint8(r.Verdict)})
}

// journalArrivals adds the messages that were accepted in this turn to the journal, and drops those that were refused. Clients are answered
// only after the journal has been flushed; see flushAndBegin.
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
			c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Withdrawn, ID: m.ref}) // for the next turn
		}
		c.drop(m)
	}
}
