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

// CoreReplay drives a complete core with a capture in place of its clock, fronts and journal, and compares everything the core does
// with the recording. Record must be called with the capture's records in their order, by one goroutine. The zero value is ready for
// use.
type CoreReplay struct {
	Turns int // replayed turns that matched their record

	begin          capture.Begin
	snapshot       *control.Snapshot // of the module, from the last capture.State; nil if there was none
	turn           *capture.Turn     // of the module, until the capture.Input of the core's turn follows
	core           *Core             // nil until the next recorded state
	journalFullFor []int             // indices of the current turn's arrivals that the journal has no room for
	accepts        int               // calls of the journal's Accept in the current turn
	flushFails     bool              // the journal's Flush fails in the current turn
	recorded       singleTurn
}

// CoreDifferenceError is the first turn in which the replayed core differs from the record. Got, ModuleEvents, ModuleActions and State are
// empty if the turn could not be replayed at all.
type CoreDifferenceError struct {
	Input         *capture.Input    // the recorded turn
	Turn          *capture.Turn     // the module's part of the recorded turn; nil if it had none
	Got           capture.Input     // what the replayed core did
	ModuleEvents  []control.Event   // what the replayed core passed to the module
	ModuleActions []control.Action  // what the replayed module decided
	State         *control.Snapshot // of the replayed module after the turn
	Reason        string            // the first part that differs
}

// Error names the turn by its time on the module's clock, and the reason.
func (d *CoreDifferenceError) Error() string {
	return fmt.Sprintf("capture: the core's turn at %v differs: %s", d.Input.Now, d.Reason)
}

// singleTurn is a recorder that keeps the last turn of a replayed core for the comparison.
type singleTurn struct {
	hasTurn bool
	events  []control.Event
	actions []control.Action
	input   capture.Input
}

// WantsState is false: a replay compares turns, not states.
func (t *singleTurn) WantsState() bool { return false }

// State implements recorder; it is never called since WantsState returns false.
func (t *singleTurn) State(*control.Snapshot, *capture.Core, []capture.Name, []capture.Message) {
}

// Turn keeps copies of the module's events and actions: the core reuses its slices.
func (t *singleTurn) Turn(_ time.Duration, events []control.Event, actions []control.Action) {
	t.hasTurn, t.events, t.actions = true, slices.Clone(events), slices.Clone(actions)
}

// Turns returns a constant: the replay compares only whether the module had a turn, not its number.
func (t *singleTurn) Turns() uint64 { return 1 }

// Input keeps a copy of the core's record of the turn.
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

// Tick implements recorder; there are no delayed writes.
func (t *singleTurn) Tick(time.Time) {}

// Close implements recorder.
func (t *singleTurn) Close() {}

// Record processes the next record. It returns a *CoreDifferenceError at the first turn that differs, or another error if a recorded state
// can't be restored. After a difference it skips all records up to the next state.
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

// State returns a copy of the core's state after the last turn, or nil if no core is running.
func (r *CoreReplay) State() *capture.Core {
	if r.core == nil {
		return nil
	}
	return r.core.state()
}

// resume creates a core in a recorded state.
func (r *CoreReplay) resume(state *capture.Core) error {
	if r.begin.Core == nil || r.snapshot == nil {
		return errNoCoreSettings
	}
	memory := &journal.Memory{Full: func(*journal.Entry) bool {
		r.accepts++
		return slices.Contains(r.journalFullFor, r.accepts-1)
	}, Failed: func() error {
		if r.flushFails {
			return errRecordedFailure
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

// configOf returns the part of a recorded relay's configuration that its core needs.
func configOf(begin *capture.Begin) *config.Config {
	s := begin.Core
	cfg := &config.Config{Seed: begin.Seed, Settings: wire.Settings{Settings: begin.Settings, Zones: s.Zones, KindNames: s.Kinds, Weights: s.Weights}}
	cfg.Limits = config.Limits{Queue: 1, WindowMargin: s.WindowMargin, BusyRetry: s.BusyRetry, AnswerWithin: s.AnswerWithin,
		BodySize: s.BodySize, DrainSends: s.DrainSends, DrainExit: s.DrainExit, NoticesPerCall: s.NoticesPerCall,
		NoticeTimeout: s.NoticeTimeout, NoticeRetry: s.NoticeRetry, NoticeRetryMax: s.NoticeRetryMax, WatchRetry: s.WatchRetry,
		WatchSpread: s.WatchSpread, EndedRetention: s.EndedRetention, MaxEnded: s.MaxEnded}
	cfg.Settings.Classes = slices.Clone(cfg.Settings.Classes)
	for i := range cfg.Settings.Classes { // the reverse of ModuleSettings
		if class := &cfg.Settings.Classes[i]; class.DedupWindow > 0 {
			class.DedupWindow += s.WindowMargin
		}
	}
	return cfg
}

var (
	errNoCoreSettings  = errors.New("capture: core state without preceding core settings or module state")
	errRecordedFailure = errors.New("journal flush failed, as recorded")
)

// input replays one turn, and compares the module's events, the module's actions and the core's actions.
func (r *CoreReplay) input(recorded *capture.Input, turn *capture.Turn) error {
	core := r.core
	r.journalFullFor, r.accepts, r.flushFails, r.recorded = recorded.Full, 0, recorded.Failed, singleTurn{}
	difference := &CoreDifferenceError{Input: recorded, Turn: turn}
	now := core.fromModuleTime(recorded.Now)
	var events []event
	moduleOutcomes := resolvedOutcomes(turn, len(core.moduleEvents))
	for i := range recorded.Events {
		ev, err := core.replayedEvent(&recorded.Events[i], now, &moduleOutcomes)
		if err != nil {
			difference.Reason = err.Error()
			r.core = nil // the core's state is not as recorded without the event
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
		difference.Reason = "the module took a turn in only one of the recording and the replay"
	case !reflect.DeepEqual(nilIfEmpty(expected.Events), nilIfEmpty(r.recorded.events)):
		difference.Reason = "the module got other events than recorded"
	case !slices.Equal(expected.Actions, r.recorded.actions):
		difference.Reason = "the module decided on other actions than recorded"
	case recorded.Sum != r.recorded.input.Sum:
		difference.Reason = "the core's actions differ from the recorded checksum"
	default:
		r.Turns++
		return nil
	}
	difference.Got, difference.ModuleEvents, difference.ModuleActions = r.recorded.input, r.recorded.events, r.recorded.actions
	difference.State = core.policy.Snapshot()
	r.core = nil // all later turns would differ too
	return difference
}

// nilIfEmpty returns nil for an empty slice, so that reflect.DeepEqual treats both alike.
func nilIfEmpty[T any](all []T) []T {
	if len(all) == 0 {
		return nil
	}
	return all
}

// resolvedOutcomes returns the outcomes in a turn's module events, except the first pending events, which were left from the turn before.
func resolvedOutcomes(turn *capture.Turn, pending int) (outs []Outcome) {
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
