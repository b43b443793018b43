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
		c.in = append(c.in, control.Event{Kind: control.Woken})
	}
	var steps []*Attempt
	if len(c.in) > 0 {
		if woken {
			c.wakeAt = time.Time{}
		}
		c.acts = c.mod.Step(c.clock(now), c.in, c.acts[:0])
		if c.rec != nil {
			c.rec.Turn(c.clock(now), c.in, c.acts)
			c.input.No = c.rec.Turns()
		}
		c.in = c.in[:0]
		steps = c.decided(now)
	}
	c.begin(now, steps)
	if !c.watchAt.IsZero() && !now.Before(c.watchAt) {
		c.watch()
	}
	c.notify(now)
	for _, tell := range c.tellers {
		tell()
	}
	c.tellers = c.tellers[:0]
	if now.Sub(c.houseAt) > time.Second {
		c.houseAt = now
		for _, f := range c.order {
			f.Front.CloseIdle(nil)
		}
		c.forgetGone(now)
	}
	c.recordAfter(now)
}

// decided carries out the module's actions, up to the attempts that it returns.
func (c *Core) decided(now time.Time) (steps []*Attempt) {
	type send struct {
		m *message
		a control.Action
	}
	var sends []send
	for _, a := range c.acts {
		m := c.msgs[a.ID]
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
			if m != nil && m.step != nil {
				m.step.cancel()
				c.did(capture.Action{Kind: capture.Called, No: m.step.no})
			}
		case control.Recall:
			if m != nil && m.step != nil {
				m.step.recall()
				c.did(capture.Action{Kind: capture.Back, No: m.step.no})
			}
		case control.Wake:
			at := c.base.Add(a.At - clockStart)
			if c.wakeAt.IsZero() || at.Before(c.wakeAt) {
				c.wakeAt = at
			}
		case control.Subscribe:
			c.watch()
		case control.Close:
			if d := c.dests[a.Endpoint]; d != nil {
				c.retire(d)
			}
		case control.Log:
			c.log.Debug("module", "says", a.Text)
		}
	}
	c.answer()
	var open map[uint32]*Attempt
	for _, s := range sends {
		d := c.dests[s.a.Endpoint]
		if !c.drainAt.IsZero() && now.Sub(c.drainAt) > c.lim.DrainSends {
			continue // left for the next start
		}
		if c.msgs[s.m.ref] == nil || d == nil { // not taken on after all: the module has its slot back
			c.in = append(c.in, control.Event{Kind: control.Resolved, ID: s.a.ID, Attempt: s.m.e.Attempts,
				Endpoint: s.a.Endpoint, Result: control.NotProcessed})
			continue
		}
		if c.exhausted(s.m, s.a) {
			continue
		}
		step := open[s.a.Endpoint]
		if step == nil || !c.joins(step, s.m) {
			c.lastStep++
			step = &Attempt{no: c.lastStep, To: *d, Timeout: s.a.For, sampleBytes: -1, at: now, cancel: func() {}}
			steps = append(steps, step)
			if open == nil {
				open = map[uint32]*Attempt{}
			}
			open[s.a.Endpoint] = step
		}
		c.jour.Schedule(s.m.e, now, d.Name)
		if s.m.e.Attempts > 1 {
			c.count(s.m.e.Class, s.m.e.Tenant, s.m.e.Destination, countRepeats)
		}
		c.log.Debug("route step", "id", s.m.e.ID, "class", s.m.e.Class, "attempt", s.m.e.Attempts-1, "destination", d.Name,
			"within", s.a.For)
		step.Timeout = min(step.Timeout, s.a.For)
		if k := &c.set.Classes[s.m.e.Class]; s.m.e.MayHaveRun && k.Effect == control.Keyed {
			if end := s.m.e.MayHaveRunAt.Add(k.Memory - c.lim.WindowMargin/2); step.WriteBefore.IsZero() || end.Before(step.WriteBefore) {
				step.WriteBefore = end
			}
		}
		step.Items = append(step.Items, Item{ID: s.m.e.ID, Key: s.m.e.Key, Class: s.m.e.Class, Body: s.m.e.Body,
			Headers: s.m.e.Headers, ref: s.m.ref, attempt: s.m.e.Attempts - 1})
		s.m.step = step
	}
	return steps
}

// joins tells whether m fits into the call that step already is: as in the module, sends of one turn to one
// destination share one. A call must also fit into one body, in Base64.
func (c *Core) joins(step *Attempt, m *message) bool {
	most := 1
	if k := slices.Index(c.set.KindNames, step.To.Kind); k >= 0 && k < len(c.set.Kinds) {
		most = c.set.Kinds[k].PerCall
	}
	size := 0
	for _, it := range append(step.Items, Item{ID: m.e.ID, Key: m.e.Key, Body: m.e.Body}) {
		size += 64 + 6*(len(it.ID)+len(it.Key)) + len(it.Body)*4/3
	}
	// One call has one set of headers.
	return len(step.Items) < most && size <= c.lim.BodySize && slices.Equal(step.Items[0].Headers, m.e.Headers)
}

// end gives a message its one final answer.
func (c *Core) end(m *message, a control.Action) {
	if m.reply != nil { // in the turn of its arrival: a plain answer will do, and nothing is taken on
		if m.busy = (&Reply{Verdict: Failed}); a.Kind == control.Refuse {
			m.busy = &Reply{Verdict: Busy, RetryAfter: a.For}
		}
		return
	}
	n := journal.Notice{HandedBack: a.Kind == control.Refuse, RetryAfter: a.For}
	c.owe(m, n)
	c.jour.EndWithNotice(m.e, n)
	if n.HandedBack {
		c.tell(m, "handed_back")
	} else {
		c.tell(m, "given_up")
	}
}

func (c *Core) owe(m *message, n journal.Notice) {
	c.owed++
	m.e.NoticePending, m.e.Notice = true, n
	m.front.owed = append(m.front.owed, m.notice())
}

// notice is what is owed of a message that has ended.
func (m *message) notice() Notice {
	n := Notice{ID: m.e.ID, Delivered: m.e.Notice.Delivered, HandedBack: m.e.Notice.HandedBack, RetryAfter: m.e.Notice.RetryAfter,
		Class: m.e.Class, Deadline: m.e.Deadline, Body: m.e.Body, ref: m.ref}
	if m.e.MayHaveRun {
		n.MayHaveRunAt = m.e.MayHaveRunAt
	}
	return n
}

// finish forgets a message that is over.
func (c *Core) finish(m *message, how string) {
	c.didFinish(m)
	c.drop(m)
	c.tell(m, how)
}

func (c *Core) tell(m *message, how string) {
	c.count(m.e.Class, m.e.Tenant, m.e.Destination, how)
	if c.spect != nil {
		c.tellers = append(c.tellers, func() {
			c.spect.OnEnd(m.front.name, End{m.e.ID, m.e.Key, m.e.Destination, m.e.Class, how})
		})
	}
}

// answer journals the messages that were taken on in this turn, and drops those that were not. Nothing is
// told to a client before the journal is written; see begin.
func (c *Core) answer() {
	for i, m := range c.arrived {
		if m.busy == nil {
			err := c.jour.Accept(m.e)
			if err == nil {
				continue
			} else if !errors.Is(err, journal.ErrFull) {
				c.log.Error("journal", "error", err)
			}
			c.input.Full = append(c.input.Full, i)
			m.busy = &Reply{Verdict: Busy, RetryAfter: c.lim.BusyRetry}
			c.in = append(c.in, control.Event{Kind: control.Withdrawn, ID: m.ref}) // the module learns of it next turn
		}
		c.drop(m)
	}
}

// begin writes the journal, and only then answers clients and lets calls go out.
func (c *Core) begin(now time.Time, steps []*Attempt) {
	err := c.jour.Flush()
	if err != nil {
		c.input.Failed = true
		c.log.Error("journal", "error", err)
	}
	for _, m := range c.arrived {
		what := countRefused
		if m.busy == nil && err == nil {
			what = countTaken
		}
		c.count(m.e.Class, m.e.Tenant, m.e.Destination, what)
		switch {
		case m.busy != nil:
			c.tellClient(m.reply, m.hand, *m.busy)
		case err != nil: // not on disk: not taken on
			c.tellClient(m.reply, m.hand, Reply{Verdict: Busy, RetryAfter: c.lim.BusyRetry})
			c.withdraw(m)
		default:
			c.tellClient(m.reply, m.hand, Reply{Verdict: Accepted, ref: m.ref})
		}
		m.reply = nil
	}
	c.arrived = c.arrived[:0]
	for _, s := range c.unstall(now) {
		c.call(s)
	}
	for _, s := range steps {
		c.out[s.no] = s
		if err != nil {
			moot := slices.Repeat([]Outcome{{Result: control.NotProcessed}}, len(s.Items))
			stepEnded{s, moot}.apply(c, now)
			continue
		}
		if !c.mayAct(now) {
			c.stall(s)
			continue
		}
		c.call(s)
	}
}

// call lets an attempt go out.
func (c *Core) call(s *Attempt) {
	c.bind(s)
	if c.spect != nil {
		for i := range s.Items {
			s.sampleBytes = max(s.sampleBytes, c.spect.SampleBytes(s.To.front.name, s.To.Partner, s.Items[i].Class))
		}
	}
	var all []*journal.Entry
	for i := range s.Items {
		if m := c.msgs[s.Items[i].ref]; m != nil {
			all = append(all, m.e)
		}
	}
	s.begin = func() bool { return c.jour.Begin(all) }
	c.didBegin(s)
	s.cancel = c.shell.Call(s.To.front.Front, s, s.at.Add(s.Timeout), func(outs []Outcome) {
		if s.sampled != nil { // an answer that came whole
			c.spect.OnAnswer(s.To.front.name, s, outs)
		}
		c.queue <- stepEnded{s, outs}
	})
}

// tellClient answers a client.
func (c *Core) tellClient(to chan<- Reply, hand uint64, r Reply) {
	to <- r
	c.did(capture.Action{Kind: capture.Replied, No: hand, For: r.RetryAfter, Verdict: uint8(r.Verdict)})
}

// retire closes the idle connections to a destination.
func (c *Core) retire(d *Destination) {
	d.front.Front.CloseIdle(d)
	c.did(capture.Action{Kind: capture.Retired, To: d.no})
}
