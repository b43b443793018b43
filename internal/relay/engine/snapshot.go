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

// state returns the core's state between two turns as plain data. Lists are sorted by number, so that two cores in the same state encode to
// the same bytes.
func (c *Core) state() *capture.Core {
	state := &capture.Core{Events: slices.Clone(c.moduleEvents), LastDestination: c.lastDestination, LastRef: c.lastRef, LastAttempt: c.lastAttempt,
		Submitted: c.submitted, WakeAt: c.moduleTimeOrZero(c.wakeAt), WatchAt: c.moduleTimeOrZero(c.watchAt), DrainAt: c.moduleTimeOrZero(c.drainAt),
		LastHousekeeping: c.moduleTimeOrZero(c.lastHousekeeping), Mandate: c.mandate, Ended: c.ended.state(c)}
	for _, f := range c.frontsInOrder {
		state.Fronts = append(state.Fronts, c.frontSnapshot(f))
	}
	for _, number := range slices.Sorted(maps.Keys(c.destinations)) {
		d := c.destinations[number]
		state.Destinations = append(state.Destinations, capture.DestinationState{Number: number, Front: d.front.number, Name: d.Name,
			Zone: d.Zone, Kind: d.Kind, Partner: d.Partner, State: d.State, Weight: d.Weight, RemovedAt: c.moduleTimeOrZero(d.removedAt)})
	}
	for _, f := range c.frontsInOrder {
		for key, number := range c.destinationNumbers {
			if name, ok := strings.CutPrefix(key, f.name+" "); ok {
				state.Numbers = append(state.Numbers, capture.Name{Number: number, Front: f.name, Name: name})
			}
		}
	}
	slices.SortFunc(state.Numbers, func(a, b capture.Name) int { return cmp.Compare(a.Number, b.Number) })
	for _, ref := range slices.Sorted(maps.Keys(c.messages)) {
		state.Messages = append(state.Messages, c.messageSnapshot(c.messages[ref]))
	}
	for _, number := range c.inFlightNumbers() {
		state.Attempts = append(state.Attempts, c.attemptSnapshot(c.inFlight[number]))
	}
	return state
}

// frontSnapshot returns a front's state; restoreFronts is its reverse.
func (c *Core) frontSnapshot(f *frontState) capture.FrontState {
	return capture.FrontState{Name: f.name, NotifiesDeliveries: f.Front.NotifiesDeliveries(), List: slices.Sorted(maps.Values(f.listed)),
		Index: f.listIndex, LastWatch: f.lastWatch, ListReportedBy: f.listReportedBy, Watching: f.stopWatch != nil,
		Outstanding: noticeRefs(f.outstanding), Sending: noticeRefs(f.sending), Calling: f.cancelNotify != nil, MovedMeanwhile: f.movedDuringNotify,
		RetryAt: c.moduleTimeOrZero(f.retryAt), Backoff: f.backoff}
}

// messageSnapshot returns a message's state, with only the lengths of key and body; restoreMessage is its reverse.
func (c *Core) messageSnapshot(m *message) capture.MessageState {
	e := m.entry
	state := capture.MessageState{Ref: m.ref, Front: m.front.number, ID: e.ID, KeySize: len(e.Key), Partner: e.Destination, Class: e.Class,
		Tenant: e.Tenant, Deadline: e.Deadline.Sub(c.startedAt) + clockStart, Resubmitted: e.Resubmitted, Size: len(e.Body),
		Headers: hashHeaders(e.Headers), Attempts: e.Attempts, PolicyVersion: e.PolicyVersion, MaxAttempts: e.MaxAttempts, InFlight: e.InFlight,
		MayHaveRun: e.MayHaveRun, MayHaveRunAt: c.moduleTimeOrZero(e.MayHaveRunAt), MayHaveRunOn: e.MayHaveRunOn,
		LastAttemptAt: c.moduleTimeOrZero(e.LastAttemptAt), LastAttemptOn: e.LastAttemptOn,
		NoticePending: e.NoticePending, Delivered: e.Notice.Delivered, HandedBack: e.Notice.HandedBack, RetryAfter: e.Notice.RetryAfter}
	if m.attempt != nil {
		state.Attempt = m.attempt.number
	}
	return state
}

// attemptSnapshot returns the state of an attempt in flight or waiting for a lease; restoreAttempts is its reverse.
func (c *Core) attemptSnapshot(attempt *Attempt) capture.AttemptState {
	state := capture.AttemptState{Number: attempt.number, To: attempt.To.number}
	if position := slices.Index(c.awaitingLease, attempt); position >= 0 {
		state.QueuePosition, state.ScheduledAt, state.Timeout = position+1, c.moduleTimeOrZero(attempt.scheduledAt), attempt.Timeout
		state.WriteBefore, state.StartAfter = c.moduleTimeOrZero(attempt.WriteBefore), c.moduleTimeOrZero(attempt.startAfter)
		state.Canceled = attempt.progress.Load() == attemptRecalled
	}
	for _, item := range attempt.Items {
		state.Refs, state.Attempts = append(state.Refs, item.ref), append(state.Attempts, item.attempt)
	}
	return state
}

// moduleTimeOrZero returns t on the module's clock: 0 for the zero time, and never 0 for another.
func (c *Core) moduleTimeOrZero(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	if d := t.Sub(c.startedAt) + clockStart; d != 0 {
		return d
	}
	return 1
}

// fromModuleTime is the reverse of moduleTimeOrZero.
func (c *Core) fromModuleTime(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return c.startedAt.Add(d - clockStart)
}

// restoreState sets a new core's state; front creates its fronts. Calls in flight are not passed to the shell. Whatever refers to something
// else is restored after it: destinations after fronts, attempts after destinations, messages after attempts, notices last.
func (c *Core) restoreState(state *capture.Core, front func(capture.FrontState) Front) {
	c.moduleEvents = slices.Clone(state.Events)
	c.lastDestination, c.lastRef, c.lastAttempt, c.submitted = state.LastDestination, state.LastRef, state.LastAttempt, state.Submitted
	c.wakeAt, c.watchAt, c.drainAt = c.fromModuleTime(state.WakeAt), c.fromModuleTime(state.WatchAt), c.fromModuleTime(state.DrainAt)
	c.lastHousekeeping = c.fromModuleTime(state.LastHousekeeping)
	c.restoreFronts(state.Fronts, front)
	c.restoreDestinations(state)
	c.restoreAttempts(state.Attempts)
	c.mandate = state.Mandate
	for _, e := range state.Ended {
		c.ended.add(e.Key, Verdict(e.Verdict), c.fromModuleTime(e.At))
	}
	for i := range state.Messages {
		c.restoreMessage(&state.Messages[i])
	}
	for i, s := range state.Fronts {
		f := c.frontsInOrder[i]
		for _, ref := range s.Outstanding {
			f.outstanding = append(f.outstanding, c.notice(ref))
		}
		for _, ref := range s.Sending {
			f.sending = append(f.sending, c.notice(ref))
		}
		c.outstanding += len(s.Outstanding) + len(s.Sending)
	}
	c.ready.Store(c.drainAt.IsZero())
}

// restoreFronts adds the fronts of a state without their notices, which need the messages.
func (c *Core) restoreFronts(states []capture.FrontState, front func(capture.FrontState) Front) {
	for _, s := range states {
		f := &frontState{name: s.Name, number: len(c.frontsInOrder), Front: front(s), listed: map[string]uint32{}, listIndex: s.Index,
			lastWatch: s.LastWatch, listReportedBy: s.ListReportedBy, movedDuringNotify: s.MovedMeanwhile, retryAt: c.fromModuleTime(s.RetryAt),
			backoff: s.Backoff}
		if s.Watching {
			f.stopWatch = func() {}
		}
		if s.Calling {
			f.cancelNotify = func() {}
		}
		c.fronts[s.Name] = f
		c.frontsInOrder = append(c.frontsInOrder, f)
	}
}

// restoreDestinations adds the destinations of a state, their numbers and the fronts' lists.
func (c *Core) restoreDestinations(state *capture.Core) {
	for _, n := range state.Numbers {
		c.destinationNumbers[n.Front+" "+n.Name] = n.Number
	}
	for _, s := range state.Destinations {
		c.destinations[s.Number] = &Destination{Name: s.Name, Zone: s.Zone, Kind: s.Kind, Partner: s.Partner, State: s.State, Weight: s.Weight,
			front: c.frontsInOrder[s.Front], number: s.Number, removedAt: c.fromModuleTime(s.RemovedAt)}
	}
	for i, s := range state.Fronts {
		for _, number := range s.List {
			c.frontsInOrder[i].listed[c.destinations[number].Name] = number
		}
	}
}

// restoreAttempts adds the attempts in flight, and queues those that wait for a lease in their order.
func (c *Core) restoreAttempts(states []capture.AttemptState) {
	var waiting []capture.AttemptState // attempts that wait until the relay may act
	for _, s := range states {
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
			attempt.scheduledAt, attempt.Timeout = c.fromModuleTime(s.ScheduledAt), s.Timeout
			attempt.WriteBefore, attempt.startAfter = c.fromModuleTime(s.WriteBefore), c.fromModuleTime(s.StartAfter)
			if s.Canceled {
				attempt.progress.Store(attemptRecalled)
			}
			waiting = append(waiting, s)
		}
	}
	slices.SortFunc(waiting, func(a, b capture.AttemptState) int { return cmp.Compare(a.QueuePosition, b.QueuePosition) })
	for _, s := range waiting {
		c.awaitLease(c.inFlight[s.Number])
	}
}

// restoreMessage adds a message, with blank key and body.
func (c *Core) restoreMessage(s *capture.MessageState) {
	front := c.frontsInOrder[s.Front]
	e := &journal.Entry{ID: s.ID, Key: blankText(s.KeySize), Front: front.name, Destination: s.Partner, Class: s.Class, Tenant: s.Tenant,
		Deadline: c.fromModuleTime(s.Deadline), Resubmitted: s.Resubmitted, Body: []byte(blankText(s.Size)), Headers: headersOfHash(s.Headers),
		Attempts: s.Attempts, PolicyVersion: s.PolicyVersion, MaxAttempts: s.MaxAttempts, InFlight: s.InFlight,
		MayHaveRun: s.MayHaveRun, MayHaveRunAt: c.fromModuleTime(s.MayHaveRunAt), MayHaveRunOn: s.MayHaveRunOn,
		LastAttemptAt: c.fromModuleTime(s.LastAttemptAt), LastAttemptOn: s.LastAttemptOn,
		NoticePending: s.NoticePending, Notice: journal.Notice{Delivered: s.Delivered, HandedBack: s.HandedBack, RetryAfter: s.RetryAfter}}
	m := &message{ref: s.Ref, front: front, entry: e, attempt: c.inFlight[s.Attempt]}
	c.messages[m.ref], c.messagesByID[front.name+" "+e.ID] = m, m
}

// notice returns the notice of a message in a restored state. If the message is no longer known, the notice has only its number.
func (c *Core) notice(ref uint64) Notice {
	if m := c.messages[ref]; m != nil {
		return m.notice()
	}
	return Notice{ref: ref}
}
