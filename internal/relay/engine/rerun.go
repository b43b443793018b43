package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/journal"
	"mastusher/internal/relay/wire"
)

// CoreReplay drives a whole core with a capture in the place of its clock, fronts and journal, and compares all that it does
// with what was recorded. It is handed a capture's records in order.
type CoreReplay struct {
	Turns int // of the core, that were the same

	begin      capture.Begin
	snapshot   *control.Snapshot
	turn       *capture.Turn // the module's, until the core's turn comes
	core       *Core
	noRoomFor  []int // of the turn at hand: the messages that there is no room for
	accepts    int
	flushFails bool
	recorded   singleTurn
}

// CoreDifference is the first turn in which the core does otherwise than was recorded.
type CoreDifference struct {
	Input         *capture.Input
	Turn          *capture.Turn // the module's in it; nil: none
	Got           capture.Input
	ModuleEvents  []control.Event  // what the core told the module
	ModuleActions []control.Action // what that decided
	State         *control.Snapshot
	Reason        string
}

func (d *CoreDifference) Error() string {
	return fmt.Sprintf("capture: the core's turn at %v differs: %s", d.Input.Now, d.Reason)
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

// singleTurn holds a single turn.
type singleTurn struct {
	hasTurn bool
	events  []control.Event
	actions []control.Action
	input   capture.Input
}

func (t *singleTurn) WantsState() bool { return false }
func (t *singleTurn) State(*control.Snapshot, *capture.Core, []capture.Name, []capture.Message) {
}
func (t *singleTurn) Turn(_ time.Duration, events []control.Event, actions []control.Action) {
	t.hasTurn, t.events, t.actions = true, slices.Clone(events), slices.Clone(actions)
}
func (t *singleTurn) Turns() uint64 { return 1 }
func (t *singleTurn) Input(in *capture.Input) {
	t.input = *in
	t.input.Actions = slices.Clone(in.Actions)
}
func (t *singleTurn) Name(capture.Name)       {}
func (t *singleTurn) Message(capture.Message) {}
func (t *singleTurn) Note(capture.Note)       {}
func (t *singleTurn) Tick(time.Time)          {}
func (t *singleTurn) Close()                  {}

// Record takes the next record; it returns a *CoreDifference at the first turn that differs.
func (r *CoreReplay) Record(record any) error {
	switch v := record.(type) {
	case *capture.Begin:
		r.begin = *v
	case *capture.Gap:
		r.core = nil
	case *capture.State:
		r.snapshot, r.core = v.Snapshot, nil
	case *capture.Core:
		return r.resume(v)
	case *capture.Turn:
		r.turn = v
	case *capture.Input:
		turn := r.turn
		r.turn = nil
		if r.core != nil {
			return r.input(v, turn)
		}
	}
	return nil
}

// State is the core's state as it stands; nil: no core runs.
func (r *CoreReplay) State() *capture.Core {
	if r.core == nil {
		return nil
	}
	return r.core.state()
}

func (r *CoreReplay) resume(x *capture.Core) error {
	s := r.begin.Core
	if s == nil || r.snapshot == nil {
		return errors.New("capture: the core's state stands there without its settings, or without the module's")
	}
	cfg := &config.Config{Seed: r.begin.Seed, Settings: wire.Settings{Settings: r.begin.Settings, Zones: s.Zones, KindNames: s.Kinds, Weights: s.Weights}}
	cfg.Limits = config.Limits{Queue: 1, WindowMargin: s.WindowMargin, BusyRetry: s.BusyRetry, AnswerWithin: s.AnswerWithin,
		BodySize: s.BodySize, DrainSends: s.DrainSends, DrainExit: s.DrainExit, NoticesPerCall: s.NoticesPerCall,
		NoticeTimeout: s.NoticeTimeout, NoticeRetry: s.NoticeRetry, NoticeRetryMax: s.NoticeRetryMax, WatchRetry: s.WatchRetry, WatchSpread: s.WatchSpread,
		EndedRetention: s.EndedRetention, MaxEnded: s.MaxEnded}
	cfg.Settings.Classes = slices.Clone(cfg.Settings.Classes)
	for i := range cfg.Settings.Classes { // see ModuleSettings
		if k := &cfg.Settings.Classes[i]; k.Memory > 0 {
			k.Memory += s.WindowMargin
		}
	}
	jour := &journal.Memory{Full: func(*journal.Entry) bool {
		r.accepts++
		return slices.Contains(r.noRoomFor, r.accepts-1)
	}, Failed: func() error {
		if r.flushFails {
			return errors.New("as recorded")
		}
		return nil
	}}
	c, err := New(cfg, jour, slog.New(slog.NewTextHandler(io.Discard, nil)), time.UnixMicro(r.begin.At))
	if err != nil {
		return err
	}
	if c.policy, err = control.Restore(r.begin.Settings, r.snapshot); err != nil {
		return err
	}
	c.recorder, c.shell, c.keepActions = &r.recorded, inertShell{}, true
	c.restoreState(x, func(f capture.FrontState) Front { return recordedFront{f.NotifiesDeliveries} })
	if s := x.Mandate; s != nil && (len(s.Worth) > 0 || len(s.Quotas) > 0) {
		c.policy.Reconfigure(s.Worth, s.Quotas)
	}
	for _, ref := range slices.Sorted(maps.Keys(c.messages)) {
		jour.Restore(c.messages[ref].entry)
	}
	r.core = c
	return nil
}

func (r *CoreReplay) input(in *capture.Input, turn *capture.Turn) error {
	c := r.core
	r.noRoomFor, r.accepts, r.flushFails, r.recorded = in.Full, 0, in.Failed, singleTurn{}
	d := &CoreDifference{Input: in, Turn: turn}
	now := c.timeOf(in.Now)
	var events []event
	outs := outcomes(turn, len(c.moduleEvents))
	for i := range in.Events {
		ev, err := c.eventFrom(&in.Events[i], now, &outs)
		if err != nil {
			d.Reason = err.Error()
			r.core = nil // it can't go on without that
			return d
		}
		events = append(events, ev)
	}
	c.Turn(now, events)
	var was capture.Turn
	if turn != nil && in.No != 0 {
		was = *turn
	}
	switch {
	case r.recorded.hasTurn != (in.No != 0):
		d.Reason = "the module has a turn in one of them only"
	case !reflect.DeepEqual(empty(was.Events), empty(r.recorded.events)):
		d.Reason = "the module is told something else"
	case !slices.Equal(was.Actions, r.recorded.actions):
		d.Reason = "the module decides otherwise"
	case in.Sum != r.recorded.input.Sum:
		d.Reason = "the core does something else"
	default:
		r.Turns++
		return nil
	}
	d.Got, d.ModuleEvents, d.ModuleActions, d.State = r.recorded.input, r.recorded.events, r.recorded.actions, c.policy.Snapshot()
	r.core = nil // what follows would differ too
	return d
}

func empty[T any](all []T) []T {
	if len(all) == 0 {
		return nil
	}
	return all
}

// outcomes are those that the module is told in a turn, without those left from the turn before.
func outcomes(turn *capture.Turn, left int) (outs []Outcome) {
	if turn == nil {
		return nil
	}
	for _, e := range turn.Events[min(left, len(turn.Events)):] {
		if e.Kind == control.Resolved {
			outs = append(outs, Outcome{Result: e.Result, RetryAfter: e.RetryAfter, Final: e.Final, Reported: e.Reported, Share: e.Remaining, Limit: e.Limit})
		}
	}
	return outs
}

// eventFrom is an event as it came by the queue.
func (c *Core) eventFrom(e *capture.CoreEvent, now time.Time, told *[]Outcome) (event, error) {
	if e.Front >= len(c.frontsInOrder) || e.Front < 0 && e.Kind != capture.Submitted && e.Kind != capture.Moved {
		return nil, fmt.Errorf("there is no front %d", e.Front)
	}
	name := "?"
	if e.Front >= 0 {
		name = c.frontsInOrder[e.Front].name
	}
	switch e.Kind {
	case capture.Submitted:
		a := e.Arrival
		if a == nil {
			return nil, errors.New("a message handed in is missing")
		}
		m := Message{ID: a.ID, Key: blankText(a.KeySize), Class: a.Class, Partner: a.Partner, Tenant: a.Tenant, Deadline: c.startedAt.Add(a.Deadline - clockStart),
			Resubmitted: a.Resubmitted, Body: []byte(blankText(a.Size)), ExtraHeaders: headersOfHash(a.Headers)}
		if a.MayHaveRun {
			m.MayHaveRunAt = c.startedAt.Add(a.MayHaveRunAt - clockStart)
		}
		return arrival{front: name, msg: m, submittedAt: now.Add(-a.QueuedFor), reply: make(chan Reply, 1),
			ruling: Ruling{Verdict(a.Verdict), a.Status, a.Reason}, seenUnderPolicy: a.SeenUnderPolicy}, nil
	case capture.Withdrawn:
		return withdrawn{e.Ref}, nil
	case capture.Moved:
		return moved{name}, nil
	case capture.DrainStarted:
		return drain{}, nil
	case capture.Governed:
		if e.Mandate == nil {
			return nil, errors.New("what the fleet lets the relay do is missing")
		}
		return governed{Mandate{*e.Mandate, c.timeOf(e.Mandate.Until)}, nil}, nil
	case capture.QuotaGranted:
		if e.Shared == nil {
			return nil, errors.New("what the relay may spend is missing")
		}
		return quotaGranted{SharedLimits: *e.Shared, until: c.timeOf(e.Shared.LeaseExpiry)}, nil
	case capture.AttemptEnded:
		s := c.inFlight[e.Number]
		var outs []Outcome
		for _, o := range e.Outcomes {
			outs = append(outs, Outcome(o))
		}
		if n := min(e.Items, len(*told)); outs == nil {
			outs, *told = (*told)[:n], (*told)[n:]
		}
		if s == nil || len(s.Items) != len(outs) {
			return nil, fmt.Errorf("route step %d is not out, or carries something else", e.Number)
		}
		return attemptEnded{s, outs}, nil
	case capture.ListReported:
		p := listChanged{front: c.frontsInOrder[e.Front], watch: int(e.Number)}
		if e.List != nil {
			p.Index, p.Complete = e.List.Index, e.List.Complete
			for _, d := range e.List.Destinations {
				p.Destinations = append(p.Destinations, Destination{Name: d.Name, Zone: d.Zone, Kind: d.Kind, Partner: d.Partner, State: d.State,
					Weight: d.Weight})
			}
		}
		return p, nil
	case capture.WatchEnded:
		err := errors.New(e.Text)
		if e.Text == ErrWatchTimeout.Error() {
			err = ErrWatchTimeout
		}
		return watchEnded{c.frontsInOrder[e.Front], int(e.Number), err}, nil
	case capture.Notified:
		f := c.frontsInOrder[e.Front]
		if f.cancelNotify == nil || len(f.sending) != len(e.Accepted) {
			return nil, errors.New("no call with so many notices is out")
		}
		return notified{f, e.Accepted}, nil
	}
	return nil, fmt.Errorf("an event of kind %d is not known", e.Kind)
}

// inertShell is a shell in which nothing moves: what comes of calls stands in the recording.
type inertShell struct{}

func (inertShell) Call(Front, *Attempt, time.Time, func([]Outcome)) func() { return func() {} }
func (inertShell) Notify(Front, []Notice, time.Time, func([]bool)) func()  { return func() {} }
func (inertShell) Watch(Front, int64, func(EndpointList), func(error)) (cancel func()) {
	return func() {}
}

// recordedFront is a front of a recording.
type recordedFront struct{ notifiesDeliveries bool }

func (recordedFront) Call(context.Context, *Attempt) []Outcome                     { return nil }
func (recordedFront) Notify(context.Context, []Notice) []bool                      { return nil }
func (recordedFront) CloseIdle(*Destination)                                       {}
func (recordedFront) Watch(context.Context, int64, func(EndpointList)) (err error) { return nil }
func (r recordedFront) NotifiesDeliveries() bool                                   { return r.notifiesDeliveries }
