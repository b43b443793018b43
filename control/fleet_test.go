package control

import (
	"math/rand/v2"
	"strings"
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
func TestRefusalsOfManyDoNotKeepThemOut(t *testing.T) {
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
func TestUnevenTrafficFindsRoom(t *testing.T) {
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

// A limit that is used up refuses calls in a row, which is no outage: an outage would be followed by a slow start.
func TestUsedUpLimitIsNoOutage(t *testing.T) {
	for share, want := range map[float64]health{0: healthy, 1: ejected} {
		r := newHarness(t, settings(), Endpoint{ID: 1})
		r.warm(5, 100*ms)
		r.wait(4 * time.Second)
		for id := uint64(1); id < 40; id++ {
			for _, a := range actionsOf(append(r.step(r.arrive(id, 2)), r.wait(time.Second)...), Send) {
				ev := outcome(a.ID, r.s.messages[a.ID].attempts-1, 1, Throttled)
				ev.Reported, ev.Remaining, ev.Limit = true, share, 4
				r.step(ev)
			}
		}
		if got := r.s.endpoints[1].route.health; got != want {
			t.Errorf("refused for 40 s with a share of %v left: %s, want %s", share, healthText[got], healthText[want])
		}
	}
}

// What a call carries beside its first message weighs little: at a destination that returns, with a pace of few calls,
// what is held goes along with them.
func TestReturningDestinationTakesFullCalls(t *testing.T) {
	set := settings()
	set.Peers, set.Kinds[1].PerCall = 80, 10
	r := newHarness(t, set, Endpoint{ID: 1, Kind: 1})
	r.s.endpoints[1].route.health, r.s.endpoints[1].route.healthSince, r.s.endpoints[1].route.reportedLimit = recovering, r.now, 40
	r.s.endpoints[1].route.refilledAt = r.now
	var evs []Event
	for id := uint64(1); id <= 8; id++ {
		evs = append(evs, r.arrive(id, 0))
	}
	r.s.endpoints[1].route.tokens = 1
	if got := len(actionsOf(r.step(evs...), Send)); got != 8 {
		t.Errorf("%d of 8 messages held went with the call that the pace allows", got)
	}
	r.step(r.arrive(9, 0))
	if got := actionsOf(r.wait(500*ms), Send); len(got) > 0 {
		t.Errorf("the next call went within 0.5 s, as if the 7 messages beside the first weighed nothing: %v", got)
	}
}

// One service answers all who ask for the list, one after another: what makes eighty ask at once must not have them
// ask in the same second, and one that asked in vain lets all others ask first.
func TestListRequestsTakeTurns(t *testing.T) {
	for _, n := range []int{1, 3, 80, 300} {
		set := settings()
		set.Peers, set.MustSubscribe, set.SubscribeWithin = n, true, 10*time.Second
		for _, cause := range []string{"start", "loss", "refused"} {
			asks, last := map[time.Duration]int{}, time.Duration(0)
			for me := range n {
				set.Index = me
				s, err := New(set, uint64(me))
				if err != nil {
					t.Fatal(err)
				}
				first := []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1}}}}
				now, from := time.Hour, time.Hour
				left := map[string]int{"start": 1, "loss": 2, "refused": 2}[cause]
				for left > 0 && now < 2*time.Hour {
					evs := first
					first = nil
					for _, a := range s.Step(now, evs, nil) {
						if a.Kind != Subscribe {
							continue
						}
						if left--; left == 0 {
							asks[(now-from)/time.Second]++
							last = max(last, now-from)
							break
						}
						if cause == "loss" { // all of them lose it at once, later
							s.Step(now, []Event{{Kind: Listed, Complete: true}}, nil)
							from = time.Hour + 20*time.Second
							now = from
						}
						first = []Event{{Kind: ListFailed}}
					}
					now += 25 * ms
				}
			}
			most := 0
			for _, k := range asks {
				most = max(most, k)
			}
			if limit := max(15, n/6); most > limit || last > 16*time.Second {
				t.Errorf("%d senders after %s: %d asked in one second, want %d at most; the last after %v", n, cause, most, limit, last)
			}
		}
	}
}

// A number out of range is no place in a fleet.
func TestOwnNumberIsChecked(t *testing.T) {
	for _, me := range []int{-1, 2} {
		set := settings()
		set.Index = me
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), "Me") {
			t.Errorf("number %d of %d: %v, want an error that names Me", me, set.Peers, err)
		}
	}
}

// Eighty senders that are started again with messages held know nothing of any limit: they begin one by one, each with
// one call, and the answer tells it the rest.
func TestAllBeginApart(t *testing.T) {
	most, calls, turns := 0, 0, map[time.Duration]int{}
	for i := range 80 {
		set := settings()
		set.Peers, set.Index = 80, i
		s, err := New(set, uint64(i)+5)
		if err != nil {
			t.Fatal(err)
		}
		evs := []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1}}}}
		for id := uint64(1); id <= 4; id++ {
			evs = append(evs, Event{Kind: Arrived, ID: id, Deadline: time.Hour + 8*time.Second})
		}
		for now := time.Hour; now < time.Hour+time.Second; now += 10 * ms {
			if n := len(actionsOf(s.Step(now, evs, nil), Send)); n > 0 {
				turns[now]++
				calls += n
			}
			evs = []Event{{Kind: Woken}}
		}
	}
	for _, n := range turns {
		most = max(most, n)
	}
	if most > 10 || calls != 80 {
		t.Errorf("%d of 80 senders begin in the same turn of 10 ms, want 10 at most; %d calls before any answer, want one each", most, calls)
	}
}
