package engine

import (
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// Turn applies the events, lets the module decide, journals that, and then acts on it. now must not be before that of the last turn. It belongs
// to the core's goroutine.
//
// Its order is what a replay relies on: events as they came, the module's one Step, the journal, answers and attempts, and only then watches,
// notices and notifications.
func (c *Core) Turn(now time.Time, events []event) {
	c.recordBefore(now, events)
	for _, ev := range events {
		ev.apply(c, now)
	}
	c.flushAndBegin(now, c.decide(now))
	if !c.watchAt.IsZero() && !now.Before(c.watchAt) {
		c.watch()
	}
	c.notify(now)
	for _, notify := range c.notifications {
		notify()
	}
	c.notifications = c.notifications[:0]
	c.housekeep(now)
	c.recordAfter(now)
}

// decide has the module take its step, if there is an event for it, and carries out what it decides; it returns the attempts that are to
// start once the journal is written.
func (c *Core) decide(now time.Time) []*Attempt {
	woken := !c.wakeAt.IsZero() && !now.Before(c.wakeAt)
	if woken {
		c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Woken})
	}
	if len(c.moduleEvents) == 0 {
		return nil
	}
	if woken {
		c.wakeAt = time.Time{}
	}
	c.moduleActions = c.policy.Step(c.clock(now), c.moduleEvents, c.moduleActions[:0])
	if c.recorder != nil {
		c.recorder.Turn(c.clock(now), c.moduleEvents, c.moduleActions)
		c.turnInput.No = c.recorder.Turns()
	}
	c.moduleEvents = c.moduleEvents[:0]
	sends := c.carryOut()
	c.journalArrivals()
	return c.assemble(now, sends)
}

// send is one message that the module sends.
type send struct {
	message *message
	action  control.Action
}

// carryOut carries out the module's actions but for the sends, which it returns: those must wait for the journal. Actions on messages and
// destinations that are no longer known do nothing.
func (c *Core) carryOut() (sends []send) {
	for _, action := range c.moduleActions {
		m := c.messages[action.ID]
		switch action.Kind {
		case control.Send:
			if m != nil {
				sends = append(sends, send{m, action})
			}
		case control.Refuse, control.Fail:
			if m != nil {
				c.end(m, action)
			}
		case control.Cancel:
			if m != nil && m.attempt != nil {
				m.attempt.cancel()
				c.recordAction(capture.Action{Kind: capture.AttemptCanceled, Number: m.attempt.number})
			}
		case control.Recall:
			if m != nil && m.attempt != nil {
				m.attempt.recall()
				c.recordAction(capture.Action{Kind: capture.AttemptRecalled, Number: m.attempt.number})
			}
		case control.Wake:
			at := c.startedAt.Add(action.At - clockStart)
			if c.wakeAt.IsZero() || at.Before(c.wakeAt) {
				c.wakeAt = at
			}
		case control.Subscribe:
			c.watch()
		case control.Close:
			if d := c.destinations[action.Endpoint]; d != nil {
				c.closeIdle(d)
			}
		case control.Log:
			c.log.Debug("decision module", "says", action.Text)
		}
	}
	return sends
}

// assemble makes attempts of the module's sends: those of one turn to one destination share a call as far as they fit into it. What must
// not be sent any more is reported to the module instead.
func (c *Core) assemble(now time.Time, sends []send) (attempts []*Attempt) {
	var open map[uint32]*Attempt
	for _, s := range sends {
		d := c.destinations[s.action.Endpoint]
		if !c.drainAt.IsZero() && now.Sub(c.drainAt) > c.limits.DrainSends {
			continue // left for the next start
		}
		if c.messages[s.message.ref] == nil || d == nil { // it was not accepted after all: the module gets its slot back
			c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Resolved, ID: s.action.ID, Attempt: s.message.entry.Attempts,
				Endpoint: s.action.Endpoint, Result: control.NotProcessed})
			continue
		}
		if c.rejectExhausted(s.message, s.action) {
			continue
		}
		attempt := open[s.action.Endpoint]
		if attempt == nil || !c.joins(attempt, s.message) {
			c.lastAttempt++
			attempt = &Attempt{number: c.lastAttempt, To: *d, Timeout: s.action.For, sampleBytes: -1, scheduledAt: now, cancel: func() {}}
			attempts = append(attempts, attempt)
			if open == nil {
				open = map[uint32]*Attempt{}
			}
			open[s.action.Endpoint] = attempt
		}
		c.schedule(now, s, attempt)
	}
	return attempts
}

// schedule adds a message to an attempt. Tests and operators follow a message by the log line "route step".
func (c *Core) schedule(now time.Time, s send, attempt *Attempt) {
	entry := s.message.entry
	c.journal.Schedule(entry, now, attempt.To.Name)
	if entry.Attempts > 1 {
		c.count(entry.Class, entry.Tenant, entry.Destination, countRepeats)
	}
	c.log.Debug("route step", "id", entry.ID, "class", entry.Class, "attempt", entry.Attempts-1, "destination", attempt.To.Name,
		"within", s.action.For)
	attempt.Timeout = min(attempt.Timeout, s.action.For)
	if class := &c.settings.Classes[entry.Class]; entry.MayHaveRun && class.Effect == control.Keyed {
		if end := entry.MayHaveRunAt.Add(class.Memory - c.limits.WindowMargin/2); attempt.WriteBefore.IsZero() || end.Before(attempt.WriteBefore) {
			attempt.WriteBefore = end
		}
	}
	attempt.Items = append(attempt.Items, Item{ID: entry.ID, Key: entry.Key, Class: entry.Class, Body: entry.Body,
		Headers: entry.Headers, ref: s.message.ref, attempt: entry.Attempts - 1})
	s.message.attempt = attempt
}

// flushAndBegin writes the journal, and only then answers clients and starts calls. Where the journal can't be written, messages that came in
// this turn are refused and its attempts never started.
func (c *Core) flushAndBegin(now time.Time, attempts []*Attempt) {
	err := c.journal.Flush()
	if err != nil {
		c.turnInput.Failed = true
		c.log.Error("journal not written", "err", err)
	}
	c.answerArrivals(err == nil)
	for _, attempt := range c.takeStartable(now) {
		c.call(attempt)
	}
	for _, attempt := range attempts {
		c.inFlight[attempt.number] = attempt
		switch {
		case err != nil:
			c.endUnstarted(attempt, now)
		case !c.mayAct(now):
			c.awaitLease(attempt)
		default:
			c.call(attempt)
		}
	}
}

// answerArrivals answers the messages that were submitted in this turn; what the journal could not write is not accepted.
func (c *Core) answerArrivals(journalled bool) {
	for _, m := range c.arrivals {
		what := countRefused
		if m.refusal == nil && journalled {
			what = countTaken
		}
		c.count(m.entry.Class, m.entry.Tenant, m.entry.Destination, what)
		switch {
		case m.refusal != nil:
			c.replyTo(m.reply, m.submission, *m.refusal)
		case !journalled:
			c.replyTo(m.reply, m.submission, Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry})
			c.withdraw(m)
		default:
			c.replyTo(m.reply, m.submission, Reply{Verdict: Accepted, ref: m.ref})
		}
		m.reply = nil
	}
	c.arrivals = c.arrivals[:0]
}
