package control

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings returns the settings of a small service: a safe, a keyed, an unsafe and an ordered class.
func settings() Settings {
	return Settings{Peers: 2, Slots: 8, MaxOpen: 100, MaxAttempts: 6, Cancel: true, OverQuotaValue: 0.2,
		MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, SlowStartShare: 0.2, SlowStart: 10 * time.Second,
		OverloadWindow: 2 * time.Second, OverloadMultiple: 2, InDoubtDelay: time.Second,
		Kinds: []Kind{{MaxMessagesPerCall: 1}, {SeparateRoutes: true, MaxMessagesPerCall: 3}},
		Classes: []Class{
			{Name: "notice", Effect: Safe, LatencyTarget: time.Second, Deadline: 8 * time.Second, Value: 1, LateValue: 0.5},
			{Name: "order", Effect: Keyed, DedupScope: DedupPerZone, DedupWindow: 4 * time.Second, LatencyTarget: time.Second,
				Deadline: 20 * time.Second, Value: 2, LateValue: 0.5},
			{Name: "payment", Effect: Unsafe, LatencyTarget: time.Second, Deadline: 20 * time.Second, Value: 4, LateValue: 0.5},
			{Name: "update", Effect: Keyed, DedupScope: DedupPerDestination, DedupWindow: 4 * time.Second, InOrder: true, LatencyTarget: time.Second,
				Deadline: 20 * time.Second, Value: 1, LateValue: 0.5},
		}}
}

// harness drives one sender with scripted events.
type harness struct {
	t      *testing.T
	sender *Sender
	now    time.Duration
	out    []Action
}

func newHarness(t *testing.T, set Settings, eps ...Endpoint) *harness {
	t.Helper()
	s, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, sender: s, now: time.Hour}
	h.step(Event{Kind: Listed, Complete: true, Endpoints: eps})
	return h
}

func (h *harness) step(evs ...Event) []Action {
	h.out = h.sender.Step(h.now, evs, nil)
	return h.out
}

// wait runs a Step every 25 ms for the time d, and returns all actions.
func (h *harness) wait(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		h.now += 25 * ms
		all = append(all, h.step(Event{Kind: Woken})...)
	}
	return all
}

func (h *harness) arrive(id uint64, class int) Event {
	return Event{Kind: Arrived, ID: id, Class: class, Deadline: h.now + settings().Classes[class].Deadline}
}

func actionsOf(acts []Action, k ActionKind) (got []Action) {
	for _, a := range acts {
		if a.Kind == k {
			got = append(got, a)
		}
	}
	return got
}

func outcome(id uint64, attempt int, ep uint32, res Result) Event {
	return Event{Kind: Resolved, ID: id, Attempt: attempt, Endpoint: ep, Result: res, Final: res == Delivered}
}

// deliver delivers n safe messages one after the other; each takes the time d.
func (h *harness) deliver(n int, d time.Duration) {
	h.t.Helper()
	for i := range n {
		id := uint64(1e6 + float64(h.now/ms) + float64(i))
		sent := actionsOf(h.step(h.arrive(id, 0)), Send)
		if len(sent) != 1 {
			h.t.Fatalf("delivery %d: sent %v, want one attempt", i, sent)
		}
		h.now += d
		h.step(outcome(id, 0, sent[0].Endpoint, Delivered))
		h.now += 200 * ms
	}
}

func tableOf(upperBounds []float64, shares map[float64]float64) *latencyTable {
	table := &latencyTable{counts: make([]float64, len(upperBounds))}
	for bound, share := range shares {
		for i, upperBound := range upperBounds {
			if upperBound == bound {
				table.counts[i] = share
				table.total += share
			}
		}
	}
	return table
}

func wantNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}
