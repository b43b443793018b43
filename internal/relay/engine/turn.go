package engine

import (
	"errors"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// Turn takes in what has happened, lets the module decide, writes that down, and then acts on it.
func (c *Core) Turn(now time.Time, events []event) {
	c.recordBefore(now, events)
	for _, ev := range events {
		ev.apply(c, now)
	}
	woken := !c.wakeAt.IsZero() && !now.Before(c.wakeAt)
	if woken {
		c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Woken})
	}
	var steps []*Attempt
	if len(c.moduleEvents) > 0 {
		if woken {
			c.wakeAt = time.Time{}
		}
		c.moduleActions = c.policy.Step(c.clock(now), c.moduleEvents, c.moduleActions[:0])
		if c.recorder != nil {
			c.recorder.Turn(c.clock(now), c.moduleEvents, c.moduleActions)
			c.turnInput.No = c.recorder.Turns()
		}
		c.moduleEvents = c.moduleEvents[:0]
		steps = c.carryOut(now)
	}
	c.flushAndBegin(now, steps)
	if !c.watchAt.IsZero() && !now.Before(c.watchAt) {
		c.watch()
	}
	c.notify(now)
	for _, tell := range c.notifications {
		tell()
	}
	c.notifications = c.notifications[:0]
	if now.Sub(c.lastHousekeeping) > time.Second {
		c.lastHousekeeping = now
		for _, f := range c.frontsInOrder {
			f.Front.CloseIdle(nil)
		}
		c.forgetRemoved(now)
	}
	c.recordAfter(now)
}

// carryOut carries out the module's actions, up to the attempts that it returns.
func (c *Core) carryOut(now time.Time) (steps []*Attempt) {
	type send struct {
		m *message
		a control.Action
	}
	var sends []send
	for _, a := range c.moduleActions {
		m := c.messages[a.ID]
		switch a.Kind {
		case control.Send:
			if m != nil {
				sends = append(sends, send{m, a})
			}
		case control.Refuse, control.Fail:
			if m != nil {
				c.end(m, a)
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
			at := c.startedAt.Add(a.At - clockStart)
			if c.wakeAt.IsZero() || at.Before(c.wakeAt) {
				c.wakeAt = at
			}
		case control.Subscribe:
			c.watch()
		case control.Close:
			if d := c.destinations[a.Endpoint]; d != nil {
				c.closeIdle(d)
			}
		case control.Log:
			c.log.Debug("module", "says", a.Text)
		}
	}
	c.journalArrivals()
	var open map[uint32]*Attempt
	for _, s := range sends {
		d := c.destinations[s.a.Endpoint]
		if !c.drainAt.IsZero() && now.Sub(c.drainAt) > c.limits.DrainSends {
			continue // left for the next start
		}
		if c.messages[s.m.ref] == nil || d == nil { // not taken on after all: the module has its slot back
			c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Resolved, ID: s.a.ID, Attempt: s.m.entry.Attempts,
				Endpoint: s.a.Endpoint, Result: control.NotProcessed})
			continue
		}
		if c.rejectExhausted(s.m, s.a) {
			continue
		}
		step := open[s.a.Endpoint]
		if step == nil || !c.joins(step, s.m) {
			c.lastAttempt++
			step = &Attempt{number: c.lastAttempt, To: *d, Timeout: s.a.For, sampleBytes: -1, scheduledAt: now, cancel: func() {}}
			steps = append(steps, step)
			if open == nil {
				open = map[uint32]*Attempt{}
			}
			open[s.a.Endpoint] = step
		}
		c.journal.Schedule(s.m.entry, now, d.Name)
		if s.m.entry.Attempts > 1 {
			c.count(s.m.entry.Class, s.m.entry.Tenant, s.m.entry.Destination, countRepeats)
		}
		c.log.Debug("route step", "id", s.m.entry.ID, "class", s.m.entry.Class, "attempt", s.m.entry.Attempts-1, "destination", d.Name,
			"within", s.a.For)
		step.Timeout = min(step.Timeout, s.a.For)
		if k := &c.settings.Classes[s.m.entry.Class]; s.m.entry.MayHaveRun && k.Effect == control.Keyed {
			if end := s.m.entry.MayHaveRunAt.Add(k.Memory - c.limits.WindowMargin/2); step.WriteBefore.IsZero() || end.Before(step.WriteBefore) {
				step.WriteBefore = end
			}
		}
		step.Items = append(step.Items, Item{ID: s.m.entry.ID, Key: s.m.entry.Key, Class: s.m.entry.Class, Body: s.m.entry.Body,
			Headers: s.m.entry.Headers, ref: s.m.ref, attempt: s.m.entry.Attempts - 1})
		s.m.attempt = step
	}
	return steps
}

// joins tells whether m fits into the call that step already is: as in the module, sends of one turn to one
// destination share one. A call must also fit into one body, in Base64.
func (c *Core) joins(step *Attempt, m *message) bool {
	most := 1
	if k := slices.Index(c.settings.KindNames, step.To.Kind); k >= 0 && k < len(c.settings.Kinds) {
		most = c.settings.Kinds[k].PerCall
	}
	size := 0
	for _, it := range append(step.Items, Item{ID: m.entry.ID, Key: m.entry.Key, Body: m.entry.Body}) {
		size += 64 + 6*(len(it.ID)+len(it.Key)) + len(it.Body)*4/3
	}
	// One call has one set of headers.
	return len(step.Items) < most && size <= c.limits.BodySize && slices.Equal(step.Items[0].Headers, m.entry.Headers)
}

// end gives a message its one final answer.
func (c *Core) end(m *message, a control.Action) {
	if m.reply != nil { // in the turn of its arrival: a plain answer will do, and nothing is taken on
		if m.refusal = (&Reply{Verdict: Failed}); a.Kind == control.Refuse {
			m.refusal = &Reply{Verdict: Busy, RetryAfter: a.For}
		}
		return
	}
	n := journal.Notice{HandedBack: a.Kind == control.Refuse, RetryAfter: a.For}
	c.addOutstanding(m, n)
	c.journal.EndWithNotice(m.entry, n)
	if n.HandedBack {
		c.notifyEnd(m, "handed_back")
	} else {
		c.notifyEnd(m, "given_up")
	}
}

func (c *Core) addOutstanding(m *message, n journal.Notice) {
	c.outstanding++
	m.entry.NoticePending, m.entry.Notice = true, n
	m.front.outstanding = append(m.front.outstanding, m.notice())
}

// notice is what is owed of a message that has ended.
func (m *message) notice() Notice {
	n := Notice{ID: m.entry.ID, Delivered: m.entry.Notice.Delivered, HandedBack: m.entry.Notice.HandedBack, RetryAfter: m.entry.Notice.RetryAfter,
		Class: m.entry.Class, Deadline: m.entry.Deadline, Body: m.entry.Body, ref: m.ref}
	if m.entry.MayHaveRun {
		n.MayHaveRunAt = m.entry.MayHaveRunAt
	}
	return n
}

// finish forgets a message that is over.
func (c *Core) finish(m *message, how string) {
	c.recordFinish(m)
	c.drop(m)
	c.notifyEnd(m, how)
}

func (c *Core) notifyEnd(m *message, how string) {
	c.count(m.entry.Class, m.entry.Tenant, m.entry.Destination, how)
	if c.inspector != nil {
		c.notifications = append(c.notifications, func() {
			c.inspector.OnEnd(m.front.name, End{m.entry.ID, m.entry.Key, m.entry.Destination, m.entry.Class, how})
		})
	}
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

// flushAndBegin writes the journal, and only then answers clients and lets calls go out.
func (c *Core) flushAndBegin(now time.Time, steps []*Attempt) {
	err := c.journal.Flush()
	if err != nil {
		c.turnInput.Failed = true
		c.log.Error("journal", "error", err)
	}
	for _, m := range c.arrivals {
		what := countRefused
		if m.refusal == nil && err == nil {
			what = countTaken
		}
		c.count(m.entry.Class, m.entry.Tenant, m.entry.Destination, what)
		switch {
		case m.refusal != nil:
			c.replyTo(m.reply, m.submission, *m.refusal)
		case err != nil: // not on disk: not taken on
			c.replyTo(m.reply, m.submission, Reply{Verdict: Busy, RetryAfter: c.limits.BusyRetry})
			c.withdraw(m)
		default:
			c.replyTo(m.reply, m.submission, Reply{Verdict: Accepted, ref: m.ref})
		}
		m.reply = nil
	}
	c.arrivals = c.arrivals[:0]
	for _, s := range c.takeStartable(now) {
		c.call(s)
	}
	for _, s := range steps {
		c.inFlight[s.number] = s
		if err != nil {
			moot := slices.Repeat([]Outcome{{Result: control.NotProcessed}}, len(s.Items))
			attemptEnded{s, moot}.apply(c, now)
			continue
		}
		if !c.mayAct(now) {
			c.awaitLease(s)
			continue
		}
		c.call(s)
	}
}

// call lets an attempt go out.
func (c *Core) call(s *Attempt) {
	c.bindToMandate(s)
	if c.inspector != nil {
		for i := range s.Items {
			s.sampleBytes = max(s.sampleBytes, c.inspector.SampleBytes(s.To.front.name, s.To.Partner, s.Items[i].Class))
		}
	}
	var all []*journal.Entry
	for i := range s.Items {
		if m := c.messages[s.Items[i].ref]; m != nil {
			all = append(all, m.entry)
		}
	}
	s.begin = func() bool { return c.journal.Begin(all) }
	c.recordBegin(s)
	s.cancel = c.shell.Call(s.To.front.Front, s, s.scheduledAt.Add(s.Timeout), func(outs []Outcome) {
		if s.sampled != nil { // an answer that came whole
			c.inspector.OnAnswer(s.To.front.name, s, outs)
		}
		c.queue <- attemptEnded{s, outs}
	})
}

// replyTo answers a client.
func (c *Core) replyTo(to chan<- Reply, hand uint64, r Reply) {
	to <- r
	c.recordAction(capture.Action{Kind: capture.Replied, Number: hand, Wait: r.RetryAfter, Verdict: uint8(r.Verdict)})
}

// closeIdle closes the idle connections to a destination.
func (c *Core) closeIdle(d *Destination) {
	d.front.Front.CloseIdle(d)
	c.recordAction(capture.Action{Kind: capture.IdleClosed, Target: d.number})
}
