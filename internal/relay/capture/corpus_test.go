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

var corpus = flag.Bool("corpus", false, "rewrite the captures in testdata, after an intended change of the module's decisions")

// scenario is a run of the module with one kind of fault, in turns at intervals of grid.
type scenario struct {
	// answer returns the result of a call to an endpoint at a time, how long the call takes, and the retry-after in the answer.
	answer func(at time.Duration, endpoint uint32, ref uint64) (control.Result, time.Duration, time.Duration)
	// events are the other events, by the time of their turn. They come last in the turn or, with first, before outcomes and arrivals.
	events map[time.Duration][]control.Event
	first  bool
	clock  func(at time.Duration) time.Duration // the module's clock at a time; nil: the same
	rate   int                                  // arrivals in ten turns, at least 4
}

const grid = 25 * time.Millisecond

func listChange(state control.State, ids ...uint32) control.Event {
	ev := control.Event{Kind: control.Listed}
	for _, id := range ids {
		ev.Endpoints = append(ev.Endpoints, control.Endpoint{ID: id, Zone: int(id) % 2, Kind: int(id) % 2, Destination: int(id) / 2, State: state})
	}
	return ev
}

func delivered(time.Duration, uint32, uint64) (control.Result, time.Duration, time.Duration) {
	return control.Delivered, 80 * time.Millisecond, 0
}

// failing returns an answer function with which the calls to endpoints 2 and 3, both of one partner, end with result between two times.
func failing(from, to time.Duration, result control.Result, took, wait time.Duration) func(time.Duration, uint32, uint64) (control.Result, time.Duration, time.Duration) {
	return func(at time.Duration, endpoint uint32, ref uint64) (control.Result, time.Duration, time.Duration) {
		if endpoint/2 == 1 && at >= from && at < to {
			return result, took, wait
		}
		return delivered(at, endpoint, ref)
	}
}

var scenarios = map[string]scenario{
	"silent-partner":   {answer: failing(3*time.Second, 9*time.Second, control.TimedOut, time.Hour, 0)},
	"refusing-partner": {answer: failing(3*time.Second, 9*time.Second, control.Throttled, 10*time.Millisecond, 900*time.Millisecond)},
	// A wait of 1 s, from 3 s on, that ends in the very turn in which a drain begins.
	"wait-ends-then-drains": {answer: failing(3*time.Second, 3*time.Second+grid, control.Throttled, grid, time.Second-grid),
		events: map[time.Duration][]control.Event{4 * time.Second: {listChange(control.Draining, 2, 3)}, 6 * time.Second: {listChange(control.Ready, 2, 3)}}},
	"drains-then-wait-ends": {answer: failing(3*time.Second, 3*time.Second+grid, control.Throttled, grid, time.Second-grid), first: true,
		events: map[time.Duration][]control.Event{4 * time.Second: {listChange(control.Draining, 2, 3)}, 6 * time.Second: {listChange(control.Ready, 2, 3)}}},
	// The removal of an endpoint is listed seconds late, after its replacement; then the removed endpoint is listed once more.
	"late-list": {answer: failing(2*time.Second, 12*time.Second, control.NoConnection, 5*time.Millisecond, 0), events: map[time.Duration][]control.Event{
		4 * time.Second:         {listChange(control.Ready, 12)},
		5500 * time.Millisecond: {listChange(control.Removed, 2)}, 6 * time.Second: {listChange(control.Draining, 2)}, 8 * time.Second: {listChange(control.Removed, 3)}}},
	// Several outcomes and a deadline in one turn: calls that end when the deadlines pass.
	"deadline-with-outcomes": {answer: func(at time.Duration, endpoint uint32, ref uint64) (control.Result, time.Duration, time.Duration) {
		if ref%3 == 0 {
			return control.Errored, 4*time.Second - at%time.Second, 0
		}
		return delivered(at, endpoint, ref)
	}, rate: 9},
	// A restart: messages restored from the journal, some of which may have run.
	"restart": {answer: delivered, events: map[time.Duration][]control.Event{0: restored()}},
	"clock-back": {answer: failing(3*time.Second, 5*time.Second, control.Reset, 20*time.Millisecond, 0), clock: func(at time.Duration) time.Duration {
		if at > 4*time.Second && at < 7*time.Second {
			return at - 1500*time.Millisecond
		}
		return at
	}},
	"cold-return":   {answer: failing(2*time.Second, 6*time.Second, control.Errored, 5*time.Millisecond, 0), rate: 12},
	"spoilt":        {answer: failing(2*time.Second, 8*time.Second, control.Malformed, 60*time.Millisecond, 0)},
	"told-too-long": {answer: failing(3*time.Second, 6*time.Second, control.Throttled, 5*time.Millisecond, 4*time.Second)},
}

func restored() (all []control.Event) {
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

// scenarioLength is the duration of a scenario.
const scenarioLength = 12 * time.Second

// scenarioRun is the state of a running scenario, with its module and its capture.
type scenarioRun struct {
	*scenario
	module   *control.Sender
	chunker  *chunker
	file     bytes.Buffer
	rng      *rand.Rand
	calls    []timed        // the calls in flight: their outcomes and when these come
	attempts map[uint64]int // number of attempts begun, by message
	lastRef  uint64
	err      error // from writing the capture
}

// run runs a scenario and returns its capture.
func (s *scenario) run(name string) ([]byte, error) {
	run, err := s.begin(name)
	if err != nil {
		return nil, err
	}
	for no, at := uint64(1), time.Duration(0); at < scenarioLength; no, at = no+1, at+grid {
		run.turn(no, at)
	}
	if run.err == nil {
		run.err = run.chunker.flushTo(&run.file)
	}
	return run.file.Bytes(), run.err
}

// begin makes a module and writes the start of its capture.
func (s *scenario) begin(name string) (*scenarioRun, error) {
	module, err := control.New(settings(), 11)
	if err != nil {
		return nil, err
	}
	chunker, err := newChunker()
	if err != nil {
		return nil, err
	}
	run := &scenarioRun{scenario: s, module: module, chunker: chunker, rng: rand.New(rand.NewPCG(11, 11)), attempts: map[uint64]int{}}
	run.file.Write(fileHeader())
	run.record(TypeBegin, &Begin{Relay: name, Clock: start, Seed: 11, Settings: settings()})
	run.record(TypeState, &State{})
	for _, event := range s.events[0] {
		run.attempts[event.ID] = event.Attempt
	}
	return run, nil
}

// record appends a record to the capture, unless an earlier one failed.
func (r *scenarioRun) record(recordType Type, record any) {
	if r.err == nil {
		r.err = r.chunker.add(recordType, record)
	}
}

// turn steps the module with the events at a time, and records the turn.
func (r *scenarioRun) turn(no uint64, at time.Duration) {
	events := r.turnEvents(no, at)
	now := at
	if r.clock != nil {
		now = r.clock(at)
	}
	actions := r.module.Step(start+now, events, nil)
	r.record(TypeTurn, &Turn{no, start + now, events, actions})
	r.call(at, actions)
}

// turnEvents returns all events of a turn, in the order in which the module receives them.
func (r *scenarioRun) turnEvents(no uint64, at time.Duration) (events []control.Event) {
	if no == 1 {
		list := listChange(control.Ready, 0, 1, 2, 3, 4, 5, 6, 7)
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

// arrivals draws the messages that arrive in a turn and records their ids. By turn n at most n messages have arrived.
func (r *scenarioRun) arrivals(no uint64, at time.Duration) (events []control.Event) {
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

// call starts the calls that the module has decided on, with the scenario's answers.
func (r *scenarioRun) call(at time.Duration, actions []control.Action) {
	for _, action := range actions {
		if action.Kind != control.Send {
			continue
		}
		result, took, wait := r.answer(at, action.Endpoint, action.ID)
		if took > action.Duration {
			result, took, wait = control.TimedOut, action.Duration, 0
		}
		r.calls = append(r.calls, timed{at + took, control.Event{Kind: control.Resolved, ID: action.ID, Attempt: r.attempts[action.ID],
			Endpoint: action.Endpoint, Result: result, RetryAfter: wait}})
		r.attempts[action.ID]++
	}
}

// TestCorpus_Scenarios_MatchTheirCaptures: each scenario runs and replays, and has a capture in the corpus. With -corpus the captures are
// rewritten.
func TestCorpus_Scenarios_MatchTheirCaptures(t *testing.T) {
	for name, sc := range scenarios {
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
			t.Errorf("%s: %+v, error %v; want 480 turns and some deliveries", name, res, err)
		}
		if _, err := os.Stat(file); err != nil {
			t.Errorf("%s has no capture in testdata", name)
		}
	}
}
