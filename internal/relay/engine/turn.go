package engine

import (
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// Turn applies the events, lets the module decide, journals the decisions, and then acts on them. now must not be before that of the last
// turn. It must be called by the core's goroutine.
//
// A replay relies on the order: events as they were posted, one Step of the module, the journal, answers and attempts, and only then
// watches, notices and notifications.
func (c *Core) Turn(now time.Time, events []event) {
	c.recordBefore(now, events)
	for _, ev := range events {
		ev.apply(c, now)
	}
	c.flushAndBegin(now, c.decide(now))
	if !c.watchAt.IsZero() && !now.Before(c.watchAt) {
		c.startWatches()
	}
	c.sendNotices(now)
	for _, notify := range c.notifications {
		notify()
	}
	c.notifications = c.notifications[:0]
	c.housekeep(now)
	c.recordAfter(now)
}

// decide calls the module's Step, if there is an event for it, and applies its actions. It returns the attempts to start once the journal
// is written.
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
	c.moduleActions = c.policy.Step(c.moduleTime(now), c.moduleEvents, c.moduleActions[:0])
	if c.recorder != nil {
		c.recorder.Turn(c.moduleTime(now), c.moduleEvents, c.moduleActions)
		c.turnInput.No = c.recorder.Turns()
	}
	c.moduleEvents = c.moduleEvents[:0]
	sends := c.applyActions()
	c.journalArrivals()
	return c.buildAttempts(now, sends)
}

// send is a Send action of the module, with its message.
type send struct {
	message *message
	action  control.Action
}

// applyActions applies the module's actions, except sends, which must wait for the journal and are returned. Actions on unknown messages
// and destinations do nothing.
func (c *Core) applyActions() (sends []send) {
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
			c.startWatches()
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

// buildAttempts combines the module's sends into attempts: sends of one turn to the same destination share a call as far as they fit.
// Messages that must no longer be sent are reported to the module instead.
func (c *Core) buildAttempts(now time.Time, sends []send) (attempts []*Attempt) {
	var open map[uint32]*Attempt
	for _, s := range sends {
		d := c.destinations[s.action.Endpoint]
		if !c.drainAt.IsZero() && now.Sub(c.drainAt) > c.limits.DrainSends {
			continue // stays in the journal for the next start
		}
		if c.messages[s.message.ref] == nil || d == nil { // refused, or destination gone: the module frees the slot
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
			attempt = &Attempt{number: c.lastAttempt, To: *d, Timeout: s.action.Duration, sampleBytes: -1, scheduledAt: now, cancel: func() {}}
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

// schedule adds a message to an attempt. Tests and operators trace messages by its log line "route step".
func (c *Core) schedule(now time.Time, s send, attempt *Attempt) {
	entry := s.message.entry
	c.journal.Schedule(entry, now, attempt.To.Name)
	if entry.Attempts > 1 {
		c.count(entry.Class, entry.Tenant, entry.Destination, countRepeats)
	}
	c.log.Debug("route step", "id", entry.ID, "class", entry.Class, "attempt", entry.Attempts-1, "destination", attempt.To.Name,
		"within", s.action.Duration)
	attempt.Timeout = min(attempt.Timeout, s.action.Duration)
	if class := &c.settings.Classes[entry.Class]; entry.MayHaveRun && class.Effect == control.Keyed {
		if end := entry.MayHaveRunAt.Add(class.DedupWindow - c.limits.WindowMargin/2); attempt.WriteBefore.IsZero() || end.Before(attempt.WriteBefore) {
			attempt.WriteBefore = end
		}
	}
	attempt.Items = append(attempt.Items, Item{ID: entry.ID, Key: entry.Key, Class: entry.Class, Body: entry.Body,
		Headers: entry.Headers, ref: s.message.ref, attempt: entry.Attempts - 1})
	s.message.attempt = attempt
}

// flushAndBegin flushes the journal, and only then answers clients and starts attempts. If the journal can't be written, the messages of
// this turn are refused and its attempts end without having been started.
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

// answerArrivals answers the messages that were submitted in this turn; journalled is false if the journal could not be written, and none
// is accepted.
func (c *Core) answerArrivals(journalled bool) {
	for _, m := range c.arrivals {
		what := countRefused
		if m.refusal == nil && journalled {
			what = countAccepted
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
