package capture

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"mastusher/control"
)

// Options holds the options of a replay.
type Options struct {
	Until   time.Duration // time at which the replay ends, on the module's clock; 0: at the end of the file
	PastGap bool          // continue after a gap, at the next state
	// Settings, if not nil, replaces the capture's settings. Then differences are counted and do not end the replay.
	Settings *control.Settings
	// Core, if not nil, is called with each record; see engine.CoreReplay. If the capture is of a whole core, only the module
	// inside that core is compared with the recording, and Replay runs none of its own. An error of Core ends the replay.
	Core func(record any) error
	// Progress, if not nil, is called with the share of the file, from 0 to 1, that has been replayed.
	Progress func(share float64)
}

// Result is the result of a replay.
type Result struct {
	Begin    Begin
	Turns    int
	Events   int
	Actions  int
	Differ   int // turns that differ, counted under other settings
	Gaps     int
	First    time.Duration // time of the first turn, on the module's clock
	Last     time.Duration // time of the last turn
	Names    map[uint32]Name
	Messages map[uint64]Message
	Notes    []Note
	Outcomes map[string]int // number of messages, by what became of them
	Torn     error          // see Reader.Torn
}

// Replay passes a capture's events to a module and compares its actions with the recorded ones. It returns a *DifferenceError
// at the first turn that differs, ErrGap where turns are missing, ErrNoTurn for a capture without turns, and otherwise nil at
// the end of the readable part.
func Replay(r *Reader, o Options) (*Result, error) {
	p := newPlayer()
	p.options = o
	err := r.Each(func(record any) error {
		if o.Progress != nil {
			o.Progress(r.Progress())
		}
		if err := p.record(record); err != nil || o.Core == nil {
			return err
		}
		return o.Core(record)
	})
	if errors.Is(err, errStop) {
		err = nil
	}
	p.result.Torn = r.Torn
	if err == nil && p.result.Turns == 0 {
		err = ErrNoTurn
	}
	return p.result, err
}

// player replays records one by one: it steps a module with the events of each turn and compares the module's actions.
type player struct {
	options Options
	result  *Result
	module  *control.Sender
	actions []control.Action
	inGap   bool

	before, after func(t *Turn) // if not nil, called before and after each turn
}

func newPlayer() *player {
	return &player{result: &Result{Names: map[uint32]Name{}, Messages: map[uint64]Message{}, Outcomes: map[string]int{}}}
}

// record replays the next record of a capture.
func (p *player) record(record any) error {
	switch record := record.(type) {
	case *Begin:
		p.result.Begin = *record
	case *Name:
		p.result.Names[record.Number] = *record
	case *Message:
		p.result.Messages[record.Ref] = *record
	case *Note:
		p.result.Notes = append(p.result.Notes, *record)
	case *Gap:
		p.result.Gaps++
		if p.inGap = true; !p.options.PastGap {
			return fmt.Errorf("%w: %d after %d replayed turns (%s)", ErrGap, record.Turns, p.result.Turns, record.Reason)
		}
	case *State:
		return p.restore(record)
	case *Turn:
		return p.turn(record)
	}
	return nil
}

// restore sets the module to a recorded state. Under other settings the module keeps its own state instead, except after a gap.
func (p *player) restore(state *State) (err error) {
	if p.module != nil && p.options.Settings != nil && !p.inGap {
		return nil
	}
	p.inGap = false
	settings := p.result.Begin.Settings
	if p.options.Settings != nil {
		settings = *p.options.Settings
	}
	if state.Snapshot == nil {
		p.module, err = control.New(settings, p.result.Begin.Seed)
	} else {
		p.module, err = control.Restore(settings, state.Snapshot)
	}
	return err
}

// turn steps the module with a recorded turn. It returns a *DifferenceError if the actions differ, unless differences are only counted.
func (p *player) turn(t *Turn) error {
	if p.module == nil || p.inGap {
		return nil
	}
	if p.options.Until > 0 && t.Now > p.options.Until {
		return errStop
	}
	if p.before != nil {
		p.before(t)
	}
	replayedByCore := p.options.Core != nil && p.result.Begin.Core != nil
	if replayedByCore {
		p.actions = append(p.actions[:0], t.Actions...)
	} else {
		p.actions = p.module.Step(t.Now, t.Events, p.actions[:0])
	}
	if p.result.Turns == 0 {
		p.result.First = t.Now
	}
	p.result.Turns++
	p.result.Last = t.Now
	p.result.Events += len(t.Events)
	p.result.Actions += len(p.actions)
	p.count(t)
	if p.after != nil {
		p.after(t)
	}
	if replayedByCore || slices.Equal(t.Actions, p.actions) {
		return nil
	}
	if p.options.Settings != nil {
		p.result.Differ++
		return nil
	}
	return &DifferenceError{Turn: t, Got: slices.Clone(p.actions), State: Explain(p.module.Snapshot(), p.result, ConcernedEndpoints(t, p.actions))}
}

// count counts what becomes of messages in the replay, where the destinations' answers are those recorded.
func (p *player) count(t *Turn) {
	for _, e := range t.Events {
		switch {
		case e.Kind == control.Arrived:
			p.result.Outcomes["arrived"]++
		case e.Kind == control.Resolved && e.Result == control.Delivered:
			p.result.Outcomes["delivered"]++
		case e.Kind == control.Withdrawn:
			p.result.Outcomes["withdrawn"]++
		}
	}
	for _, a := range p.actions {
		switch a.Kind {
		case control.Send:
			p.result.Outcomes["sent"]++
		case control.Refuse:
			p.result.Outcomes["handed back"]++
		case control.Fail:
			p.result.Outcomes["given up"]++
		}
	}
}
