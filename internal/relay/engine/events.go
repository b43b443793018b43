package engine

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

type arrival struct {
	front  string
	msg    Message
	at     time.Time
	reply  chan Reply
	ruling Ruling
	under  uint64 // one more than the version of the policy under which plug-ins have seen it; 0: none has
}

// stale tells whether plug-ins have seen a message under another policy than is in force now: it is theirs to see again.
func (a *arrival) stale(c *Core) bool {
	return a.under != 0 && c.gov != nil && a.under != c.gov.Version+1
}

func (a arrival) apply(c *Core, now time.Time) {
	f, m := c.fronts[a.front], &a.msg
	// Past AnswerWithin the client is about to leave, and would hand it in again beside this one.
	c.handed++
	busy := Reply{Verdict: Busy, RetryAfter: c.lim.BusyRetry, halted: c.gov != nil && c.gov.Halted != 0 || a.stale(c)}
	// It is held already, or was until a moment ago: the relay owes it one end, not two, whatever else holds now.
	if v, again := c.before(a.front, m.ID); again {
		c.tellClient(a.reply, c.handed, Reply{Verdict: v, RetryAfter: c.lim.BusyRetry})
		return
	}
	if f == nil || !c.drainAt.IsZero() || now.Sub(a.at) > c.lim.AnswerWithin || !c.mayAct(now) || c.gov != nil && c.gov.Closed || a.stale(c) {
		c.count(m.Class, m.Tenant, m.Partner, countRefused)
		c.tellClient(a.reply, c.handed, busy)
		return
	}
	if a.ruling.Verdict != Accepted {
		c.tellClient(a.reply, c.handed, Reply{Verdict: a.ruling.Verdict, RetryAfter: c.lim.BusyRetry, Status: a.ruling.Status, Reason: a.ruling.Reason})
		return
	}
	if c.set.MaxOpen > 0 && len(c.msgs)-c.owed >= c.set.MaxOpen || !c.serves(f, m.Partner) || c.shut(m.Partner) {
		c.count(m.Class, m.Tenant, m.Partner, countRefused)
		c.tellClient(a.reply, c.handed, busy)
		return
	}
	msg := c.add(f, &journal.Entry{ID: m.ID, Key: m.Key, Front: a.front, Destination: m.Partner, Class: m.Class,
		Tenant: m.Tenant, Deadline: m.Deadline, Resubmitted: m.Resubmitted, Body: bytes.Clone(m.Body), Headers: m.ExtraHeaders, MayHaveRun: !m.MayHaveRunAt.IsZero(), MayHaveRunAt: m.MayHaveRunAt})
	c.mark(msg.e)
	msg.reply, msg.hand = a.reply, c.handed
	c.arrived = append(c.arrived, msg)
	c.in = append(c.in, c.arrival(msg))
}

type withdrawn struct{ ref uint64 }

func (w withdrawn) apply(c *Core, now time.Time) {
	m := c.msgs[w.ref]
	if m == nil || m.e.NoticePending {
		return
	}
	if v, ok := c.afterWithdrawal(m.e); ok {
		c.remember(m, v, now)
	}
	c.withdraw(m)
}

// withdraw forgets a message whose client does not count on it, and calls off what is out.
func (c *Core) withdraw(m *message) {
	c.in = append(c.in, control.Event{Kind: control.Withdrawn, ID: m.ref})
	c.jour.End(m.e)
	if s := m.step; s != nil && len(s.Items) == 1 { // the module can't: the message is no longer there when it decides
		if s.recall(); c.set.Cancel {
			s.cancel()
		}
		c.did(capture.Action{Kind: capture.Called, No: s.no})
	}
	c.finish(m, "withdrawn")
}

// DiscoveryMoved tells that a front's discovery stands somewhere else now: its watch and its notices go there at once.
func (c *Core) DiscoveryMoved(front string) { c.queue <- moved{front} }

type moved struct{ front string }

func (v moved) apply(c *Core, now time.Time) {
	f := c.fronts[v.front]
	if f == nil {
		return
	}
	if f.unwatch != nil {
		f.unwatch()
		f.unwatch = nil // what it still reports of its end is out of date
	}
	c.watchAt = now
	c.note(now, "discovery of "+v.front+" has moved")
	if f.unsend != nil {
		f.unsend() // comes back as not taken
		f.away = true
	}
	f.retryAt, f.gap = now, 0
}

type drain struct{}

func (drain) apply(c *Core, now time.Time) {
	if !c.drainAt.IsZero() {
		return
	}
	c.drainAt = now
	c.note(now, "the relay drains")
}

type stop struct{}

func (stop) apply(c *Core, _ time.Time) { c.stopped = true }

type stepEnded struct {
	step     *Attempt
	outcomes []Outcome
}

func (s stepEnded) apply(c *Core, now time.Time) {
	s.step.cancel()
	delete(c.out, s.step.no)
	for i, it := range s.step.Items {
		o := s.outcomes[i]
		m := c.msgs[it.ref]
		c.log.Debug("route step ended", "id", it.ID, "attempt", it.attempt, "destination", s.step.To.Name,
			"result", o.Result, "wait", o.RetryAfter, "over", o.Final,
			"share", o.Share, "limit", o.Limit)
		if m != nil && m.step == s.step {
			m.step = nil
		}
		c.in = append(c.in, control.Event{Kind: control.Resolved, ID: it.ref, Attempt: it.attempt,
			Endpoint: s.step.To.no, Result: o.Result, Final: o.Final, RetryAfter: o.RetryAfter,
			Reported: o.Reported, Remaining: o.Share, Limit: o.Limit})
		switch {
		case m == nil || m.e.NoticePending: // ended before
		case o.Result == control.Delivered && m.front.Front.NotifiesDeliveries():
			c.owe(m, journal.Notice{Delivered: true})
			c.jour.EndWithNotice(m.e, m.e.Notice)
			c.tell(m, "delivered")
		case o.Result == control.Delivered || o.Final:
			c.jour.End(m.e)
			c.remember(m, Accepted, now)
			c.finish(m, "delivered")
		default:
			c.jour.EndAttempt(m.e, o.Result.NeverRan())
		}
	}
}

// listChanged is what a watch tells of the endpoint list; no is that watch's, 0 that of none.
type listChanged struct {
	front *frontState
	no    int
	EndpointList
}

func (p listChanged) apply(c *Core, now time.Time) {
	// What a watch tells after one that was begun later has spoken is older, also where it is a whole list; until then it counts:
	// the relay has been told. A change of an older version adds nothing to what is known.
	if p.no < p.front.toldBy || !p.Complete && p.Index < p.front.index {
		return
	}
	p.front.index, p.front.toldBy = p.Index, p.no
	ev := control.Event{Kind: control.Listed, Complete: p.Complete}
	if p.Complete {
		for _, n := range p.front.list { // unless it is named again below
			if d := c.dests[n]; d.goneAt.IsZero() {
				d.goneAt = now
			}
		}
		p.front.list = map[string]uint32{}
		for _, f := range c.order { // a whole list is one front's; the others' stand
			for _, n := range slices.Sorted(maps.Values(f.list)) { // the module learns them in this order
				ev.Endpoints = append(ev.Endpoints, c.listed(n, c.dests[n]))
			}
		}
	}
	for _, d := range p.Destinations {
		n := c.number(p.front, d.Name)
		d.front, d.no = p.front, n
		if d.State == control.Removed {
			d.goneAt = now
		}
		if d.State != control.Ready { // it gets nothing new, and another may come to stand at its address
			c.retire(&d)
		}
		c.dests[n], p.front.list[d.Name] = &d, n
		ev.Endpoints = append(ev.Endpoints, c.listed(n, &d))
	}
	c.in = append(c.in, ev)
}

func (c *Core) listed(n uint32, d *Destination) control.Endpoint {
	state := d.State
	if state == control.Ready && c.shut(d.Partner) {
		state = control.Draining // it gets nothing new
	}
	return control.Endpoint{ID: n, Zone: slices.Index(c.set.Zones, d.Zone), Kind: slices.Index(c.set.KindNames, d.Kind),
		Destination: d.front.no<<20 + d.Partner, State: state, Weight: c.set.Weight(d.Weight), MaxRate: c.gov.MostTo(d.Partner)}
}

type watchEnded struct {
	front *frontState
	no    int
	err   error
}

func (w watchEnded) apply(c *Core, now time.Time) {
	if w.no != w.front.watchNo || w.front.unwatch == nil {
		return // it was ended here, for another
	}
	w.front.unwatch()
	w.front.unwatch = nil
	c.log.Info("the endpoint list's watch is lost", "error", w.err)
	told := w.front.toldBy == w.no // it had come up: discovery may be there
	switch {
	case told && errors.Is(w.err, ErrWatchTimeout):
		// Discovery is there and all watches have fallen silent together: what they miss counts as told soon, so each opens its
		// own anew by itself, in a moment of its own.
		c.watchAt = now.Add(c.lim.WatchSpread * time.Duration(c.set.Index) / time.Duration(max(c.set.Peers, 1)))
	case c.set.MustSubscribe:
		c.in = append(c.in, control.Event{Kind: control.ListFailed}) // the module says when to ask again
	case told:
		c.watchAt = now // what the agent has counts as told at once
	default:
		c.watchAt = now.Add(c.lim.WatchRetry)
	}
}

type notified struct {
	front *frontState
	taken []bool
}

func (n notified) apply(c *Core, now time.Time) {
	sent, moved := n.front.sending, n.front.away // then the next goes elsewhere, and at once
	n.front.unsend()
	n.front.unsend, n.front.sending, n.front.away = nil, nil, false
	if moved || !slices.Contains(n.taken, false) {
		n.front.gap = 0
	} else { // twice as long each time in a row
		n.front.gap = min(max(2*n.front.gap, c.lim.NoticeRetry), c.lim.NoticeRetryMost)
		n.front.retryAt = now.Add(n.front.gap)
	}
	for i, notice := range sent {
		if m := c.msgs[notice.ref]; !n.taken[i] {
			n.front.owed = append(n.front.owed, notice)
		} else if m != nil {
			c.owed--
			c.jour.Ack(m.e)
			c.remember(m, as(m.e.Notice), now)
			c.drop(m)
			c.didFinish(m)
		}
	}
}
