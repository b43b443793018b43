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

// CoreReplay drives a complete core with a capture in place of its clock, fronts and journal, and compares all that it does
// with what was recorded. It is handed a capture's records in order, by one goroutine; its zero value is ready for use.
type CoreReplay struct {
	Turns int // turns of the core that did the same as was recorded

	begin          capture.Begin
	snapshot       *control.Snapshot // the module's state at the last capture.State; nil: none has come yet
	turn           *capture.Turn     // the module's, until the core's turn comes
	core           *Core             // nil: none runs, until the next recorded state
	journalFullFor []int             // the messages of the current turn, by the order of their arrival, that the journal has no room for
	accepts        int               // messages of the current turn that were offered to the journal
	flushFails     bool              // the journal can't be written in the current turn
	recorded       singleTurn
}

// CoreDifferenceError is the first turn in which the core does otherwise than was recorded. Got, ModuleEvents, ModuleActions and State are
// empty where the turn could not be replayed at all.
type CoreDifferenceError struct {
	Input         *capture.Input    // the recorded turn
	Turn          *capture.Turn     // the module's recorded turn in it; nil: none
	Got           capture.Input     // what the replayed core did
	ModuleEvents  []control.Event   // the events that the replayed core gave the module
	ModuleActions []control.Action  // what the replayed module decided
	State         *control.Snapshot // of the replayed module, after the turn
	Reason        string            // which part differs first
}

// Error names the turn by its time on the module's clock, and the reason.
func (d *CoreDifferenceError) Error() string {
	return fmt.Sprintf("capture: the core's turn at %v differs: %s", d.Input.Now, d.Reason)
}

// singleTurn is a recorder that holds the last turn of a replayed core, for its comparison.
type singleTurn struct {
	hasTurn bool
	events  []control.Event
	actions []control.Action
	input   capture.Input
}

// WantsState is false: a replay compares turns, not states.
func (t *singleTurn) WantsState() bool { return false }

// State implements recorder; it is never called, see WantsState.
func (t *singleTurn) State(*control.Snapshot, *capture.Core, []capture.Name, []capture.Message) {
}

// Turn keeps copies of the module's events and actions: the core reuses its slices.
func (t *singleTurn) Turn(_ time.Duration, events []control.Event, actions []control.Action) {
	t.hasTurn, t.events, t.actions = true, slices.Clone(events), slices.Clone(actions)
}

// Turns is the number that the core gives the module's turn; only whether there is one is compared.
func (t *singleTurn) Turns() uint64 { return 1 }

// Input keeps a copy of what the core did.
func (t *singleTurn) Input(in *capture.Input) {
	t.input = *in
	t.input.Actions = slices.Clone(in.Actions)
}

// Name implements recorder; names are not compared.
func (t *singleTurn) Name(capture.Name) {}

// Message implements recorder; names of messages are not compared.
func (t *singleTurn) Message(capture.Message) {}

// Note implements recorder; notes are not compared.
func (t *singleTurn) Note(capture.Note) {}

// Tick implements recorder; nothing is written that could be due.
func (t *singleTurn) Tick(time.Time) {}

// Close implements recorder.
func (t *singleTurn) Close() {}

// Record takes the next record. It returns a *CoreDifferenceError at the first turn that differs, and an error where the recorded state of
// a core can't be restored; after a difference it passes over all records up to the next state.
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

// State returns a copy of the core's state after the last turn; nil: no core runs.
func (r *CoreReplay) State() *capture.Core {
	if r.core == nil {
		return nil
	}
	return r.core.state()
}

// resume makes a core in a recorded state.
func (r *CoreReplay) resume(state *capture.Core) error {
	if r.begin.Core == nil || r.snapshot == nil {
		return errNoCoreSettings
	}
	memory := &journal.Memory{Full: func(*journal.Entry) bool {
		r.accepts++
		return slices.Contains(r.journalFullFor, r.accepts-1)
	}, Failed: func() error {
		if r.flushFails {
			return errAsRecorded
		}
		return nil
	}}
	c, err := New(configOf(&r.begin), memory, slog.New(slog.NewTextHandler(io.Discard, nil)), time.UnixMicro(r.begin.At))
	if err != nil {
		return err
	}
	if c.policy, err = control.Restore(r.begin.Settings, r.snapshot); err != nil {
		return err
	}
	c.recorder, c.shell, c.keepActions = &r.recorded, inertShell{}, true
	c.restoreState(state, func(f capture.FrontState) Front { return recordedFront{f.NotifiesDeliveries} })
	if mandate := state.Mandate; mandate != nil && (len(mandate.Worth) > 0 || len(mandate.Quotas) > 0) {
		c.policy.Reconfigure(mandate.Worth, mandate.Quotas)
	}
	for _, ref := range slices.Sorted(maps.Keys(c.messages)) {
		memory.Restore(c.messages[ref].entry)
	}
	r.core = c
	return nil
}

// configOf is the configuration of a recorded relay, as far as its core needs it.
func configOf(begin *capture.Begin) *config.Config {
	s := begin.Core
	cfg := &config.Config{Seed: begin.Seed, Settings: wire.Settings{Settings: begin.Settings, Zones: s.Zones, KindNames: s.Kinds, Weights: s.Weights}}
	cfg.Limits = config.Limits{Queue: 1, WindowMargin: s.WindowMargin, BusyRetry: s.BusyRetry, AnswerWithin: s.AnswerWithin,
		BodySize: s.BodySize, DrainSends: s.DrainSends, DrainExit: s.DrainExit, NoticesPerCall: s.NoticesPerCall,
		NoticeTimeout: s.NoticeTimeout, NoticeRetry: s.NoticeRetry, NoticeRetryMax: s.NoticeRetryMax, WatchRetry: s.WatchRetry,
		WatchSpread: s.WatchSpread, EndedRetention: s.EndedRetention, MaxEnded: s.MaxEnded}
	cfg.Settings.Classes = slices.Clone(cfg.Settings.Classes)
	for i := range cfg.Settings.Classes { // the reverse of ModuleSettings
		if class := &cfg.Settings.Classes[i]; class.Memory > 0 {
			class.Memory += s.WindowMargin
		}
	}
	return cfg
}

var (
	errNoCoreSettings = errors.New("capture: the core's state stands there without its settings, or without the module's")
	errAsRecorded     = errors.New("as recorded") // what the journal of a replayed core fails with
)

// input replays one turn and compares the module's events, its actions and what the core does.
func (r *CoreReplay) input(recorded *capture.Input, turn *capture.Turn) error {
	core := r.core
	r.journalFullFor, r.accepts, r.flushFails, r.recorded = recorded.Full, 0, recorded.Failed, singleTurn{}
	difference := &CoreDifferenceError{Input: recorded, Turn: turn}
	now := core.timeOf(recorded.Now)
	var events []event
	moduleOutcomes := outcomes(turn, len(core.moduleEvents))
	for i := range recorded.Events {
		ev, err := core.eventFrom(&recorded.Events[i], now, &moduleOutcomes)
		if err != nil {
			difference.Reason = err.Error()
			r.core = nil // it can't go on without that
			return difference
		}
		events = append(events, ev)
	}
	core.Turn(now, events)
	var expected capture.Turn
	if turn != nil && recorded.No != 0 {
		expected = *turn
	}
	switch {
	case r.recorded.hasTurn != (recorded.No != 0):
		difference.Reason = "the module has a turn in one of them only"
	case !reflect.DeepEqual(empty(expected.Events), empty(r.recorded.events)):
		difference.Reason = "the module is told something else"
	case !slices.Equal(expected.Actions, r.recorded.actions):
		difference.Reason = "the module decides otherwise"
	case recorded.Sum != r.recorded.input.Sum:
		difference.Reason = "the core does something else"
	default:
		r.Turns++
		return nil
	}
	difference.Got, difference.ModuleEvents, difference.ModuleActions = r.recorded.input, r.recorded.events, r.recorded.actions
	difference.State = core.policy.Snapshot()
	r.core = nil // what follows would differ too
	return difference
}

// empty makes no difference between an empty list and none.
func empty[T any](all []T) []T {
	if len(all) == 0 {
		return nil
	}
	return all
}

// outcomes are those in the module's events of a turn, without those of the events that were pending from the turn before.
func outcomes(turn *capture.Turn, pending int) (outs []Outcome) {
	if turn == nil {
		return nil
	}
	for _, e := range turn.Events[min(pending, len(turn.Events)):] {
		if e.Kind == control.Resolved {
			outs = append(outs, Outcome{Result: e.Result, RetryAfter: e.RetryAfter, Final: e.Final, Reported: e.Reported,
				Share: e.Remaining, Limit: e.Limit})
		}
	}
	return outs
}
