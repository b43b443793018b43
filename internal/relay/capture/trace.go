package capture

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"mastusher/control"
)

// Trace tells a message's way through a capture, attempt by attempt. It replays from the last state before the message
// comes, and no further than it must: the index says where that is. Its error is ErrNoMessage where the capture knows nothing of it.
func Trace(r *Reader, id string) ([]string, error) {
	t := &messageTracer{player: newPlayer(), id: id, openRefs: map[uint64]bool{}}
	last, Trace := r.seekMessage(id, t)
	if Trace != nil {
		return nil, Trace
	}
	t.player.before, t.player.after = t.snapshotBefore, t.traceTurn
	for {
		chunk, err := r.Next()
		if err != nil {
			break // io.EOF: what is torn is left out
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

// seekMessage goes to where a replay must begin to see all of a message, and tells where the last chunk stands in which
// it comes.
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

// firstTurn is when the first turn of a file was.
func firstTurn(index []Chunk) time.Duration {
	for i := range index {
		if index[i].Turns > 0 {
			return index[i].First
		}
	}
	return 0
}

// seekTo has reading go on at a chunk that begins with a state; what the file itself begins with is taken before.
func (p *player) seekTo(r *Reader, index []Chunk, to int) error {
	if to == 0 {
		return nil
	}
	r.SeekTo(&index[0])
	chunk, err := r.Next()
	if err != nil {
		return fmt.Errorf("capture: its first chunk can't be read: %w", err)
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

// messageTracer writes down what concerns one message.
type messageTracer struct {
	player   *player
	id       string
	found    bool
	start    time.Duration
	openRefs map[uint64]bool // its numbers, as long as it is not over
	before   *control.Snapshot
	trace    []string
}

// record replays a record, and goes on past gaps.
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

// snapshotBefore keeps the state in which the module decides the next turn, while the message is not over.
func (t *messageTracer) snapshotBefore(*Turn) {
	if t.before = nil; len(t.openRefs) > 0 {
		t.before = t.player.module.Snapshot()
	}
}

// traceTurn writes down what concerns the message in a turn that has been replayed.
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

// traceEvent writes down an event of the message, and returns whether that ends it.
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

// traceAction writes down what the module does with the message, and returns whether that ends it. A call comes with the state of
// all destinations that it might have gone to.
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

// add writes down a line with its time and turn.
func (t *messageTracer) add(turn *Turn, text string) {
	t.trace = append(t.trace, fmt.Sprintf("%12v turn %d: %s", turn.Now-t.start, turn.No, text))
}

// alternatives are an endpoint and those that its messages might have gone to as well.
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
