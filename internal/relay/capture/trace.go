package capture

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"mastusher/control"
)

// Trace returns what happened to a message, one line for each event and action. It uses the index to replay only from the last
// state before the message arrives to the message's end. Its error is ErrNoMessage if the capture has no message with that id.
func Trace(r *Reader, id string) ([]string, error) {
	t := &messageTracer{player: newPlayer(), id: id, openRefs: map[uint64]bool{}}
	last, seekErr := r.seekMessage(id, t)
	if seekErr != nil {
		return nil, seekErr
	}
	t.player.before, t.player.after = t.snapshotBefore, t.traceTurn
	for {
		chunk, err := r.Next()
		if err != nil {
			break // io.EOF: the trace ends before a torn chunk
		}
		if err := r.Records(chunk, t.record); err != nil {
			return t.trace, err
		}
		if chunk.At >= last && len(t.openRefs) == 0 {
			break
		}
	}
	if !t.found {
		return nil, fmt.Errorf("%w: %q", ErrNoMessage, id)
	}
	return t.trace, nil
}

// seekMessage moves the reader to the state from which a replay covers all of a message, and returns the offset of the last
// chunk that may contain the message.
func (r *Reader) seekMessage(id string, t *messageTracer) (last int64, err error) {
	index, err := r.Index()
	if err != nil {
		return 0, err
	}
	state, from := -1, -1
	for i := range index {
		if index[i].State {
			state = i
		}
		if index[i].MayContain(id) {
			if last = index[i].At; from < 0 {
				from = max(state, 0)
			}
		}
	}
	if from < 0 {
		return 0, fmt.Errorf("%w: %q", ErrNoMessage, id)
	}
	t.start = firstTurn(index)
	return last, t.player.seekTo(r, index, from)
}

// firstTurn returns the time of a file's first turn, on the module's clock.
func firstTurn(index []Chunk) time.Duration {
	for i := range index {
		if index[i].Turns > 0 {
			return index[i].First
		}
	}
	return 0
}

// seekTo moves the reader to a chunk that begins with a state, after replaying the Begin record of the file.
func (p *player) seekTo(r *Reader, index []Chunk, to int) error {
	if to == 0 {
		return nil
	}
	r.SeekTo(&index[0])
	chunk, err := r.Next()
	if err != nil {
		return fmt.Errorf("capture: reading the first chunk: %w", err)
	}
	err = r.Records(chunk, func(record any) error {
		if _, ok := record.(*Begin); !ok {
			return errStop
		}
		return p.record(record)
	})
	r.SeekTo(&index[to])
	if errors.Is(err, errStop) {
		err = nil
	}
	return err
}

// messageTracer collects the trace of one message.
type messageTracer struct {
	player   *player
	id       string
	found    bool
	start    time.Duration     // time of the capture's first turn
	openRefs map[uint64]bool   // the module's numbers of the message, until it ends
	before   *control.Snapshot // before the current turn; nil: the message is not open
	trace    []string
}

// record replays a record. It adds a gap to the trace and continues after it.
func (t *messageTracer) record(record any) error {
	if m, ok := record.(*Message); ok && m.ID == t.id {
		t.found, t.openRefs[m.Ref] = true, true
	}
	err := t.player.record(record)
	if errors.Is(err, ErrGap) {
		t.trace = append(t.trace, err.Error())
		t.player.options.PastGap = true
		err = nil
	}
	return err
}

// snapshotBefore saves the module's state before a turn while the message is open.
func (t *messageTracer) snapshotBefore(*Turn) {
	if t.before = nil; len(t.openRefs) > 0 {
		t.before = t.player.module.Snapshot()
	}
}

// traceTurn adds the message's events and actions in a replayed turn to the trace.
func (t *messageTracer) traceTurn(turn *Turn) {
	if t.before == nil {
		return
	}
	var finished []uint64
	for _, event := range turn.Events {
		if t.traceEvent(turn, event) {
			finished = append(finished, event.ID)
		}
	}
	for _, action := range t.player.actions {
		if t.traceAction(turn, action) {
			finished = append(finished, action.ID)
		}
	}
	for _, ref := range finished {
		delete(t.openRefs, ref)
	}
}

// traceEvent adds an event to the trace if it is the message's, and reports whether it ends the message.
func (t *messageTracer) traceEvent(turn *Turn, event control.Event) (ends bool) {
	switch event.Kind {
	case control.Arrived, control.Resolved, control.Withdrawn:
	default:
		return false
	}
	if !t.openRefs[event.ID] {
		return false
	}
	t.add(turn, t.player.result.Event(event))
	return event.Kind == control.Withdrawn || event.Kind == control.Resolved && (event.Result == control.Delivered || event.Final)
}

// traceAction adds an action to the trace if it concerns the traced message, and reports whether it ends the message. After a Send it
// also adds the state of all endpoints to which the message could have been sent.
func (t *messageTracer) traceAction(turn *Turn, action control.Action) (ends bool) {
	switch action.Kind {
	case control.Log, control.Wake, control.Subscribe, control.Close:
		return false
	}
	if !t.openRefs[action.ID] {
		return false
	}
	t.add(turn, t.player.result.Action(action))
	if action.Kind == control.Send {
		for _, line := range Explain(t.before, t.player.result, alternatives(t.before, action.Endpoint)) {
			t.trace = append(t.trace, strings.Repeat(" ", 14)+line)
		}
	}
	return action.Kind == control.Refuse || action.Kind == control.Fail
}

// add adds a line with its time and turn to the trace.
func (t *messageTracer) add(turn *Turn, text string) {
	t.trace = append(t.trace, fmt.Sprintf("%12v turn %d: %s", turn.Now-t.start, turn.No, text))
}

// alternatives returns an endpoint and all others of the same destination.
func alternatives(snapshot *control.Snapshot, endpoint uint32) map[uint32]bool {
	all := map[uint32]bool{}
	for _, destination := range snapshot.Destinations {
		if slices.ContainsFunc(destination.Endpoints, func(e control.EndpointSnapshot) bool { return e.ID == endpoint }) {
			for _, e := range destination.Endpoints {
				all[e.ID] = true
			}
		}
	}
	return all
}
