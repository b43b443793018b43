package engine

import (
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

func (t *singleTurn) Name(capture.Name) {}

func (t *singleTurn) Message(capture.Message) {}

func (t *singleTurn) Note(capture.Note) {}

func (t *singleTurn) Tick(time.Time) {}

func (t *singleTurn) Close() {}

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
