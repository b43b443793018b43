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

// DiscoveryMoved tells that a front's discovery stands somewhere else now: its watch and its notices go there at once.
func (c *Core) DiscoveryMoved(front string) { c.queue <- moved{front} }

type moved struct{ front string }

func (v moved) apply(c *Core, now time.Time) {
	f := c.fronts[v.front]
	if f == nil {
		return
	}
	if f.stopWatch != nil {
		f.stopWatch()
		f.stopWatch = nil // what it still reports of its end is out of date
	}
	c.watchAt = now
	c.recordNote(now, "discovery of "+v.front+" has moved")
	if f.cancelNotify != nil {
		f.cancelNotify() // comes back as not taken
		f.movedMeanwhile = true
	}
	f.retryAt, f.backoff = now, 0
}

type drain struct{}

func (drain) apply(c *Core, now time.Time) {
	if !c.drainAt.IsZero() {
		return
	}
	c.drainAt = now
	c.recordNote(now, "the relay drains")
}

type stop struct{}

func (stop) apply(c *Core, _ time.Time) { c.stopped = true }

type attemptEnded struct {
	attempt  *Attempt
	outcomes []Outcome
}

func (s attemptEnded) apply(c *Core, now time.Time) {
	s.attempt.cancel()
	delete(c.inFlight, s.attempt.number)
	for i, it := range s.attempt.Items {
		o := s.outcomes[i]
		m := c.messages[it.ref]
		c.log.Debug("route step ended", "id", it.ID, "attempt", it.attempt, "destination", s.attempt.To.Name,
			"result", o.Result, "wait", o.RetryAfter, "over", o.Final,
			"share", o.Share, "limit", o.Limit)
		if m != nil && m.attempt == s.attempt {
			m.attempt = nil
		}
		c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Resolved, ID: it.ref, Attempt: it.attempt,
			Endpoint: s.attempt.To.number, Result: o.Result, Final: o.Final, RetryAfter: o.RetryAfter,
			Reported: o.Reported, Remaining: o.Share, Limit: o.Limit})
		switch {
		case m == nil || m.entry.NoticePending: // ended before
		case o.Result == control.Delivered && m.front.Front.NotifiesDeliveries():
			c.addOutstanding(m, journal.Notice{Delivered: true})
			c.journal.EndWithNotice(m.entry, m.entry.Notice)
			c.notifyEnd(m, "delivered")
		case o.Result == control.Delivered || o.Final:
			c.journal.End(m.entry)
			c.remember(m, Accepted, now)
			c.finish(m, "delivered")
		default:
			c.journal.EndAttempt(m.entry, o.Result.NeverRan())
		}
	}
}

// listChanged is what a watch tells of the endpoint list; no is that watch's, 0 that of none.
type listChanged struct {
	front *frontState
	watch int
	EndpointList
}

func (p listChanged) apply(c *Core, now time.Time) {
	// What a watch tells after one that was begun later has spoken is older, also where it is a whole list; until then it counts:
	// the relay has been told. A change of an older version adds nothing to what is known.
	if p.watch < p.front.listReportedBy || !p.Complete && p.Index < p.front.listIndex {
		return
	}
	p.front.listIndex, p.front.listReportedBy = p.Index, p.watch
	ev := control.Event{Kind: control.Listed, Complete: p.Complete}
	if p.Complete {
		for _, n := range p.front.listed { // unless it is named again below
			if d := c.destinations[n]; d.removedAt.IsZero() {
				d.removedAt = now
			}
		}
		p.front.listed = map[string]uint32{}
		for _, f := range c.frontsInOrder { // a whole list is one front's; the others' stand
			for _, n := range slices.Sorted(maps.Values(f.listed)) { // the module learns them in this order
				ev.Endpoints = append(ev.Endpoints, c.moduleEndpoint(n, c.destinations[n]))
			}
		}
	}
	for _, d := range p.Destinations {
		n := c.destinationNumber(p.front, d.Name)
		d.front, d.number = p.front, n
		if d.State == control.Removed {
			d.removedAt = now
		}
		if d.State != control.Ready { // it gets nothing new, and another may come to stand at its address
			c.closeIdle(&d)
		}
		c.destinations[n], p.front.listed[d.Name] = &d, n
		ev.Endpoints = append(ev.Endpoints, c.moduleEndpoint(n, &d))
	}
	c.moduleEvents = append(c.moduleEvents, ev)
}

func (c *Core) moduleEndpoint(n uint32, d *Destination) control.Endpoint {
	state := d.State
	if state == control.Ready && c.isShut(d.Partner) {
		state = control.Draining // it gets nothing new
	}
	return control.Endpoint{ID: n, Zone: slices.Index(c.settings.Zones, d.Zone), Kind: slices.Index(c.settings.KindNames, d.Kind),
		Destination: d.front.number<<20 + d.Partner, State: state, Weight: c.settings.Weight(d.Weight), MaxRate: c.governor.MostTo(d.Partner)}
}

type watchEnded struct {
	front *frontState
	watch int
	err   error
}

func (w watchEnded) apply(c *Core, now time.Time) {
	if w.watch != w.front.lastWatch || w.front.stopWatch == nil {
		return // it was ended here, for another
	}
	w.front.stopWatch()
	w.front.stopWatch = nil
	c.log.Info("the endpoint list's watch is lost", "error", w.err)
	told := w.front.listReportedBy == w.watch // it had come up: discovery may be there
	switch {
	case told && errors.Is(w.err, ErrWatchTimeout):
		// Discovery is there and all watches have fallen silent together: what they miss counts as told soon, so each opens its
		// own anew by itself, in a moment of its own.
		c.watchAt = now.Add(c.limits.WatchSpread * time.Duration(c.settings.Index) / time.Duration(max(c.settings.Peers, 1)))
	case c.settings.MustSubscribe:
		c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.ListFailed}) // the module says when to ask again
	case told:
		c.watchAt = now // what the agent has counts as told at once
	default:
		c.watchAt = now.Add(c.limits.WatchRetry)
	}
}

type notified struct {
	front    *frontState
	accepted []bool
}

func (n notified) apply(c *Core, now time.Time) {
	sent, moved := n.front.sending, n.front.movedMeanwhile // then the next goes elsewhere, and at once
	n.front.cancelNotify()
	n.front.cancelNotify, n.front.sending, n.front.movedMeanwhile = nil, nil, false
	if moved || !slices.Contains(n.accepted, false) {
		n.front.backoff = 0
	} else { // twice as long each time in a row
		n.front.backoff = min(max(2*n.front.backoff, c.limits.NoticeRetry), c.limits.NoticeRetryMax)
		n.front.retryAt = now.Add(n.front.backoff)
	}
	for i, notice := range sent {
		if m := c.messages[notice.ref]; !n.accepted[i] {
			n.front.outstanding = append(n.front.outstanding, notice)
		} else if m != nil {
			c.outstanding--
			c.journal.Ack(m.entry)
			c.remember(m, verdictOf(m.entry.Notice), now)
			c.drop(m)
			c.recordFinish(m)
		}
	}
}
