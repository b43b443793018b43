package capture

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"mastusher/control"
)

// ErrNoMessage is returned where a capture knows nothing of a message.
var ErrNoMessage = errors.New("capture: no message has that id")

// Story tells a message's way through a capture, attempt by attempt. It replays from the last state before the message
// comes, and no further than it must: the index says where that is.
func Story(r *Reader, id string) ([]string, error) {
	t := &storyTeller{player: newPlayer(), id: id, openRefs: map[uint64]bool{}}
	last, err := r.seekMessage(id, t)
	if err != nil {
		return nil, err
	}
	t.player.before, t.player.after = t.snapshotBefore, t.tellTurn
	for {
		c, err := r.Next()
		if err != nil {
			break // io.EOF: what is torn is not told
		}
		if err := r.Records(c, t.record); err != nil {
			return t.lines, err
		}
		if c.At >= last && len(t.openRefs) == 0 {
			break
		}
	}
	if !t.found {
		return nil, fmt.Errorf("%w: %q", ErrNoMessage, id)
	}
	return t.lines, nil
}

// seekMessage goes to where a replay must begin to see all of a message, and tells where the last chunk stands in which
// it comes.
func (r *Reader) seekMessage(id string, t *storyTeller) (last int64, err error) {
	index, err := r.Index()
	if err != nil {
		return 0, err
	}
	state, from := -1, -1
	for i := range index {
		if index[i].State {
			state = i
		}
		if index[i].Holds(id) {
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
	c, err := r.Next()
	if err != nil {
		return fmt.Errorf("capture: its first chunk can't be read: %w", err)
	}
	err = r.Records(c, func(record any) error {
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

// storyTeller writes down what concerns one message.
type storyTeller struct {
	player   *player
	id       string
	found    bool
	start    time.Duration
	openRefs map[uint64]bool // its numbers, as long as it is not over
	before   *control.Snapshot
	lines    []string
}

func (t *storyTeller) record(record any) error {
	if m, ok := record.(*Message); ok && m.ID == t.id {
		t.found, t.openRefs[m.Ref] = true, true
	}
	err := t.player.record(record)
	if errors.Is(err, ErrGap) {
		t.lines = append(t.lines, err.Error())
		t.player.options.PastGap = true
		err = nil
	}
	return err
}

func (t *storyTeller) snapshotBefore(*Turn) {
	if t.before = nil; len(t.openRefs) > 0 {
		t.before = t.player.module.Snapshot()
	}
}

func (t *storyTeller) tellTurn(turn *Turn) {
	if t.before == nil {
		return
	}
	res := t.player.result
	at := func(s string) {
		t.lines = append(t.lines, fmt.Sprintf("%12v turn %d: %s", turn.Now-t.start, turn.No, s))
	}
	var over []uint64
	for _, e := range turn.Events {
		if (e.Kind == control.Arrived || e.Kind == control.Resolved || e.Kind == control.Withdrawn) && t.openRefs[e.ID] {
			at(res.Event(e))
			if e.Kind == control.Withdrawn || e.Kind == control.Resolved && (e.Result == control.Delivered || e.Final) {
				over = append(over, e.ID)
			}
		}
	}
	for _, a := range t.player.actions {
		if a.Kind == control.Log || a.Kind == control.Wake || a.Kind == control.Subscribe || a.Kind == control.Close || !t.openRefs[a.ID] {
			continue
		}
		at(res.Action(a))
		switch a.Kind {
		case control.Send:
			for _, why := range Explain(t.before, res, alternatives(t.before, a.Endpoint)) {
				t.lines = append(t.lines, strings.Repeat(" ", 14)+why)
			}
		case control.Refuse, control.Fail:
			over = append(over, a.ID)
		}
	}
	for _, ref := range over {
		delete(t.openRefs, ref)
	}
}

// alternatives are an endpoint and those that its messages might have gone to as well.
func alternatives(x *control.Snapshot, endpoint uint32) map[uint32]bool {
	all := map[uint32]bool{}
	for _, n := range x.Destinations {
		if slices.ContainsFunc(n.Endpoints, func(e control.EndpointSnapshot) bool { return e.ID == endpoint }) {
			for _, e := range n.Endpoints {
				all[e.ID] = true
			}
		}
	}
	return all
}
