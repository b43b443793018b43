package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// senderGroup is a group of senders that call one destination. The destination has a single rate limit for all of them, which refused
// calls use up too.
type senderGroup struct {
	senders    []*Sender
	now        time.Duration
	rng        *rand.Rand
	limit      float64       // calls a second
	retryAfter time.Duration // sent with half of the refusals
	tokens     float64       // calls that the destination would accept now
	answers    []dueAnswer   // answers in transit
	hotShare   float64       // share of the messages that go to the first sender, besides its part of the others
	lastID     uint64
	delivered  int
	throttled  int
}

type dueAnswer struct {
	at     time.Duration
	sender int
	event  Event
}

func newSenderGroup(t *testing.T, n int, limit float64, seed uint64) *senderGroup {
	t.Helper()
	set := settings()
	set.Peers, set.MaxAttempts, set.Slots = n, 6, 6
	set.Classes[0].Deadline = 12 * time.Second
	g := &senderGroup{now: time.Hour, rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, retryAfter: 600 * time.Millisecond,
		tokens: 0.3 * limit}
	for i := range n {
		s, err := New(set, seed+uint64(i)*977)
		if err != nil {
			t.Fatal(err)
		}
		g.senders = append(g.senders, s)
		s.Step(g.now, []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1}}}}, nil)
	}
	return g
}

// second simulates one second in steps of 10 ms, in which messages arrive at the given rate, each at a random sender.
func (g *senderGroup) second(rate float64) (delivered, throttled int) {
	delivered, throttled = g.delivered, g.throttled
	for range 100 {
		g.now += 10 * time.Millisecond
		g.tokens = min(0.3*g.limit, g.tokens+0.01*g.limit)
		events := g.arrivals(rate)
		rest := g.answers[:0]
		for _, answer := range g.answers {
			if answer.at > g.now {
				rest = append(rest, answer)
			} else {
				events[answer.sender] = append(events[answer.sender], answer.event)
			}
		}
		g.answers = rest
		for i, s := range g.senders {
			for _, action := range s.Step(g.now, append(events[i], Event{Kind: Woken}), nil) {
				if action.Kind == Send {
					g.answer(i, action)
				}
			}
		}
	}
	return g.delivered - delivered, g.throttled - throttled
}

// arrivals draws the messages that arrive in 10 ms, by sender.
func (g *senderGroup) arrivals(rate float64) [][]Event {
	events := make([][]Event, len(g.senders))
	for g.rng.Float64() < rate/(rate+100) {
		g.lastID++
		i := g.rng.IntN(len(g.senders))
		if g.hotShare > 0 && g.rng.Float64() < g.hotShare {
			i = 0
		}
		events[i] = append(events[i], Event{Kind: Arrived, ID: g.lastID, Deadline: g.now + 12*time.Second})
	}
	return events
}

// answer lets the destination accept or refuse a call.
func (g *senderGroup) answer(sender int, action Action) {
	event := Event{Kind: Resolved, ID: action.ID, Attempt: g.senders[sender].messages[action.ID].attempts - 1, Endpoint: 1,
		Result: Throttled, Reported: true, Remaining: max(0, g.tokens/(0.3*g.limit)), Limit: g.limit}
	if g.tokens >= 1 {
		event.Result, event.Final = Delivered, true
		g.delivered++
	} else if g.throttled++; g.rng.IntN(2) == 0 {
		event.RetryAfter = g.retryAfter
	}
	g.tokens = max(g.tokens-1, -0.6*g.limit)
	g.answers = append(g.answers, dueAnswer{g.now + 150*time.Millisecond, sender, event})
}

// In one second, eighty senders get more messages than the destination accepts in three. Since refused calls use up the limit, all
// senders would be refused forever if each retried as if it were the only one.
func TestManySenders_Throttled_AreServedAfterBackoff(t *testing.T) {
	for seed := range uint64(3) {
		group := newSenderGroup(t, 80, 28, seed+40)
		group.second(100)
		delivered, throttled := 0, 0
		for range 12 {
			d, r := group.second(20)
			delivered, throttled = delivered+d, throttled+r
		}
		if delivered < 12*20*9/10 || throttled > delivered/5 {
			t.Errorf("seed %d: 12 s after a burst: %d of %d delivered, %d refused; want nine tenths, and at most a fifth as many refusals",
				seed, delivered, 12*20, throttled)
		}
	}
}

// All senders together use a third of the limit, but the first sender alone needs ten times an equal share. It must use capacity that
// the others leave unused, without having many calls refused.
func TestManySenders_UnevenTraffic_UsesFreeCapacity(t *testing.T) {
	for seed := range uint64(3) {
		group := newSenderGroup(t, 80, 60, seed+60)
		group.hotShare = 0.4
		delivered, throttled := 0, 0
		for i := range 20 {
			d, r := group.second(20)
			if i >= 14 {
				delivered, throttled = delivered+d, throttled+r
			}
		}
		if open := group.senders[0].openMessages; open > 25 || throttled > delivered/20 {
			t.Errorf("seed %d: busy sender has %d open messages, want at most 25; in the last 6 s %d delivered, %d refused, want 5 %% at most",
				seed, open, delivered, throttled)
		}
	}
}

// The operator's bound applies to all senders together over any period, from the moment it is set, however much is queued. Outages,
// refusals and restarts don't lift it for any sender; removing it does.
func TestMaxRate_ManySenders_IsNeverExceededTogether(t *testing.T) {
	const peers, maxRate = 5, 12.0
	for _, c := range []struct {
		name           string
		separateRoutes bool
		result         func(call int) Result
	}{{"all accepted", false, func(int) Result { return Delivered }}, {"two routes", true, func(int) Result { return Delivered }},
		{"some refused", false, func(call int) Result { return []Result{Delivered, Throttled, Delivered, Errored}[call%4] }}} {
		t.Run(c.name, func(t *testing.T) {
			burst := 1.0 // tokens that one sender saves up, over all routes
			if c.separateRoutes {
				burst = 2
			}
			sent, bounded := runMaxRate(t, peers, maxRate, c.separateRoutes, c.result)
			saved := (peers + 1) * burst // one sender is restarted
			level, last := 0.0, time.Duration(0)
			for _, at := range sent[:bounded] {
				level = max(0, level-maxRate*(at-last).Seconds()) + 1
				if last = at; level > saved+0.05*maxRate+1e-6 {
					t.Fatalf("of %d calls, the excess over the bound is %.2f at %v, want at most %.2f", bounded, level, at, saved+0.05*maxRate)
				}
			}
			if got := float64(bounded) / 50; got < 0.7*maxRate && c.name != "some refused" {
				t.Errorf("%.1f calls a second under a bound of %v, want at least 70 %% of it", got, maxRate)
			}
			if after := float64(len(sent)-bounded) / 10; after < 2*maxRate && c.name != "some refused" {
				t.Errorf("%.1f calls a second after the bound is lifted, want at least twice the bound", after)
			}
			t.Log(fmt.Sprint(bounded), "calls in 50 s,", len(sent)-bounded, "in the 10 s after")
		})
	}
}

// runMaxRate simulates a minute in which senders with plenty of messages share the operator's bound, and returns the times of their
// sends. The first sender is restarted after half of it. The bound is lifted after 50 s; bounded is the number of calls before that.
func runMaxRate(t *testing.T, peers int, maxRate float64, separateRoutes bool, result func(call int) Result) (sent []time.Duration, bounded int) {
	t.Helper()
	set := settings()
	set.Peers, set.Slots, set.Cancel = peers, 100, true
	set.Kinds = []Kind{{MaxMessagesPerCall: 1, SeparateRoutes: separateRoutes}}
	list := func(rate float64) []Endpoint { return []Endpoint{{ID: 1, MaxRate: rate}, {ID: 2, MaxRate: rate}} }
	var all []*harness
	for i := range peers {
		set.Index = i
		all = append(all, newHarness(t, set, list(maxRate)...))
	}
	for tick := range 2400 {
		for i, h := range all {
			h.now += 25 * ms
			if tick == 1200 && i == 0 {
				all[i] = newHarness(t, set, list(maxRate)...)
				all[i].now = h.now
				h = all[i]
			}
			events := []Event{h.arrive(uint64(tick+1), 0)}
			if tick == 2000 {
				events = append(events, Event{Kind: Listed, Endpoints: list(0)})
			}
			for _, action := range actionsOf(h.step(events...), Send) {
				sent = append(sent, h.now)
				h.now += ms
				h.step(outcome(action.ID, h.sender.messages[action.ID].attempts-1, action.Endpoint, result(len(sent))))
				h.now -= ms
			}
		}
		if tick == 1999 {
			bounded = len(sent)
		}
	}
	return sent, bounded
}
