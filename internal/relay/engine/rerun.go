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

	begin capture.Begin
	snap  *control.Snapshot
	turn  *capture.Turn // the module's, until the core's turn comes
	core  *Core
	full  []int // of the turn at hand: the messages that there is no room for
	takes int
	fails bool
	got   tapeOfOne
}

// CoreDifference is the first turn in which the core does otherwise than was recorded.
type CoreDifference struct {
	Input         *capture.Input
	Turn          *capture.Turn // the module's in it; nil: none
	Got           capture.Input
	ModuleEvents  []control.Event  // what the core told the module
	ModuleActions []control.Action // what that decided
	State         *control.Snapshot
	Why           string
}

func (d *CoreDifference) Error() string {
	return fmt.Sprintf("capture: the core's turn at %v differs: %s", d.Input.Now, d.Why)
}

// tape is what a core's turns are recorded on; see capture.Recorder.
type tape interface {
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

// tapeOfOne holds a single turn.
type tapeOfOne struct {
	turned  bool
	events  []control.Event
	actions []control.Action
	input   capture.Input
}

func (t *tapeOfOne) WantsState() bool { return false }
func (t *tapeOfOne) State(*control.Snapshot, *capture.Core, []capture.Name, []capture.Message) {
}
func (t *tapeOfOne) Turn(_ time.Duration, events []control.Event, actions []control.Action) {
	t.turned, t.events, t.actions = true, slices.Clone(events), slices.Clone(actions)
}
func (t *tapeOfOne) Turns() uint64 { return 1 }
func (t *tapeOfOne) Input(in *capture.Input) {
	t.input = *in
	t.input.Actions = slices.Clone(in.Actions)
}
func (t *tapeOfOne) Name(capture.Name)       {}
func (t *tapeOfOne) Message(capture.Message) {}
func (t *tapeOfOne) Note(capture.Note)       {}
func (t *tapeOfOne) Tick(time.Time)          {}
func (t *tapeOfOne) Close()                  {}

// Record takes the next record; it returns a *CoreDifference at the first turn that differs.
func (r *CoreReplay) Record(record any) error {
	switch v := record.(type) {
	case *capture.Begin:
		r.begin = *v
	case *capture.Gap:
		r.core = nil
	case *capture.State:
		r.snap, r.core = v.Snapshot, nil
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
	if s == nil || r.snap == nil {
		return errors.New("capture: the core's state stands there without its settings, or without the module's")
	}
	cfg := &config.Config{Seed: r.begin.Seed, Settings: wire.Settings{Settings: r.begin.Settings, Zones: s.Zones, KindNames: s.Kinds, Weights: s.Weights}}
	cfg.Limits = config.Limits{Queue: 1, WindowMargin: s.WindowMargin, BusyRetry: s.BusyRetry, AnswerWithin: s.AnswerWithin,
		BodySize: s.BodySize, DrainSends: s.DrainSends, DrainExit: s.DrainExit, NoticesPerCall: s.NoticesPerCall,
		NoticeTimeout: s.NoticeTimeout, NoticeRetry: s.NoticeRetry, NoticeRetryMost: s.NoticeRetryMost, WatchRetry: s.WatchRetry, WatchSpread: s.WatchSpread,
		EndedKept: s.EndedKept, EndedMost: s.EndedMost}
	cfg.Settings.Classes = slices.Clone(cfg.Settings.Classes)
	for i := range cfg.Settings.Classes { // see ModuleSettings
		if k := &cfg.Settings.Classes[i]; k.Memory > 0 {
			k.Memory += s.WindowMargin
		}
	}
	jour := &journal.Memory{Full: func(*journal.Entry) bool {
		r.takes++
		return slices.Contains(r.full, r.takes-1)
	}, Failed: func() error {
		if r.fails {
			return errors.New("as recorded")
		}
		return nil
	}}
	c, err := New(cfg, jour, slog.New(slog.NewTextHandler(io.Discard, nil)), time.UnixMicro(r.begin.At))
	if err != nil {
		return err
	}
	if c.mod, err = control.Restore(r.begin.Settings, r.snap); err != nil {
		return err
	}
	c.rec, c.shell, c.tells = &r.got, still{}, true
	c.resume(x, func(f capture.FrontState) Front { return recorded{f.Tells} })
	if s := x.Stand; s != nil && (len(s.Worth) > 0 || len(s.Quotas) > 0) {
		c.mod.Reconfigure(s.Worth, s.Quotas)
	}
	for _, ref := range slices.Sorted(maps.Keys(c.msgs)) {
		jour.Restore(c.msgs[ref].e)
	}
	r.core = c
	return nil
}

func (r *CoreReplay) input(in *capture.Input, turn *capture.Turn) error {
	c := r.core
	r.full, r.takes, r.fails, r.got = in.Full, 0, in.Failed, tapeOfOne{}
	d := &CoreDifference{Input: in, Turn: turn}
	now := c.at(in.Now)
	var events []event
	outs := outcomes(turn, len(c.in))
	for i := range in.Events {
		ev, err := c.replayed(&in.Events[i], now, &outs)
		if err != nil {
			d.Why = err.Error()
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
	case r.got.turned != (in.No != 0):
		d.Why = "the module has a turn in one of them only"
	case !reflect.DeepEqual(empty(was.Events), empty(r.got.events)):
		d.Why = "the module is told something else"
	case !slices.Equal(was.Actions, r.got.actions):
		d.Why = "the module decides otherwise"
	case in.Sum != r.got.input.Sum:
		d.Why = "the core does something else"
	default:
		r.Turns++
		return nil
	}
	d.Got, d.ModuleEvents, d.ModuleActions, d.State = r.got.input, r.got.events, r.got.actions, c.mod.Snapshot()
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

// replayed is an event as it came by the queue.
func (c *Core) replayed(e *capture.CoreEvent, now time.Time, told *[]Outcome) (event, error) {
	if e.Front >= len(c.order) || e.Front < 0 && e.Kind != capture.Submitted && e.Kind != capture.Moved {
		return nil, fmt.Errorf("there is no front %d", e.Front)
	}
	name := "?"
	if e.Front >= 0 {
		name = c.order[e.Front].name
	}
	switch e.Kind {
	case capture.Submitted:
		a := e.Arrival
		if a == nil {
			return nil, errors.New("a message handed in is missing")
		}
		m := Message{ID: a.ID, Key: blank(a.KeySize), Class: a.Class, Partner: a.Partner, Tenant: a.Tenant, Deadline: c.base.Add(a.Deadline - clockStart),
			Resubmitted: a.Again, Body: []byte(blank(a.Size)), ExtraHeaders: unhash(a.Headers)}
		if a.Ran {
			m.MayHaveRunAt = c.base.Add(a.RanAt - clockStart)
		}
		return arrival{front: name, msg: m, at: now.Add(-a.Late), reply: make(chan Reply, 1),
			ruling: Ruling{Verdict(a.Verdict), a.Status, a.Why}, under: a.Under}, nil
	case capture.Withdrawn:
		return withdrawn{e.Ref}, nil
	case capture.Moved:
		return moved{name}, nil
	case capture.Drained:
		return drain{}, nil
	case capture.Governed:
		if e.Stand == nil {
			return nil, errors.New("what the fleet lets the relay do is missing")
		}
		return governed{Mandate{*e.Stand, c.at(e.Stand.Until)}, nil}, nil
	case capture.QuotaGranted:
		if e.Shared == nil {
			return nil, errors.New("what the relay may spend is missing")
		}
		return lent{SharedLimits: *e.Shared, until: c.at(e.Shared.LeaseExpiry)}, nil
	case capture.AttemptEnded:
		s := c.out[e.Step]
		var outs []Outcome
		for _, o := range e.Outcomes {
			outs = append(outs, Outcome(o))
		}
		if n := min(e.Items, len(*told)); outs == nil {
			outs, *told = (*told)[:n], (*told)[n:]
		}
		if s == nil || len(s.Items) != len(outs) {
			return nil, fmt.Errorf("route step %d is not out, or carries something else", e.Step)
		}
		return stepEnded{s, outs}, nil
	case capture.ListReported:
		p := listChanged{front: c.order[e.Front], no: int(e.Step)}
		if e.List != nil {
			p.Index, p.Complete = e.List.Index, e.List.Whole
			for _, d := range e.List.Dests {
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
		return watchEnded{c.order[e.Front], int(e.Step), err}, nil
	case capture.Notified:
		f := c.order[e.Front]
		if f.unsend == nil || len(f.sending) != len(e.Taken) {
			return nil, errors.New("no call with so many notices is out")
		}
		return notified{f, e.Taken}, nil
	}
	return nil, fmt.Errorf("an event of kind %d is not known", e.Kind)
}

// still is a shell in which nothing moves: what comes of calls stands in the recording.
type still struct{}

func (still) Call(Front, *Attempt, time.Time, func([]Outcome)) func()             { return func() {} }
func (still) Notify(Front, []Notice, time.Time, func([]bool)) func()              { return func() {} }
func (still) Watch(Front, int64, func(EndpointList), func(error)) (cancel func()) { return func() {} }

// recorded is a front of a recording.
type recorded struct{ tells bool }

func (recorded) Call(context.Context, *Attempt) []Outcome                     { return nil }
func (recorded) Notify(context.Context, []Notice) []bool                      { return nil }
func (recorded) CloseIdle(*Destination)                                       {}
func (recorded) Watch(context.Context, int64, func(EndpointList)) (err error) { return nil }
func (r recorded) NotifiesDeliveries() bool                                   { return r.tells }
