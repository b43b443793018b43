package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// Begin is what a capture of this core begins with.
func (c *Core) Begin(relay, build string) capture.Begin {
	b := capture.Begin{Relay: relay, At: c.startedAt.UnixMicro(), Clock: clockStart, Seed: c.seed, Build: build, Settings: c.moduleSettings}
	for i := range c.settings.Classes {
		b.Classes = append(b.Classes, c.settings.Classes[i].Name)
	}
	l := c.limits
	b.Core = &capture.CoreSettings{Kinds: c.settings.KindNames, Zones: c.settings.Zones, WindowMargin: l.WindowMargin, BusyRetry: l.BusyRetry,
		AnswerWithin: l.AnswerWithin, BodySize: l.BodySize, DrainSends: l.DrainSends, DrainExit: l.DrainExit,
		NoticesPerCall: l.NoticesPerCall, NoticeTimeout: l.NoticeTimeout, NoticeRetry: l.NoticeRetry,
		NoticeRetryMax: l.NoticeRetryMax, WatchRetry: l.WatchRetry, Weights: c.settings.Weights, WatchSpread: l.WatchSpread,
		EndedRetention: l.EndedRetention, MaxEnded: l.MaxEnded}
	return b
}

// Record has all turns from the next on recorded; nil: none. The recorder before is closed.
func (c *Core) Record(r *capture.Recorder) { c.queue <- recording{r} }

type recording struct{ r *capture.Recorder }

func (recording) apply(*Core, time.Time) {} // see recordBefore

func (v recording) switchOver(c *Core) {
	if c.recorder != nil {
		go c.recorder.Close() // it writes what it has; nobody waits for that
	}
	if c.recorder = nil; v.r != nil { // no interface around a nil pointer
		c.recorder = v.r
	}
}

// recorder is what a core's turns are recorded on; see capture.Recorder.
type recorder interface {
	WantsState() bool
	State(x *control.Snapshot, core *capture.Core, names []capture.Name, messages []capture.Message)
	Turn(now time.Duration, events []control.Event, actions []control.Action)
	Turns() uint64
	Input(in *capture.Input)
	Name(n capture.Name)
	Message(m capture.Message)
	Note(n capture.Note)
	Tick(now time.Time)
	Close()
}

// recordBefore begins the record of a turn: with the state, where one is wanted, and then with what has happened.
func (c *Core) recordBefore(now time.Time, events []event) {
	for _, ev := range events {
		if r, ok := ev.(recording); ok {
			r.switchOver(c)
		}
	}
	if c.recorder == nil {
		return
	}
	if c.recorder.WantsState() {
		c.recordState()
	}
	c.turnInput = capture.Input{Now: c.clock(now), Events: c.turnInput.Events[:0], Full: c.turnInput.Full[:0], Actions: c.turnInput.Actions[:0]}
	c.recordedArrivals = slices.Grow(c.recordedArrivals[:0], len(events)) // it does not move while events point into it
	for _, ev := range events {
		if e, ok := c.eventOf(ev, now); ok {
			c.turnInput.Events = append(c.turnInput.Events, e)
		}
	}
}

// recordAfter ends the record of a turn, also of one in which nothing was told: time alone may have changed something.
func (c *Core) recordAfter(now time.Time) {
	if c.recorder == nil {
		return
	}
	c.recorder.Input(&c.turnInput)
	c.recorder.Tick(now)
}

// recordState hands over the state of module and core, and the names of all that they hold.
func (c *Core) recordState() {
	state := c.state()
	messages := make([]capture.Message, len(state.Messages))
	for i, m := range state.Messages {
		messages[i] = capture.Message{Ref: m.Ref, Front: c.frontsInOrder[m.Front].name, ID: m.ID}
	}
	c.recorder.State(c.policy.Snapshot(), state, state.Numbers, messages)
}

// recordAction takes one thing that the core does into the turn's sum; a replay keeps it in full too.
func (c *Core) recordAction(d capture.Action) {
	if c.recorder == nil {
		return
	}
	c.turnInput.Add(&d)
	if c.keepActions {
		d.Refs = slices.Clone(d.Refs)
		c.turnInput.Actions = append(c.turnInput.Actions, d)
	}
}

func (c *Core) recordBegin(attempt *Attempt) {
	if c.recorder == nil {
		return
	}
	c.actionRefs = c.actionRefs[:0]
	for i := range attempt.Items {
		c.actionRefs = append(c.actionRefs, attempt.Items[i].ref)
	}
	began := capture.Action{Kind: capture.AttemptBegan, Number: attempt.number, Target: attempt.To.number, Refs: c.actionRefs, Wait: attempt.Timeout}
	if !attempt.WriteBefore.IsZero() {
		began.WriteBefore = c.clock(attempt.WriteBefore)
	}
	c.recordAction(began)
}

func (c *Core) recordNotices(f *frontState) {
	if c.recorder != nil {
		c.recordAction(capture.Action{Kind: capture.NoticesSent, Number: uint64(f.number), Refs: refs(f.sending)})
	}
}

func (c *Core) recordFinish(m *message) {
	c.recordAction(capture.Action{Kind: capture.MessageFinished, Number: m.ref})
}

func refs(notices []Notice) (all []uint64) {
	for i := range notices {
		all = append(all, notices[i].ref)
	}
	return all
}

func (c *Core) recordNote(now time.Time, text string) {
	if c.recorder != nil {
		c.recorder.Note(capture.Note{Now: c.clock(now), Text: text})
	}
}

// eventOf is an event as a capture tells it; false: a replay has no need of it. eventFrom is its reverse.
func (c *Core) eventOf(ev event, now time.Time) (e capture.CoreEvent, ok bool) {
	switch v := ev.(type) {
	case arrival:
		e = c.recordedArrival(&v, now)
	case withdrawn:
		e = capture.CoreEvent{Kind: capture.Withdrawn, Ref: v.ref}
	case moved:
		e = capture.CoreEvent{Kind: capture.Moved, Front: c.frontNumber(v.front)}
	case drain:
		e.Kind = capture.DrainStarted
	case governed:
		mandate := v.Mandate.Mandate
		if mandate.Until = 0; !v.Mandate.Until.IsZero() {
			mandate.Until = c.clock(v.Mandate.Until)
		}
		e = capture.CoreEvent{Kind: capture.Governed, Mandate: &mandate}
	case quotaGranted:
		e = capture.CoreEvent{Kind: capture.QuotaGranted, Shared: v.on(c)}
	case attemptEnded:
		e = capture.CoreEvent{Kind: capture.AttemptEnded, Number: v.attempt.number, Items: len(v.outcomes)} // the module is told the outcomes
	case listChanged:
		list := &capture.EndpointList{Index: v.Index, Complete: v.Complete}
		for _, d := range v.Destinations {
			list.Destinations = append(list.Destinations, capture.DestinationState{Name: d.Name, Zone: d.Zone, Kind: d.Kind, Partner: d.Partner,
				State: d.State, Weight: d.Weight})
		}
		e = capture.CoreEvent{Kind: capture.ListReported, Front: v.front.number, Number: uint64(v.watch), List: list}
	case watchEnded:
		e = capture.CoreEvent{Kind: capture.WatchEnded, Front: v.front.number, Number: uint64(v.watch), Text: v.err.Error()}
	case notified:
		e = capture.CoreEvent{Kind: capture.Notified, Front: v.front.number, Accepted: v.accepted}
	default:
		return e, false
	}
	return e, true
}

// recordedArrival is a message handed in, without its body and key, of which only the lengths are recorded.
func (c *Core) recordedArrival(a *arrival, now time.Time) capture.CoreEvent {
	m := &a.msg
	c.recordedArrivals = append(c.recordedArrivals, capture.Arrival{ID: m.ID, KeySize: len(m.Key), Partner: m.Partner,
		Class: m.Class, Tenant: m.Tenant, Deadline: m.Deadline.Sub(c.startedAt) + clockStart, Resubmitted: m.Resubmitted,
		Size: len(m.Body), Headers: hashHeaders(m.ExtraHeaders), QueuedFor: now.Sub(a.submittedAt),
		Verdict: uint8(a.ruling.Verdict), Status: a.ruling.Status, Reason: a.ruling.Reason, SeenUnderPolicy: a.seenUnderPolicy})
	recorded := &c.recordedArrivals[len(c.recordedArrivals)-1]
	if !m.MayHaveRunAt.IsZero() {
		recorded.MayHaveRun, recorded.MayHaveRunAt = true, m.MayHaveRunAt.Sub(c.startedAt)+clockStart
	}
	return capture.CoreEvent{Kind: capture.Submitted, Front: c.frontNumber(a.front), Arrival: recorded}
}

// frontNumber is a front's number; -1: there is no front of that name.
func (c *Core) frontNumber(name string) int {
	if f := c.fronts[name]; f != nil {
		return f.number
	}
	return -1
}

// hashHeaders stands in a capture for headers: the same for the same.
func hashHeaders(headers []string) (h uint64) {
	if len(headers) == 1 { // out of a recording
		if _, err := fmt.Sscanf(headers[0], hashedHeader, &h); err == nil {
			return h
		}
	}
	for _, s := range headers {
		h = h*31 + xxhash.Sum64String(s)
	}
	return h
}

const hashedHeader = "\x00%016x" // no header is called that

// headersOfHash stands for headers of which only the hash is known: the same for the same.
func headersOfHash(h uint64) []string {
	if h == 0 {
		return nil
	}
	return []string{fmt.Sprintf(hashedHeader, h)}
}

// blankText stands for a text of which only the length is known.
func blankText(n int) string { return string(make([]byte, max(n, 0))) }
