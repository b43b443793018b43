package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// Begin returns the first record of a capture of this core, with the relay's name and the build that runs. It may be called from any
// goroutine.
func (c *Core) Begin(relay, build string) capture.Begin {
	begin := capture.Begin{Relay: relay, At: c.startedAt.UnixMicro(), Clock: clockStart, Seed: c.seed, Build: build, Settings: c.moduleSettings}
	for i := range c.settings.Classes {
		begin.Classes = append(begin.Classes, c.settings.Classes[i].Name)
	}
	l := c.limits
	begin.Core = &capture.CoreSettings{Kinds: c.settings.KindNames, Zones: c.settings.Zones, WindowMargin: l.WindowMargin, BusyRetry: l.BusyRetry,
		AnswerWithin: l.AnswerWithin, BodySize: l.BodySize, DrainSends: l.DrainSends, DrainExit: l.DrainExit,
		NoticesPerCall: l.NoticesPerCall, NoticeTimeout: l.NoticeTimeout, NoticeRetry: l.NoticeRetry,
		NoticeRetryMax: l.NoticeRetryMax, WatchRetry: l.WatchRetry, Weights: c.settings.Weights, WatchSpread: l.WatchSpread,
		EndedRetention: l.EndedRetention, MaxEnded: l.MaxEnded}
	return begin
}

// Record has all turns from the next one on recorded; nil ends that. The former recorder is closed on a goroutine of its own. It may be
// called from any goroutine; the recorder then belongs to the core.
func (c *Core) Record(r *capture.Recorder) { c.queue <- recording{r} }

// recording is a change of the recorder; nil: to none.
type recording struct{ recorder *capture.Recorder }

// apply does nothing: recordBefore switches over before any event of the turn is applied.
func (recording) apply(*Core, time.Time) {}

// switchOver replaces the recorder.
func (r recording) switchOver(c *Core) {
	if c.recorder != nil {
		go c.recorder.Close() // it writes what it has; nobody waits for that
	}
	c.recorder = nil
	if r.recorder != nil { // no interface around a nil pointer
		c.recorder = r.recorder
	}
}

// recorder is what a core's turns are recorded on: a capture.Recorder, or a CoreReplay's singleTurn. The core's goroutine alone calls it,
// and reuses the slices that it passes.
type recorder interface {
	WantsState() bool
	State(module *control.Snapshot, core *capture.Core, names []capture.Name, messages []capture.Message)
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

// recordAfter ends the record of a turn, also of one without events: time alone may have changed something.
func (c *Core) recordAfter(now time.Time) {
	if c.recorder == nil {
		return
	}
	c.recorder.Input(&c.turnInput)
	c.recorder.Tick(now)
}

// recordState records the state of module and core, and the names of all that is in them.
func (c *Core) recordState() {
	state := c.state()
	messages := make([]capture.Message, len(state.Messages))
	for i, m := range state.Messages {
		messages[i] = capture.Message{Ref: m.Ref, Front: c.frontsInOrder[m.Front].name, ID: m.ID}
	}
	c.recorder.State(c.policy.Snapshot(), state, state.Numbers, messages)
}

// recordAction adds one action of the core to the turn's checksum; a replay also keeps it in full.
func (c *Core) recordAction(action capture.Action) {
	if c.recorder == nil {
		return
	}
	c.turnInput.Add(&action)
	if c.keepActions {
		action.Refs = slices.Clone(action.Refs)
		c.turnInput.Actions = append(c.turnInput.Actions, action)
	}
}

// recordBegin records that an attempt is handed to the shell.
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

// recordNotices records that the notices in f.sending are handed to the shell.
func (c *Core) recordNotices(f *frontState) {
	if c.recorder != nil {
		c.recordAction(capture.Action{Kind: capture.NoticesSent, Number: uint64(f.number), Refs: refs(f.sending)})
	}
}

// recordFinish records that a message has ended and is forgotten.
func (c *Core) recordFinish(m *message) {
	c.recordAction(capture.Action{Kind: capture.MessageFinished, Number: m.ref})
}

// refs are the numbers of the messages that notices are of.
func refs(notices []Notice) (all []uint64) {
	for i := range notices {
		all = append(all, notices[i].ref)
	}
	return all
}

// recordNote records a remark for whoever reads the capture; a replay passes over it.
func (c *Core) recordNote(now time.Time, text string) {
	if c.recorder != nil {
		c.recorder.Note(capture.Note{Now: c.clock(now), Text: text})
	}
}

// eventOf is an event as a capture has it; false: a replay does not need it. eventFrom is its reverse.
func (c *Core) eventOf(ev event, now time.Time) (recorded capture.CoreEvent, ok bool) {
	switch posted := ev.(type) {
	case arrival:
		recorded = c.recordedArrival(&posted, now)
	case withdrawn:
		recorded = capture.CoreEvent{Kind: capture.Withdrawn, Ref: posted.ref}
	case moved:
		recorded = capture.CoreEvent{Kind: capture.Moved, Front: c.frontNumber(posted.front)}
	case drain:
		recorded.Kind = capture.DrainStarted
	case governed:
		mandate := posted.Mandate.Mandate
		if mandate.Until = 0; !posted.Mandate.Until.IsZero() {
			mandate.Until = c.clock(posted.Mandate.Until)
		}
		recorded = capture.CoreEvent{Kind: capture.Governed, Mandate: &mandate}
	case quotaGranted:
		recorded = capture.CoreEvent{Kind: capture.QuotaGranted, Shared: posted.on(c)}
	case attemptEnded:
		recorded = capture.CoreEvent{Kind: capture.AttemptEnded, Number: posted.attempt.number,
			Items: len(posted.outcomes)} // the outcomes are in the module's events
	case listChanged:
		list := &capture.EndpointList{Index: posted.Index, Complete: posted.Complete}
		for _, d := range posted.Destinations {
			list.Destinations = append(list.Destinations, capture.DestinationState{Name: d.Name, Zone: d.Zone, Kind: d.Kind, Partner: d.Partner,
				State: d.State, Weight: d.Weight})
		}
		recorded = capture.CoreEvent{Kind: capture.ListReported, Front: posted.front.number, Number: uint64(posted.watch), List: list}
	case watchEnded:
		recorded = capture.CoreEvent{Kind: capture.WatchEnded, Front: posted.front.number, Number: uint64(posted.watch), Text: posted.err.Error()}
	case notified:
		recorded = capture.CoreEvent{Kind: capture.Notified, Front: posted.front.number, Accepted: posted.accepted}
	default:
		return recorded, false
	}
	return recorded, true
}

// recordedArrival is a submitted message, without its body and key, of which only the lengths are recorded.
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

// hashHeaders is what a capture has in place of headers: the same for the same headers, 0 for none.
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

// hashedHeader is the format of a name that stands for a hash of headers: no header is called that.
const hashedHeader = "\x00%016x"

// headersOfHash is the reverse of hashHeaders: one header whose hash is h.
func headersOfHash(h uint64) []string {
	if h == 0 {
		return nil
	}
	return []string{fmt.Sprintf(hashedHeader, h)}
}

// blankText is a text of n zero bytes, in place of one of which only the length is known.
func blankText(n int) string { return string(make([]byte, max(n, 0))) }
