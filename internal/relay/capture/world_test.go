package capture

import (
	"math/rand/v2"
	"time"

	"mastusher/control"
)

// world drives a module with partners whose troubles a seed draws: what comes of attempts, lists that are late, drains,
// waits, resets, arrivals. It is no model of partners; it is there to have the module decide all that it can.
type world struct {
	rng   *rand.Rand
	now   time.Duration
	ref   uint64
	out   map[uint64]attempt // by message
	tries map[uint64]int
	late  []timed
	eps   []control.Endpoint
	bad   map[uint32]control.Result // endpoints in trouble
	wait  map[uint32]time.Duration  // told with a refusal
}

type attempt struct {
	endpoint uint32
	no       int
	due      time.Duration
	result   control.Result
}

type timed struct {
	at time.Duration
	ev control.Event
}

func settings() control.Settings {
	return control.Settings{Peers: 1, Slots: 12, MaxOpen: 200, MaxAttempts: 6, Cancel: true, ValueHalves: true, MaxRetryAfter: 3 * time.Second,
		Kinds: []control.Kind{{SeparateRoutes: true, PerCall: 4}, {PerCall: 1}}, DrainGrace: 250 * time.Millisecond, SlowStartShare: 0.21,
		SlowStart: 14 * time.Second, OverloadWindow: 2 * time.Second, OverloadMultiple: 2, ConnIdle: 15 * time.Second, ZoneFee: []float64{0, 0.05},
		Classes: []control.Class{
			{Name: "match-event", Effect: control.Keyed, Group: control.GroupAll, Memory: 4 * time.Second, LatencyTarget: 3 * time.Second, Deadline: 16 * time.Second, Value: 1, LateValue: 0.3},
			{Name: "score-state", Effect: control.Safe, LatencyTarget: 2 * time.Second, Deadline: 24 * time.Second, Value: 3, LateValue: 0.5},
			{Name: "ordered", Effect: control.Unsafe, InOrder: true, LatencyTarget: 2 * time.Second, Deadline: 9 * time.Second, Value: 2, LateValue: 0.5}}}
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), now: 24 * time.Hour, out: map[uint64]attempt{}, tries: map[uint64]int{},
		bad: map[uint32]control.Result{}, wait: map[uint32]time.Duration{}}
	for i := range 10 {
		w.eps = append(w.eps, control.Endpoint{ID: uint32(i + 1), Zone: i % 2, Kind: i % 2, Destination: i / 2})
	}
	return w
}

// turn returns the events of the next turn.
func (w *world) turn(no int) (time.Duration, []control.Event) {
	w.now += time.Duration(5+w.rng.IntN(40)) * time.Millisecond
	var in []control.Event
	if no == 0 {
		in = append(in, control.Event{Kind: control.Listed, Endpoints: append([]control.Endpoint{}, w.eps...), Complete: true})
	}
	if w.rng.IntN(40) == 0 { // trouble comes or goes
		e := w.eps[w.rng.IntN(len(w.eps))].ID
		if _, ok := w.bad[e]; ok {
			delete(w.bad, e)
		} else {
			w.bad[e] = []control.Result{control.Errored, control.Throttled, control.TimedOut, control.NoConnection, control.Reset, control.Malformed}[w.rng.IntN(6)]
			if w.wait[e] = 0; w.rng.IntN(2) == 0 {
				w.wait[e] = time.Duration(w.rng.IntN(2000)) * time.Millisecond
			}
		}
	}
	if w.rng.IntN(60) == 0 { // the list changes, and word of it comes late
		i := w.rng.IntN(len(w.eps))
		w.eps[i].State = control.State(w.rng.IntN(3))
		w.late = append(w.late, timed{w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond, control.Event{Kind: control.Listed, Endpoints: []control.Endpoint{w.eps[i]}}})
		if w.eps[i].State == control.Removed {
			w.eps[i].ID += 100
			w.eps[i].State = control.Ready
			w.late = append(w.late, timed{w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond, control.Event{Kind: control.Listed, Endpoints: []control.Endpoint{w.eps[i]}}})
		}
	}
	keep := w.late[:0]
	for _, l := range w.late {
		if l.at <= w.now {
			in = append(in, l.ev)
		} else {
			keep = append(keep, l)
		}
	}
	w.late = keep
	for ref := uint64(1); ref <= w.ref; ref++ {
		a, ok := w.out[ref]
		if !ok || a.due > w.now {
			continue
		}
		delete(w.out, ref)
		ev := control.Event{Kind: control.Resolved, ID: ref, Attempt: a.no, Endpoint: a.endpoint, Result: a.result}
		if a.result == control.Throttled {
			ev.RetryAfter = w.wait[a.endpoint]
		}
		if w.rng.IntN(3) == 0 {
			ev.Reported, ev.Remaining, ev.Limit = true, w.rng.Float64(), 5+10*w.rng.Float64()
		}
		in = append(in, ev)
	}
	for range w.rng.IntN(3) {
		w.ref++
		class := w.rng.IntN(3)
		left := []time.Duration{16, 24, 9}[class] * time.Second
		ev := control.Event{Kind: control.Arrived, ID: w.ref, Destination: w.rng.IntN(5), Class: class, Deadline: w.now + time.Duration(w.rng.Int64N(int64(left))),
			Key: uint64(w.rng.IntN(8)), Resubmitted: w.rng.IntN(9) == 0}
		if w.rng.IntN(20) == 0 { // taken up after a restart
			ev.Attempt, ev.MayHaveRun, ev.RanAt, ev.Endpoint = 1+w.rng.IntN(3), true, w.now-time.Duration(w.rng.IntN(3000))*time.Millisecond, uint32(w.rng.IntN(300))
			w.tries[w.ref] = ev.Attempt
		}
		in = append(in, ev)
	}
	if w.rng.IntN(50) == 0 && w.ref > 0 {
		in = append(in, control.Event{Kind: control.Withdrawn, ID: 1 + w.rng.Uint64N(w.ref)})
	}
	now := w.now
	if w.rng.IntN(100) == 0 { // a clock that steps back
		now -= 50 * time.Millisecond
	}
	return now, append(in, control.Event{Kind: control.Woken})
}

// did takes what the module has decided.
func (w *world) did(actions []control.Action) {
	for _, a := range actions {
		switch a.Kind {
		case control.Send:
			result, ok := w.bad[a.Endpoint]
			took := time.Duration(20+w.rng.ExpFloat64()*150) * time.Millisecond
			if !ok {
				result = control.Delivered
			}
			if took > a.For || result == control.TimedOut {
				result, took = control.TimedOut, a.For
			}
			w.out[a.ID] = attempt{a.Endpoint, w.tries[a.ID], w.now + took, result}
			w.tries[a.ID]++
		case control.Cancel:
			if o, ok := w.out[a.ID]; ok {
				o.due, o.result = w.now, control.Cancelled
				w.out[a.ID] = o
			}
		}
	}
}
