package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// crowd is many senders at one destination that takes a plain rate from all of them together; refused calls use it up.
type crowd struct {
	senders []*Sender
	now     time.Duration
	rng     *rand.Rand
	limit   float64
	told    time.Duration // the wait told with half of the refusals
	room    float64       // calls that it would take now
	late    []due         // answers on their way
	hot     float64       // share of the messages that one sender gets beside its part of the rest
	nextID  uint64
	ok      int
	full    int
}

type due struct {
	at     time.Duration
	sender int
	ev     Event
}

func newCrowd(t *testing.T, n int, limit float64, seed uint64) *crowd {
	t.Helper()
	set := settings()
	set.Peers, set.MaxAttempts, set.Slots = n, 6, 6
	set.Classes[0].Deadline = 12 * time.Second
	c := &crowd{now: time.Hour, rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, told: 600 * time.Millisecond, room: 0.3 * limit}
	for i := range n {
		s, err := New(set, seed+uint64(i)*977)
		if err != nil {
			t.Fatal(err)
		}
		c.senders = append(c.senders, s)
		s.Step(c.now, []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1}}}}, nil)
	}
	return c
}

// second plays a second in turns of 10 ms, in which rate messages arrive, each at a sender drawn by chance.
func (c *crowd) second(rate float64) (ok, full int) {
	ok, full = c.ok, c.full
	for range 100 {
		c.now += 10 * time.Millisecond
		c.room = min(0.3*c.limit, c.room+0.01*c.limit)
		evs := make([][]Event, len(c.senders))
		for c.rng.Float64() < rate/(rate+100) { // as many a turn in the mean as come in 10 ms
			c.nextID++
			i := c.rng.IntN(len(c.senders))
			if c.hot > 0 && c.rng.Float64() < c.hot {
				i = 0
			}
			evs[i] = append(evs[i], Event{Kind: Arrived, ID: c.nextID, Deadline: c.now + 12*time.Second})
		}
		rest := c.late[:0]
		for _, d := range c.late {
			if d.at > c.now {
				rest = append(rest, d)
			} else {
				evs[d.sender] = append(evs[d.sender], d.ev)
			}
		}
		c.late = rest
		for i, s := range c.senders {
			for _, a := range s.Step(c.now, append(evs[i], Event{Kind: Woken}), nil) {
				if a.Kind != Send {
					continue
				}
				ev := Event{Kind: Resolved, ID: a.ID, Attempt: s.messages[a.ID].attempts - 1, Endpoint: 1, Result: Throttled,
					Reported: true, Remaining: max(0, c.room/(0.3*c.limit)), Limit: c.limit}
				if c.room >= 1 {
					ev.Result, ev.Final = Delivered, true
					c.ok++
				} else if c.full++; c.rng.IntN(2) == 0 {
					ev.RetryAfter = c.told
				}
				c.room = max(c.room-1, -0.6*c.limit)
				c.late = append(c.late, due{c.now + 150*time.Millisecond, i, ev})
			}
		}
	}
	return c.ok - ok, c.full - full
}

// Eighty senders hand a destination more in one second than it takes in three. Where refused calls use up the limit
// each of them asking again as if it were alone keeps all of them out for good.
func TestManySenders_Refused_AreLetInAgain(t *testing.T) {
	for seed := range uint64(3) {
		c := newCrowd(t, 80, 28, seed+40)
		c.second(100)
		ok, full := 0, 0
		for range 12 {
			o, f := c.second(20)
			ok, full = ok+o, full+f
		}
		if ok < 12*20*9/10 || full > ok/5 {
			t.Errorf("seed %d: in 12 s after a clump %d delivered of %d that came and %d refused; want nine tenths, and a fifth of that refused",
				seed, ok, 12*20, full)
		}
	}
}

// Traffic is uneven: a sender that gets ten times an equal part of a limit of which a third is asked must not go on
// at that part while the others leave theirs. Nor may it take theirs: few calls are refused.
func TestManySenders_UnevenTraffic_UsesFreeCapacity(t *testing.T) {
	for seed := range uint64(3) {
		c := newCrowd(t, 80, 60, seed+60)
		c.hot = 0.4
		ok, full := 0, 0
		for i := range 20 {
			o, f := c.second(20)
			if i >= 14 {
				ok, full = ok+o, full+f
			}
		}
		if held := c.senders[0].openMessages; held > 25 || full > ok/20 {
			t.Errorf("seed %d: after 20 s the busy sender still holds %d messages; %d delivered in the last 6 s, %d refused", seed, held, ok, full)
		}
	}
}

// What operators allow a partner by hand holds over all senders together in every span, from the moment when it is told, however
// much waits; an outage, refusals and a restart lift it for nobody, and lifting it by hand does.
func TestMaxRate_ManySenders_IsKeptTogether(t *testing.T) {
	const peers, most = 5, 12.0
	for _, c := range []struct {
		name  string
		apart bool
		res   func(n int) Result
	}{{"all let in", false, func(int) Result { return Delivered }}, {"two routes", true, func(int) Result { return Delivered }},
		{"some refused", false, func(n int) Result { return []Result{Delivered, Throttled, Delivered, Errored}[n%4] }}} {
		t.Run(c.name, func(t *testing.T) {
			set := settings()
			set.Peers, set.Slots, set.Cancel = peers, 100, true
			set.Kinds = []Kind{{PerCall: 1, SeparateRoutes: c.apart}}
			list := func(m float64) []Endpoint { return []Endpoint{{ID: 1, MaxRate: m}, {ID: 2, MaxRate: m}} }
			var all []*harness
			for i := range peers {
				set.Index = i
				all = append(all, newHarness(t, set, list(most)...))
			}
			var sent []time.Duration
			each := 1.0 // saved up by a life
			if c.apart {
				each = 2 // a route
			}
			saved, before := peers*each, 0
			for tick := range 2400 { // a minute
				for i, r := range all {
					r.now += 25 * ms
					if tick == 1200 && i == 0 { // this one is started again
						all[i] = newHarness(t, set, list(most)...)
						all[i].now = r.now
						r, saved = all[i], saved+each
					}
					id := uint64(tick + 1)
					evs := []Event{r.arrive(id, 0)}
					if tick == 2000 {
						evs = append(evs, Event{Kind: Listed, Endpoints: list(0)})
					}
					for _, a := range actionsOf(r.step(evs...), Send) {
						sent = append(sent, r.now)
						r.now += ms
						r.step(outcome(a.ID, r.s.messages[a.ID].attempts-1, a.Endpoint, c.res(len(sent))))
						r.now -= ms
					}
				}
				if tick == 1999 {
					before = len(sent)
				}
			}
			level, last := 0.0, time.Duration(0)
			for _, at := range sent[:before] {
				level = max(0, level-most*(at-last).Seconds()) + 1
				if last = at; level > saved+0.05*most+1e-6 {
					t.Fatalf("%d calls, and %.2f saved up at %v: more than %.2f", before, level, at, saved+0.05*most)
				}
			}
			if got := float64(before) / 50; got < 0.7*most && c.name != "some refused" {
				t.Errorf("%.1f calls a second of the %v that it may get", got, most)
			}
			if after := float64(len(sent)-before) / 10; after < 2*most && c.name != "some refused" {
				t.Errorf("%.1f calls a second when it is lifted", after)
			}
			t.Log(fmt.Sprint(before), "calls in 50 s,", len(sent)-before, "in the 10 s after")
		})
	}
}
