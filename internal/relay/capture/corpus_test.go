package capture

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mastusher/control"
)

var corpus = flag.Bool("corpus", false, "write testdata anew: only where decisions are meant to change")

// scene is one trouble, played on a grid of turns.
type scene struct {
	// answer is what comes of a call to an endpoint at a time, after how long, and the wait told.
	answer func(at time.Duration, endpoint uint32, ref uint64) (control.Result, time.Duration, time.Duration)
	// events are what else happens, in the turn at that time, behind what arrives and is resolved then unless first.
	events map[time.Duration][]control.Event
	first  bool
	clock  func(at time.Duration) time.Duration // as the module is told it
	rate   int                                  // arrivals in ten turns
}

const grid = 25 * time.Millisecond

func change(state control.State, ids ...uint32) control.Event {
	ev := control.Event{Kind: control.Listed}
	for _, id := range ids {
		ev.Endpoints = append(ev.Endpoints, control.Endpoint{ID: id, Zone: int(id) % 2, Kind: int(id) % 2, Destination: int(id) / 2, State: state})
	}
	return ev
}

func well(time.Duration, uint32, uint64) (control.Result, time.Duration, time.Duration) {
	return control.Delivered, 80 * time.Millisecond, 0
}

// during gives endpoints 2 and 3, one partner, a trouble for a time.
func during(from, to time.Duration, result control.Result, took, wait time.Duration) func(time.Duration, uint32, uint64) (control.Result, time.Duration, time.Duration) {
	return func(at time.Duration, endpoint uint32, ref uint64) (control.Result, time.Duration, time.Duration) {
		if endpoint/2 == 1 && at >= from && at < to {
			return result, took, wait
		}
		return well(at, endpoint, ref)
	}
}

var scenes = map[string]scene{
	"silent-partner":   {answer: during(3*time.Second, 9*time.Second, control.TimedOut, time.Hour, 0)},
	"refusing-partner": {answer: during(3*time.Second, 9*time.Second, control.Throttled, 10*time.Millisecond, 900*time.Millisecond)},
	// A wait that ends in the very turn in which the drain begins: told at 3 s for 1 s.
	"wait-ends-then-drains": {answer: during(3*time.Second, 3*time.Second+grid, control.Throttled, grid, time.Second-grid),
		events: map[time.Duration][]control.Event{4 * time.Second: {change(control.Draining, 2, 3)}, 6 * time.Second: {change(control.Ready, 2, 3)}}},
	"drains-then-wait-ends": {answer: during(3*time.Second, 3*time.Second+grid, control.Throttled, grid, time.Second-grid), first: true,
		events: map[time.Duration][]control.Event{4 * time.Second: {change(control.Draining, 2, 3)}, 6 * time.Second: {change(control.Ready, 2, 3)}}},
	// Word that an endpoint is gone comes seconds late, its replacement before it, and a change of it after that.
	"late-list": {answer: during(2*time.Second, 12*time.Second, control.NoConnection, 5*time.Millisecond, 0), events: map[time.Duration][]control.Event{
		4 * time.Second:         {change(control.Ready, 12)},
		5500 * time.Millisecond: {change(control.Removed, 2)}, 6 * time.Second: {change(control.Draining, 2)}, 8 * time.Second: {change(control.Removed, 3)}}},
	// Two outcomes and a deadline in one turn: calls that all end as the deadlines pass.
	"deadline-with-outcomes": {answer: func(at time.Duration, endpoint uint32, ref uint64) (control.Result, time.Duration, time.Duration) {
		if ref%3 == 0 {
			return control.Errored, 4*time.Second - at%time.Second, 0
		}
		return well(at, endpoint, ref)
	}, rate: 9},
	// A restart: messages resumed from the journal, some of which may have run.
	"restart": {answer: well, events: map[time.Duration][]control.Event{0: resumed()}},
	"clock-back": {answer: during(3*time.Second, 5*time.Second, control.Reset, 20*time.Millisecond, 0), clock: func(at time.Duration) time.Duration {
		if at > 4*time.Second && at < 7*time.Second {
			return at - 1500*time.Millisecond
		}
		return at
	}},
	"cold-return":   {answer: during(2*time.Second, 6*time.Second, control.Errored, 5*time.Millisecond, 0), rate: 12},
	"spoilt":        {answer: during(2*time.Second, 8*time.Second, control.Malformed, 60*time.Millisecond, 0)},
	"told-too-long": {answer: during(3*time.Second, 6*time.Second, control.Throttled, 5*time.Millisecond, 4*time.Second)},
}

func resumed() (all []control.Event) {
	for i := range 12 {
		ev := control.Event{Kind: control.Arrived, ID: uint64(1000 + i), Destination: i % 4, Class: i % 3, Deadline: start + time.Duration(2+i)*time.Second, Resubmitted: i%2 == 0, Attempt: i % 5}
		if ev.Attempt > 0 && i%2 == 0 {
			ev.MayHaveRun, ev.RanAt, ev.Endpoint = true, start-time.Duration(i)*400*time.Millisecond, uint32(2*(i%4))
		}
		all = append(all, ev)
	}
	return all
}

const start = 24 * time.Hour

// sceneLength is how long a scene runs.
const sceneLength = 12 * time.Second

// sceneRun is a scene under way, with its module and its capture.
type sceneRun struct {
	*scene
	module   *control.Sender
	chunker  *chunker
	file     bytes.Buffer
	rng      *rand.Rand
	calls    []timed        // that are out, with what comes of them
	attempts map[uint64]int // begun for each message
	lastRef  uint64
	err      error // of the capture
}

// run runs a scene and returns its capture.
func (s *scene) run(name string) ([]byte, error) {
	run, err := s.begin(name)
	if err != nil {
		return nil, err
	}
	for no, at := uint64(1), time.Duration(0); at < sceneLength; no, at = no+1, at+grid {
		run.turn(no, at)
	}
	if run.err == nil {
		run.err = run.chunker.flushTo(&run.file)
	}
	return run.file.Bytes(), run.err
}

// begin makes a module and the start of its capture.
func (s *scene) begin(name string) (*sceneRun, error) {
	module, err := control.New(settings(), 11)
	if err != nil {
		return nil, err
	}
	chunker, err := newChunker()
	if err != nil {
		return nil, err
	}
	run := &sceneRun{scene: s, module: module, chunker: chunker, rng: rand.New(rand.NewPCG(11, 11)), attempts: map[uint64]int{}}
	run.file.Write(fileHeader())
	run.record(TypeBegin, &Begin{Relay: name, Clock: start, Seed: 11, Settings: settings()})
	run.record(TypeState, &State{})
	for _, event := range s.events[0] {
		run.attempts[event.ID] = event.Attempt
	}
	return run, nil
}

// record appends a record to the capture, unless one before failed.
func (r *sceneRun) record(recordType Type, record any) {
	if r.err == nil {
		r.err = r.chunker.add(recordType, record)
	}
}

// turn steps the module with all that happens at a time, and records that.
func (r *sceneRun) turn(no uint64, at time.Duration) {
	events := r.turnEvents(no, at)
	now := at
	if r.clock != nil {
		now = r.clock(at)
	}
	actions := r.module.Step(start+now, events, nil)
	r.record(TypeTurn, &Turn{no, start + now, events, actions})
	r.call(at, actions)
}

// turnEvents returns all events of a turn, in the order in which the module is told them.
func (r *sceneRun) turnEvents(no uint64, at time.Duration) (events []control.Event) {
	if no == 1 {
		list := change(control.Ready, 0, 1, 2, 3, 4, 5, 6, 7)
		list.Complete = true
		events = append(events, list)
	}
	if r.first {
		events = append(events, r.events[at]...)
	}
	events = append(events, takeDue(&r.calls, at)...)
	events = append(events, r.arrivals(no, at)...)
	if !r.first {
		events = append(events, r.events[at]...)
	}
	return append(events, control.Event{Kind: control.Woken})
}

// arrivals draws the messages that arrive in a turn, one at most for each turn so far, and records their ids.
func (r *sceneRun) arrivals(no uint64, at time.Duration) (events []control.Event) {
	rate := max(r.rate, 4)
	for r.rng.IntN(10) < rate && r.lastRef < no {
		r.lastRef++
		class := r.rng.IntN(3)
		events = append(events, control.Event{Kind: control.Arrived, ID: r.lastRef, Destination: r.rng.IntN(4), Class: class, Key: uint64(r.rng.IntN(5)),
			Deadline: start + at + []time.Duration{4, 8, 4}[class]*time.Second})
		r.record(TypeMessage, &Message{r.lastRef, "platform", fmt.Sprint("m-", r.lastRef)})
	}
	return events
}

// call makes the calls that the module has decided on, each with what the scene answers.
func (r *sceneRun) call(at time.Duration, actions []control.Action) {
	for _, action := range actions {
		if action.Kind != control.Send {
			continue
		}
		result, took, wait := r.answer(at, action.Endpoint, action.ID)
		if took > action.For {
			result, took, wait = control.TimedOut, action.For, 0
		}
		r.calls = append(r.calls, timed{at + took, control.Event{Kind: control.Resolved, ID: action.ID, Attempt: r.attempts[action.ID],
			Endpoint: action.Endpoint, Result: result, RetryAfter: wait}})
		r.attempts[action.ID]++
	}
}

// TestCorpus_Scenes_MatchTheirCaptures: each scene decides what its capture in the corpus tells; with -corpus the captures are written anew.
func TestCorpus_Scenes_MatchTheirCaptures(t *testing.T) {
	for name, sc := range scenes {
		text, err := sc.run(name)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join("testdata", name+Ext)
		if *corpus {
			if err = os.WriteFile(file, text, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		res, err := replayed(text, Options{})
		if err != nil || res.Turns != 480 || res.Outcomes["delivered"] == 0 {
			t.Errorf("%s: %+v, %v", name, res, err)
		}
		if _, err := os.Stat(file); err != nil {
			t.Errorf("%s is not in the corpus", name)
		}
	}
}
