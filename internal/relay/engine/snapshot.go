package engine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// state is the core's state as plain data, between two turns.
func (c *Core) state() *capture.Core {
	x := &capture.Core{Events: slices.Clone(c.moduleEvents), LastDestination: c.lastDestination, LastRef: c.lastRef, LastAttempt: c.lastAttempt, Submitted: c.submitted,
		WakeAt: c.stamp(c.wakeAt), WatchAt: c.stamp(c.watchAt), DrainAt: c.stamp(c.drainAt), LastHousekeeping: c.stamp(c.lastHousekeeping), Mandate: c.governor, Ended: c.endings.state(c)}
	for _, f := range c.frontsInOrder {
		x.Fronts = append(x.Fronts, capture.FrontState{Name: f.name, NotifiesDeliveries: f.Front.NotifiesDeliveries(), List: slices.Sorted(maps.Values(f.listed)),
			Index: f.listIndex, LastWatch: f.lastWatch, ListReportedBy: f.listReportedBy, Watching: f.stopWatch != nil, Outstanding: refs(f.outstanding), Sending: refs(f.sending),
			Calling: f.cancelNotify != nil, MovedMeanwhile: f.movedMeanwhile, RetryAt: c.stamp(f.retryAt), Backoff: f.backoff})
	}
	for _, n := range slices.Sorted(maps.Keys(c.destinations)) {
		d := c.destinations[n]
		x.Destinations = append(x.Destinations, capture.DestinationState{Number: n, Front: d.front.number, Name: d.Name, Zone: d.Zone, Kind: d.Kind, Partner: d.Partner,
			State: d.State, Weight: d.Weight, RemovedAt: c.stamp(d.removedAt)})
	}
	for _, f := range c.frontsInOrder {
		for key, n := range c.destinationNumbers {
			if name, ok := strings.CutPrefix(key, f.name+" "); ok {
				x.Numbers = append(x.Numbers, capture.Name{Number: n, Front: f.name, Name: name})
			}
		}
	}
	slices.SortFunc(x.Numbers, func(a, b capture.Name) int { return cmp.Compare(a.Number, b.Number) })
	for _, ref := range slices.Sorted(maps.Keys(c.messages)) {
		m := c.messages[ref]
		e := m.entry
		h := capture.MessageState{Ref: ref, Front: m.front.number, ID: e.ID, KeySize: len(e.Key), Partner: e.Destination, Class: e.Class, Tenant: e.Tenant,
			Deadline: e.Deadline.Sub(c.startedAt) + clockStart, Resubmitted: e.Resubmitted, Size: len(e.Body), Headers: hashHeaders(e.Headers), Attempts: e.Attempts, PolicyVersion: e.PolicyVersion, MaxAttempts: e.MaxAttempts,
			InFlight: e.InFlight, MayHaveRun: e.MayHaveRun, MayHaveRunAt: c.stamp(e.MayHaveRunAt), MayHaveRunOn: e.MayHaveRunOn, LastAttemptAt: c.stamp(e.LastAttemptAt), LastAttemptOn: e.LastAttemptOn,
			NoticePending: e.NoticePending, Delivered: e.Notice.Delivered, HandedBack: e.Notice.HandedBack, RetryAfter: e.Notice.RetryAfter}
		if m.attempt != nil {
			h.Attempt = m.attempt.number
		}
		x.Messages = append(x.Messages, h)
	}
	for _, no := range slices.Sorted(maps.Keys(c.inFlight)) {
		s := capture.AttemptState{Number: no, To: c.inFlight[no].To.number}
		if i := slices.Index(c.awaitingLease, c.inFlight[no]); i >= 0 {
			s.QueuePosition, s.ScheduledAt, s.Timeout = i+1, c.stamp(c.awaitingLease[i].scheduledAt), c.awaitingLease[i].Timeout
			s.WriteBefore, s.StartAfter = c.stamp(c.awaitingLease[i].WriteBefore), c.stamp(c.awaitingLease[i].startAfter)
			s.Canceled = c.awaitingLease[i].progress.Load() == attemptRecalled
		}
		for _, it := range c.inFlight[no].Items {
			s.Refs, s.Attempts = append(s.Refs, it.ref), append(s.Attempts, it.attempt)
		}
		x.Attempts = append(x.Attempts, s)
	}
	return x
}

// stamp is a time on the module's clock, which never stands at 0; the zero time is 0.
func (c *Core) stamp(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	if d := t.Sub(c.startedAt) + clockStart; d != 0 {
		return d
	}
	return 1
}

// at is the time of a stamp.
func (c *Core) timeOf(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return c.startedAt.Add(d - clockStart)
}

// restoreState puts a new core into a state. Fronts are made by their names; the calls that are out are the shell's to know.
func (c *Core) restoreState(x *capture.Core, front func(capture.FrontState) Front) {
	c.moduleEvents = slices.Clone(x.Events)
	c.lastDestination, c.lastRef, c.lastAttempt, c.submitted = x.LastDestination, x.LastRef, x.LastAttempt, x.Submitted
	c.wakeAt, c.watchAt, c.drainAt, c.lastHousekeeping = c.timeOf(x.WakeAt), c.timeOf(x.WatchAt), c.timeOf(x.DrainAt), c.timeOf(x.LastHousekeeping)
	for _, s := range x.Fronts {
		f := &frontState{name: s.Name, number: len(c.frontsInOrder), Front: front(s), listed: map[string]uint32{}, listIndex: s.Index, lastWatch: s.LastWatch, listReportedBy: s.ListReportedBy,
			movedMeanwhile: s.MovedMeanwhile, retryAt: c.timeOf(s.RetryAt), backoff: s.Backoff}
		if s.Watching {
			f.stopWatch = func() {}
		}
		if s.Calling {
			f.cancelNotify = func() {}
		}
		c.fronts[s.Name] = f
		c.frontsInOrder = append(c.frontsInOrder, f)
	}
	for _, n := range x.Numbers {
		c.destinationNumbers[n.Front+" "+n.Name] = n.Number
	}
	for _, s := range x.Destinations {
		c.destinations[s.Number] = &Destination{Name: s.Name, Zone: s.Zone, Kind: s.Kind, Partner: s.Partner, State: s.State, Weight: s.Weight,
			front: c.frontsInOrder[s.Front], number: s.Number, removedAt: c.timeOf(s.RemovedAt)}
	}
	for i, s := range x.Fronts {
		for _, n := range s.List {
			c.frontsInOrder[i].listed[c.destinations[n].Name] = n
		}
	}
	var waits []capture.AttemptState // until the relay may act
	for _, s := range x.Attempts {
		attempt := &Attempt{number: s.Number, sampleBytes: -1, cancel: func() {}}
		if d := c.destinations[s.To]; d != nil {
			attempt.To = *d
		} else {
			attempt.To.number = s.To
		}
		for i, ref := range s.Refs {
			attempt.Items = append(attempt.Items, Item{ref: ref, attempt: s.Attempts[i]})
		}
		c.inFlight[s.Number] = attempt
		if s.QueuePosition > 0 {
			attempt.scheduledAt, attempt.Timeout, attempt.WriteBefore, attempt.startAfter = c.timeOf(s.ScheduledAt), s.Timeout, c.timeOf(s.WriteBefore), c.timeOf(s.StartAfter)
			if s.Canceled {
				attempt.progress.Store(attemptRecalled)
			}
			waits = append(waits, s)
		}
	}
	slices.SortFunc(waits, func(a, b capture.AttemptState) int { return cmp.Compare(a.QueuePosition, b.QueuePosition) })
	for _, s := range waits {
		c.awaitLease(c.inFlight[s.Number])
	}
	c.governor = x.Mandate
	for _, e := range x.Ended {
		c.endings.add(e.Key, Verdict(e.Verdict), c.timeOf(e.At))
	}
	for _, h := range x.Messages {
		e := &journal.Entry{ID: h.ID, Key: blankText(h.KeySize), Front: c.frontsInOrder[h.Front].name, Destination: h.Partner, Class: h.Class, Tenant: h.Tenant,
			Deadline: c.timeOf(h.Deadline), Resubmitted: h.Resubmitted, Body: []byte(blankText(h.Size)), Headers: headersOfHash(h.Headers), Attempts: h.Attempts, PolicyVersion: h.PolicyVersion, MaxAttempts: h.MaxAttempts, InFlight: h.InFlight,
			MayHaveRun: h.MayHaveRun, MayHaveRunAt: c.timeOf(h.MayHaveRunAt), MayHaveRunOn: h.MayHaveRunOn, LastAttemptAt: c.timeOf(h.LastAttemptAt), LastAttemptOn: h.LastAttemptOn,
			NoticePending: h.NoticePending, Notice: journal.Notice{Delivered: h.Delivered, HandedBack: h.HandedBack, RetryAfter: h.RetryAfter}}
		m := &message{ref: h.Ref, front: c.frontsInOrder[h.Front], entry: e, attempt: c.inFlight[h.Attempt]}
		c.messages[m.ref], c.messagesByID[m.front.name+" "+e.ID] = m, m
	}
	for i, s := range x.Fronts {
		for _, ref := range s.Outstanding {
			c.frontsInOrder[i].outstanding = append(c.frontsInOrder[i].outstanding, c.notice(ref))
		}
		for _, ref := range s.Sending {
			c.frontsInOrder[i].sending = append(c.frontsInOrder[i].sending, c.notice(ref))
		}
		c.outstanding += len(s.Outstanding) + len(s.Sending)
	}
	c.ready.Store(c.drainAt.IsZero())
}

func (c *Core) notice(ref uint64) Notice {
	if m := c.messages[ref]; m != nil {
		return m.notice()
	}
	return Notice{ref: ref}
}
