package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// Begin returns the first record of a capture of this core; relay is the relay's name, build the running build. It may be called from any
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

// Record records all turns from the next one on to r, which then belongs to the core; nil ends the recording. The previous recorder is
// closed on a goroutine of its own. Record may be called from any goroutine.
func (c *Core) Record(r *capture.Recorder) { c.queue <- recorderChanged{r} }

// recorderChanged is the event that the recorder is replaced; nil ends the recording.
type recorderChanged struct{ recorder *capture.Recorder }

// apply does nothing: recordBefore replaces the recorder before any event of the turn is applied.
func (recorderChanged) apply(*Core, time.Time) {}

// replaceRecorder closes the current recorder and sets the new one.
func (r recorderChanged) replaceRecorder(c *Core) {
	if c.recorder != nil {
		go c.recorder.Close() // it may block while it writes its buffered records
	}
	c.recorder = nil
	if r.recorder != nil { // c.recorder must not be a non-nil interface that holds a nil pointer
		c.recorder = r.recorder
	}
}

// recorder records a core's turns: a capture.Recorder, or a CoreReplay's singleTurn. It is called by the core's goroutine only, which
// reuses the slices that it passes.
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

// recordBefore begins the record of a turn: with the core's state, if the recorder wants it, and then the turn's events.
func (c *Core) recordBefore(now time.Time, events []event) {
	for _, ev := range events {
		if r, ok := ev.(recorderChanged); ok {
			r.replaceRecorder(c)
		}
	}
	if c.recorder == nil {
		return
	}
	if c.recorder.WantsState() {
		c.recordState()
	}
	c.turnInput = capture.Input{Now: c.moduleTime(now), Events: c.turnInput.Events[:0], Full: c.turnInput.Full[:0], Actions: c.turnInput.Actions[:0]}
	c.recordedArrivals = slices.Grow(c.recordedArrivals[:0], len(events)) // grown first, since the events point into it
	for _, ev := range events {
		if e, ok := c.recordedEvent(ev, now); ok {
			c.turnInput.Events = append(c.turnInput.Events, e)
		}
	}
}

// recordAfter ends the record of a turn. A turn without events is recorded too, since the passing of time may have had an effect.
func (c *Core) recordAfter(now time.Time) {
	if c.recorder == nil {
		return
	}
	c.recorder.Input(&c.turnInput)
	c.recorder.Tick(now)
}

// recordState records the state of module and core, with the names of the destinations and messages in it.
func (c *Core) recordState() {
	state := c.state()
	messages := make([]capture.Message, len(state.Messages))
	for i, m := range state.Messages {
		messages[i] = capture.Message{Ref: m.Ref, Front: c.frontsInOrder[m.Front].name, ID: m.ID}
	}
	c.recorder.State(c.policy.Snapshot(), state, state.Numbers, messages)
}

// recordAction adds one action of the core to the turn's checksum; if keepActions is set, it also keeps the action in full.
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

// recordBegin records that an attempt is passed to the shell.
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
		began.WriteBefore = c.moduleTime(attempt.WriteBefore)
	}
	c.recordAction(began)
}

// recordNotices records that the notices in f.sending are passed to the shell.
func (c *Core) recordNotices(f *frontState) {
	if c.recorder != nil {
		c.recordAction(capture.Action{Kind: capture.NoticesSent, Number: uint64(f.number), Refs: noticeRefs(f.sending)})
	}
}

// recordFinish records that a message has ended and is forgotten.
func (c *Core) recordFinish(m *message) {
	c.recordAction(capture.Action{Kind: capture.MessageFinished, Number: m.ref})
}

// noticeRefs returns the message numbers of notices.
func noticeRefs(notices []Notice) (all []uint64) {
	for i := range notices {
		all = append(all, notices[i].ref)
	}
	return all
}

// recordNote records a note for human readers of the capture; a replay ignores it.
func (c *Core) recordNote(now time.Time, text string) {
	if c.recorder != nil {
		c.recorder.Note(capture.Note{Now: c.moduleTime(now), Text: text})
	}
}

// recordedEvent converts an event for the capture; false if a replay does not need the event. replayedEvent is its reverse.
func (c *Core) recordedEvent(ev event, now time.Time) (recorded capture.CoreEvent, ok bool) {
	switch posted := ev.(type) {
	case arrival:
		recorded = c.recordedArrival(&posted, now)
	case withdrawn:
		recorded = capture.CoreEvent{Kind: capture.Withdrawn, Ref: posted.ref}
	case discoveryMoved:
		recorded = capture.CoreEvent{Kind: capture.DiscoveryMoved, Front: c.frontNumber(posted.front)}
	case drain:
		recorded.Kind = capture.DrainStarted
	case mandateChanged:
		mandate := posted.Mandate.Mandate
		if mandate.Until = 0; !posted.Mandate.Until.IsZero() {
			mandate.Until = c.moduleTime(posted.Mandate.Until)
		}
		recorded = capture.CoreEvent{Kind: capture.MandateChanged, Mandate: &mandate}
	case quotaGranted:
		recorded = capture.CoreEvent{Kind: capture.QuotaGranted, Shared: posted.onModuleClock(c)}
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
	case notifyCallEnded:
		recorded = capture.CoreEvent{Kind: capture.NoticesAnswered, Front: posted.front.number, Accepted: posted.accepted}
	default:
		return recorded, false
	}
	return recorded, true
}

// recordedArrival converts a submission for the capture, with only the lengths of key and body.
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

// frontNumber returns a front's number, or -1 if there is no front of that name.
func (c *Core) frontNumber(name string) int {
	if f := c.fronts[name]; f != nil {
		return f.number
	}
	return -1
}

// hashHeaders returns the hash that a capture contains in place of headers; 0 for no headers.
func hashHeaders(headers []string) (h uint64) {
	if len(headers) == 1 { // made by headersOfHash, in a replay
		if _, err := fmt.Sscanf(headers[0], hashedHeader, &h); err == nil {
			return h
		}
	}
	for _, s := range headers {
		h = h*31 + xxhash.Sum64String(s)
	}
	return h
}

// hashedHeader is the format of a header name that encodes a hash of headers; no real header has such a name.
const hashedHeader = "\x00%016x"

// headersOfHash is the reverse of hashHeaders: it returns headers whose hash is h.
func headersOfHash(h uint64) []string {
	if h == 0 {
		return nil
	}
	return []string{fmt.Sprintf(hashedHeader, h)}
}

// blankText returns n zero bytes, in place of a text of which only the length was recorded.
func blankText(n int) string { return string(make([]byte, max(n, 0))) }
