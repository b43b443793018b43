package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mastusher/internal/relay/capture"
)

// Begin is what a capture of this core begins with.
func (c *Core) Begin(relay, build string) capture.Begin {
	b := capture.Begin{Relay: relay, At: c.base.UnixMicro(), Clock: clockStart, Seed: c.seed, Build: build, Settings: c.told}
	for i := range c.set.Classes {
		b.Classes = append(b.Classes, c.set.Classes[i].Name)
	}
	l := c.lim
	b.Core = &capture.CoreSettings{Kinds: c.set.KindNames, Zones: c.set.Zones, WindowMargin: l.WindowMargin, BusyRetry: l.BusyRetry,
		AnswerWithin: l.AnswerWithin, BodySize: l.BodySize, DrainSends: l.DrainSends, DrainExit: l.DrainExit,
		NoticesPerCall: l.NoticesPerCall, NoticeTimeout: l.NoticeTimeout, NoticeRetry: l.NoticeRetry,
		NoticeRetryMost: l.NoticeRetryMost, WatchRetry: l.WatchRetry, Weights: c.set.Weights, WatchSpread: l.WatchSpread,
		EndedKept: l.EndedKept, EndedMost: l.EndedMost}
	return b
}

// Record has all turns from the next on recorded; nil: none. The recorder before is closed.
func (c *Core) Record(r *capture.Recorder) { c.queue <- recording{r} }

type recording struct{ r *capture.Recorder }

func (recording) apply(*Core, time.Time) {} // see recordBefore

func (v recording) switchOver(c *Core) {
	if c.rec != nil {
		go c.rec.Close() // it writes what it has; nobody waits for that
	}
	if c.rec = nil; v.r != nil { // no interface around a nil pointer
		c.rec = v.r
	}
}

// recordBefore begins the record of a turn: with the state, where one is wanted, and then with what has happened.
func (c *Core) recordBefore(now time.Time, events []event) {
	for _, ev := range events {
		if r, ok := ev.(recording); ok {
			r.switchOver(c)
		}
	}
	if c.rec == nil {
		return
	}
	if c.rec.WantsState() {
		c.recordState()
	}
	c.input = capture.Input{Now: c.clock(now), Events: c.input.Events[:0], Full: c.input.Full[:0], Actions: c.input.Actions[:0]}
	c.handeds = slices.Grow(c.handeds[:0], len(events)) // it does not move while events point into it
	for _, ev := range events {
		if e, ok := c.eventOf(ev, now); ok {
			c.input.Events = append(c.input.Events, e)
		}
	}
}

// recordAfter ends the record of a turn, also of one in which nothing was told: time alone may have changed something.
func (c *Core) recordAfter(now time.Time) {
	if c.rec == nil {
		return
	}
	c.rec.Input(&c.input)
	c.rec.Tick(now)
}

// recordState hands over the state of module and core, and the names of all that they hold.
func (c *Core) recordState() {
	x := c.state()
	messages := make([]capture.Message, len(x.Messages))
	for i, m := range x.Messages {
		messages[i] = capture.Message{Ref: m.Ref, Front: c.order[m.Front].name, ID: m.ID}
	}
	c.rec.State(c.mod.Snapshot(), x, x.Numbers, messages)
}

func (c *Core) did(d capture.Action) {
	if c.rec == nil {
		return
	}
	c.input.Add(&d)
	if c.tells {
		d.Refs = slices.Clone(d.Refs)
		c.input.Actions = append(c.input.Actions, d)
	}
}

func (c *Core) didBegin(s *Attempt) {
	if c.rec == nil {
		return
	}
	c.refs = c.refs[:0]
	for i := range s.Items {
		c.refs = append(c.refs, s.Items[i].ref)
	}
	d := capture.Action{Kind: capture.Began, No: s.no, To: s.To.no, Refs: c.refs, For: s.Timeout}
	if !s.WriteBefore.IsZero() {
		d.Before = c.clock(s.WriteBefore)
	}
	c.did(d)
}

func (c *Core) didTell(f *frontState) {
	if c.rec != nil {
		c.did(capture.Action{Kind: capture.Told, No: uint64(f.no), Refs: refs(f.sending)})
	}
}

func (c *Core) didFinish(m *message) {
	c.did(capture.Action{Kind: capture.Finished, No: m.ref})
}

func refs(notices []Notice) (all []uint64) {
	for i := range notices {
		all = append(all, notices[i].ref)
	}
	return all
}

func (c *Core) note(now time.Time, text string) {
	if c.rec != nil {
		c.rec.Note(capture.Note{Now: c.clock(now), Text: text})
	}
}

// eventOf is an event as a capture tells it; false: a replay has no need of it.
func (c *Core) eventOf(ev event, now time.Time) (e capture.CoreEvent, ok bool) {
	switch v := ev.(type) {
	case arrival:
		m := &v.msg
		c.handeds = append(c.handeds, capture.Arrival{ID: m.ID, KeySize: len(m.Key), Partner: m.Partner,
			Class: m.Class, Tenant: m.Tenant, Deadline: m.Deadline.Sub(c.base) + clockStart, Again: m.Resubmitted, Size: len(m.Body), Headers: hash(m.ExtraHeaders),
			Late: now.Sub(v.at), Verdict: uint8(v.ruling.Verdict), Status: v.ruling.Status, Why: v.ruling.Reason, Under: v.under})
		e = capture.CoreEvent{Kind: capture.Submitted, Front: -1, Arrival: &c.handeds[len(c.handeds)-1]}
		if f := c.fronts[v.front]; f != nil {
			e.Front = f.no
		}
		if !m.MayHaveRunAt.IsZero() {
			e.Arrival.Ran, e.Arrival.RanAt = true, m.MayHaveRunAt.Sub(c.base)+clockStart
		}
	case withdrawn:
		e = capture.CoreEvent{Kind: capture.Withdrawn, Ref: v.ref}
	case moved:
		e = capture.CoreEvent{Kind: capture.Moved, Front: -1}
		if f := c.fronts[v.front]; f != nil {
			e.Front = f.no
		}
	case drain:
		e.Kind = capture.Drained
	case governed:
		s := v.Mandate.Mandate
		if s.Until = 0; !v.Mandate.Until.IsZero() {
			s.Until = c.clock(v.Mandate.Until)
		}
		e = capture.CoreEvent{Kind: capture.Governed, Stand: &s}
	case lent:
		e = capture.CoreEvent{Kind: capture.QuotaGranted, Shared: v.on(c)}
	case stepEnded:
		e = capture.CoreEvent{Kind: capture.AttemptEnded, Step: v.step.no, Items: len(v.outcomes)} // the module is told the outcomes
	case listChanged:
		p := &capture.EndpointList{Index: v.Index, Whole: v.Complete}
		for _, d := range v.Destinations {
			p.Dests = append(p.Dests, capture.DestState{Name: d.Name, Zone: d.Zone, Kind: d.Kind, Partner: d.Partner, State: d.State,
				Weight: d.Weight})
		}
		e = capture.CoreEvent{Kind: capture.ListReported, Front: v.front.no, Step: uint64(v.no), List: p}
	case watchEnded:
		e = capture.CoreEvent{Kind: capture.WatchEnded, Front: v.front.no, Step: uint64(v.no), Text: v.err.Error()}
	case notified:
		e = capture.CoreEvent{Kind: capture.Notified, Front: v.front.no, Taken: v.taken}
	default:
		return e, false
	}
	return e, true
}

func hash(headers []string) (h uint64) {
	if len(headers) == 1 { // out of a recording
		if _, err := fmt.Sscanf(headers[0], hashed, &h); err == nil {
			return h
		}
	}
	for _, s := range headers {
		h = h*31 + xxhash.Sum64String(s)
	}
	return h
}
