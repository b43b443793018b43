package capture

import (
	"math/rand/v2"
	"time"

	"mastusher/control"
)

// world generates random events for a module from a seed: outcomes of attempts, late endpoint lists, drains, waits, resets and
// arrivals. It does not model partners realistically; its purpose is to make the module take every kind of decision.
type world struct {
	rng        *rand.Rand
	now        time.Duration
	lastRef    uint64
	inFlight   map[uint64]attempt // by message
	attempts   map[uint64]int
	lateEvents []timed
	endpoints  []control.Endpoint
	faults     map[uint32]control.Result // by failing endpoint: the outcome of all its attempts
	waits      map[uint32]time.Duration  // by endpoint: the retry-after of a throttled attempt
}

type attempt struct {
	endpoint uint32
	no       int
	due      time.Duration
	result   control.Result
}

// timed is an event and the time at which the module receives it.
type timed struct {
	at    time.Duration
	event control.Event
}

func settings() control.Settings {
	return control.Settings{Peers: 1, Slots: 12, MaxOpen: 200, MaxAttempts: 6, Cancel: true, ValueHalves: true, MaxRetryAfter: 3 * time.Second,
		Kinds: []control.Kind{{SeparateRoutes: true, MaxMessagesPerCall: 4}, {MaxMessagesPerCall: 1}}, DrainGrace: 250 * time.Millisecond, SlowStartShare: 0.21,
		SlowStart: 14 * time.Second, OverloadWindow: 2 * time.Second, OverloadMultiple: 2, ConnIdle: 15 * time.Second, ZoneFee: []float64{0, 0.05},
		Classes: []control.Class{
			{Name: "match-event", Effect: control.Keyed, DedupScope: control.DedupPerDestination, DedupWindow: 4 * time.Second, LatencyTarget: 3 * time.Second, Deadline: 16 * time.Second, Value: 1, LateValue: 0.3},
			{Name: "score-state", Effect: control.Safe, LatencyTarget: 2 * time.Second, Deadline: 24 * time.Second, Value: 3, LateValue: 0.5},
			{Name: "ordered", Effect: control.Unsafe, InOrder: true, LatencyTarget: 2 * time.Second, Deadline: 9 * time.Second, Value: 2, LateValue: 0.5}}}
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), now: 24 * time.Hour, inFlight: map[uint64]attempt{}, attempts: map[uint64]int{},
		faults: map[uint32]control.Result{}, waits: map[uint32]time.Duration{}}
	for i := range 10 {
		w.endpoints = append(w.endpoints, control.Endpoint{ID: uint32(i + 1), Zone: i % 2, Kind: i % 2, Destination: i / 2})
	}
	return w
}

// turn returns the time and the events of the next turn.
func (w *world) turn(no int) (time.Duration, []control.Event) {
	w.now += time.Duration(5+w.rng.IntN(40)) * time.Millisecond
	var events []control.Event
	if no == 0 {
		events = append(events, control.Event{Kind: control.Listed, Endpoints: append([]control.Endpoint{}, w.endpoints...), Complete: true})
	}
	w.changeFaults()
	w.changeList()
	events = append(events, takeDue(&w.lateEvents, w.now)...)
	events = append(events, w.resolved()...)
	events = append(events, w.arrivals()...)
	if w.rng.IntN(50) == 0 && w.lastRef > 0 {
		events = append(events, control.Event{Kind: control.Withdrawn, ID: 1 + w.rng.Uint64N(w.lastRef)})
	}
	now := w.now
	if w.rng.IntN(100) == 0 { // a clock that steps back
		now -= 50 * time.Millisecond
	}
	return now, append(events, control.Event{Kind: control.Woken})
}

// changeFaults occasionally makes an endpoint fail or recover.
func (w *world) changeFaults() {
	if w.rng.IntN(40) == 0 {
		e := w.endpoints[w.rng.IntN(len(w.endpoints))].ID
		if _, ok := w.faults[e]; ok {
			delete(w.faults, e)
		} else {
			w.faults[e] = []control.Result{control.Errored, control.Throttled, control.TimedOut, control.NoConnection, control.Reset, control.Malformed}[w.rng.IntN(6)]
			if w.waits[e] = 0; w.rng.IntN(2) == 0 {
				w.waits[e] = time.Duration(w.rng.IntN(2000)) * time.Millisecond
			}
		}
	}
}

// changeList occasionally drains, removes or returns an endpoint; the module is told up to four seconds later.
func (w *world) changeList() {
	if w.rng.IntN(60) == 0 {
		i := w.rng.IntN(len(w.endpoints))
		w.endpoints[i].State = control.State(w.rng.IntN(3))
		w.lateEvents = append(w.lateEvents, timed{w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond, control.Event{Kind: control.Listed, Endpoints: []control.Endpoint{w.endpoints[i]}}})
		if w.endpoints[i].State == control.Removed {
			w.endpoints[i].ID += 100
			w.endpoints[i].State = control.Ready
			w.lateEvents = append(w.lateEvents, timed{w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond, control.Event{Kind: control.Listed, Endpoints: []control.Endpoint{w.endpoints[i]}}})
		}
	}
}

// takeDue removes the events that are due by now from a list, and returns them.
func takeDue(list *[]timed, now time.Duration) (due []control.Event) {
	later := (*list)[:0]
	for _, entry := range *list {
		if entry.at <= now {
			due = append(due, entry.event)
		} else {
			later = append(later, entry)
		}
	}
	*list = later
	return due
}

// resolved returns the outcomes that are due, in the order of their messages.
func (w *world) resolved() (events []control.Event) {
	for ref := uint64(1); ref <= w.lastRef; ref++ {
		a, ok := w.inFlight[ref]
		if !ok || a.due > w.now {
			continue
		}
		delete(w.inFlight, ref)
		ev := control.Event{Kind: control.Resolved, ID: ref, Attempt: a.no, Endpoint: a.endpoint, Result: a.result}
		if a.result == control.Throttled {
			ev.RetryAfter = w.waits[a.endpoint]
		}
		if w.rng.IntN(3) == 0 {
			ev.Reported, ev.Remaining, ev.Limit = true, w.rng.Float64(), 5+10*w.rng.Float64()
		}
		events = append(events, ev)
	}
	return events
}

// arrivals returns the arrivals of up to two new messages.
func (w *world) arrivals() (events []control.Event) {
	for range w.rng.IntN(3) {
		w.lastRef++
		class := w.rng.IntN(3)
		left := []time.Duration{16, 24, 9}[class] * time.Second
		ev := control.Event{Kind: control.Arrived, ID: w.lastRef, Destination: w.rng.IntN(5), Class: class, Deadline: w.now + time.Duration(w.rng.Int64N(int64(left))),
			Key: uint64(w.rng.IntN(8)), Resubmitted: w.rng.IntN(9) == 0}
		if w.rng.IntN(20) == 0 { // a message restored after a restart
			ev.Attempt, ev.MayHaveRun, ev.RanAt, ev.Endpoint = 1+w.rng.IntN(3), true, w.now-time.Duration(w.rng.IntN(3000))*time.Millisecond, uint32(w.rng.IntN(300))
			w.attempts[w.lastRef] = ev.Attempt
		}
		events = append(events, ev)
	}
	return events
}

// apply executes the module's actions: it starts and cancels attempts.
func (w *world) apply(actions []control.Action) {
	for _, a := range actions {
		switch a.Kind {
		case control.Send:
			result, ok := w.faults[a.Endpoint]
			took := time.Duration(20+w.rng.ExpFloat64()*150) * time.Millisecond
			if !ok {
				result = control.Delivered
			}
			if took > a.Duration || result == control.TimedOut {
				result, took = control.TimedOut, a.Duration
			}
			w.inFlight[a.ID] = attempt{a.Endpoint, w.attempts[a.ID], w.now + took, result}
			w.attempts[a.ID]++
		case control.Cancel:
			if o, ok := w.inFlight[a.ID]; ok {
				o.due, o.result = w.now, control.Cancelled
				w.inFlight[a.ID] = o
			}
		}
	}
}
