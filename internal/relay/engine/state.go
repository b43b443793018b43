package engine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// state is the core's state as plain data, between two turns.
func (c *Core) state() *capture.Core {
	x := &capture.Core{Events: slices.Clone(c.in), LastNo: c.lastNo, LastRef: c.lastRef, LastStep: c.lastStep, Handed: c.handed,
		WakeAt: c.stamp(c.wakeAt), WatchAt: c.stamp(c.watchAt), DrainAt: c.stamp(c.drainAt), HouseAt: c.stamp(c.houseAt), Stand: c.gov, Ended: c.ended.state(c)}
	for _, f := range c.order {
		x.Fronts = append(x.Fronts, capture.FrontState{Name: f.name, Tells: f.Front.NotifiesDeliveries(), List: slices.Sorted(maps.Values(f.list)),
			Index: f.index, WatchNo: f.watchNo, ToldBy: f.toldBy, Watching: f.unwatch != nil, Owed: refs(f.owed), Sending: refs(f.sending),
			Calling: f.unsend != nil, Away: f.away, RetryAt: c.stamp(f.retryAt), Gap: f.gap})
	}
	for _, n := range slices.Sorted(maps.Keys(c.dests)) {
		d := c.dests[n]
		x.Dests = append(x.Dests, capture.DestState{No: n, Front: d.front.no, Name: d.Name, Zone: d.Zone, Kind: d.Kind, Partner: d.Partner,
			State: d.State, Weight: d.Weight, GoneAt: c.stamp(d.goneAt)})
	}
	for _, f := range c.order {
		for key, n := range c.names {
			if name, ok := strings.CutPrefix(key, f.name+" "); ok {
				x.Numbers = append(x.Numbers, capture.Name{Number: n, Front: f.name, Name: name})
			}
		}
	}
	slices.SortFunc(x.Numbers, func(a, b capture.Name) int { return cmp.Compare(a.Number, b.Number) })
	for _, ref := range slices.Sorted(maps.Keys(c.msgs)) {
		m := c.msgs[ref]
		e := m.e
		h := capture.MessageState{Ref: ref, Front: m.front.no, ID: e.ID, KeySize: len(e.Key), Partner: e.Destination, Class: e.Class, Tenant: e.Tenant,
			Deadline: e.Deadline.Sub(c.base) + clockStart, Again: e.Resubmitted, Size: len(e.Body), Headers: hash(e.Headers), Attempts: e.Attempts, Policy: e.PolicyVersion, Allow: e.MaxAttempts,
			Out: e.InFlight, Ran: e.MayHaveRun, RanAt: c.stamp(e.MayHaveRunAt), RanIn: e.MayHaveRunOn, LastAt: c.stamp(e.LastAttemptAt), LastIn: e.LastAttemptOn,
			Owed: e.NoticePending, Delivered: e.Notice.Delivered, HandedBack: e.Notice.HandedBack, Retry: e.Notice.RetryAfter}
		if m.step != nil {
			h.Step = m.step.no
		}
		x.Messages = append(x.Messages, h)
	}
	for _, no := range slices.Sorted(maps.Keys(c.out)) {
		s := capture.AttemptState{No: no, To: c.out[no].To.no}
		if i := slices.Index(c.stalled, c.out[no]); i >= 0 {
			s.Waits, s.At, s.For = i+1, c.stamp(c.stalled[i].at), c.stalled[i].Timeout
			s.Before, s.From = c.stamp(c.stalled[i].WriteBefore), c.stamp(c.stalled[i].from)
			s.Off = c.stalled[i].begun.Load() == 2
		}
		for _, it := range c.out[no].Items {
			s.Refs, s.Attempts = append(s.Refs, it.ref), append(s.Attempts, it.attempt)
		}
		x.Steps = append(x.Steps, s)
	}
	return x
}

// stamp is a time on the module's clock, which never stands at 0; the zero time is 0.
func (c *Core) stamp(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	if d := t.Sub(c.base) + clockStart; d != 0 {
		return d
	}
	return 1
}

// at is the time of a stamp.
func (c *Core) at(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return c.base.Add(d - clockStart)
}

// resume puts a new core into a state. Fronts are made by their names; the calls that are out are the shell's to know.
func (c *Core) resume(x *capture.Core, front func(capture.FrontState) Front) {
	c.in = slices.Clone(x.Events)
	c.lastNo, c.lastRef, c.lastStep, c.handed = x.LastNo, x.LastRef, x.LastStep, x.Handed
	c.wakeAt, c.watchAt, c.drainAt, c.houseAt = c.at(x.WakeAt), c.at(x.WatchAt), c.at(x.DrainAt), c.at(x.HouseAt)
	for _, s := range x.Fronts {
		f := &frontState{name: s.Name, no: len(c.order), Front: front(s), list: map[string]uint32{}, index: s.Index, watchNo: s.WatchNo, toldBy: s.ToldBy,
			away: s.Away, retryAt: c.at(s.RetryAt), gap: s.Gap}
		if s.Watching {
			f.unwatch = func() {}
		}
		if s.Calling {
			f.unsend = func() {}
		}
		c.fronts[s.Name] = f
		c.order = append(c.order, f)
	}
	for _, n := range x.Numbers {
		c.names[n.Front+" "+n.Name] = n.Number
	}
	for _, s := range x.Dests {
		c.dests[s.No] = &Destination{Name: s.Name, Zone: s.Zone, Kind: s.Kind, Partner: s.Partner, State: s.State, Weight: s.Weight,
			front: c.order[s.Front], no: s.No, goneAt: c.at(s.GoneAt)}
	}
	for i, s := range x.Fronts {
		for _, n := range s.List {
			c.order[i].list[c.dests[n].Name] = n
		}
	}
	var waits []capture.AttemptState // until the relay may act
	for _, s := range x.Steps {
		step := &Attempt{no: s.No, sampleBytes: -1, cancel: func() {}}
		if d := c.dests[s.To]; d != nil {
			step.To = *d
		} else {
			step.To.no = s.To
		}
		for i, ref := range s.Refs {
			step.Items = append(step.Items, Item{ref: ref, attempt: s.Attempts[i]})
		}
		c.out[s.No] = step
		if s.Waits > 0 {
			step.at, step.Timeout, step.WriteBefore, step.from = c.at(s.At), s.For, c.at(s.Before), c.at(s.From)
			if s.Off {
				step.begun.Store(2)
			}
			waits = append(waits, s)
		}
	}
	slices.SortFunc(waits, func(a, b capture.AttemptState) int { return cmp.Compare(a.Waits, b.Waits) })
	for _, s := range waits {
		c.stall(c.out[s.No])
	}
	c.gov = x.Stand
	for _, e := range x.Ended {
		c.ended.add(e.Key, Verdict(e.Verdict), c.at(e.At))
	}
	for _, h := range x.Messages {
		e := &journal.Entry{ID: h.ID, Key: blank(h.KeySize), Front: c.order[h.Front].name, Destination: h.Partner, Class: h.Class, Tenant: h.Tenant,
			Deadline: c.at(h.Deadline), Resubmitted: h.Again, Body: []byte(blank(h.Size)), Headers: unhash(h.Headers), Attempts: h.Attempts, PolicyVersion: h.Policy, MaxAttempts: h.Allow, InFlight: h.Out,
			MayHaveRun: h.Ran, MayHaveRunAt: c.at(h.RanAt), MayHaveRunOn: h.RanIn, LastAttemptAt: c.at(h.LastAt), LastAttemptOn: h.LastIn,
			NoticePending: h.Owed, Notice: journal.Notice{Delivered: h.Delivered, HandedBack: h.HandedBack, RetryAfter: h.Retry}}
		m := &message{ref: h.Ref, front: c.order[h.Front], e: e, step: c.out[h.Step]}
		c.msgs[m.ref], c.byID[m.front.name+" "+e.ID] = m, m
	}
	for i, s := range x.Fronts {
		for _, ref := range s.Owed {
			c.order[i].owed = append(c.order[i].owed, c.notice(ref))
		}
		for _, ref := range s.Sending {
			c.order[i].sending = append(c.order[i].sending, c.notice(ref))
		}
		c.owed += len(s.Owed) + len(s.Sending)
	}
	c.ready.Store(c.drainAt.IsZero())
}

func (c *Core) notice(ref uint64) Notice {
	if m := c.msgs[ref]; m != nil {
		return m.notice()
	}
	return Notice{ref: ref}
}

// blank stands for a text of which only the length is known.
func blank(n int) string { return string(make([]byte, max(n, 0))) }

// unhash stands for headers of which only the hash is known: the same for the same.
func unhash(h uint64) []string {
	if h == 0 {
		return nil
	}
	return []string{fmt.Sprintf(hashed, h)}
}

const hashed = "\x00%016x" // no header is called that
