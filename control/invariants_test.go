package control

import (
	"cmp"
	"math/rand"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The oracle below feeds random legal events, every outcome included, and checks the six rules on each action.

type oracleMsg struct {
	ev       Event
	seq      int
	attempts int
	out      bool
	risk     []oracleSend // attempts that may have run
	closed   bool
	goneAt   time.Duration
}

type oracleSend struct {
	ep Endpoint
	at time.Duration
}

type oracleCall struct {
	id      uint64
	attempt int
	ep      Endpoint
	at, due time.Duration
	sentAt  time.Duration
	cancel  bool
}

type oracle struct {
	t     *testing.T
	set   Settings
	eps   map[uint32]Endpoint
	msgs  map[uint64]*oracleMsg
	calls []*oracleCall
	waits map[int]time.Duration // by destination, or by -1-ID of a route
	rest  map[uint64]time.Duration
	sent  map[int][]time.Duration // sends by route
	fails map[int]int             // failures in a row, by route
	back  map[int]time.Duration   // when a route that had failed so was back
	cold  int                     // windows checked after an outage
	asked map[int][]time.Duration // arrivals by destination
}

func (o *oracle) route(e Endpoint) int {
	if o.set.Kinds[e.Kind].SeparateRoutes {
		return -1 - int(e.ID)
	}
	return e.Destination
}

// routes is how many routes a destination has that are apart, or 1.
func (o *oracle) routes(dest int) (n int) {
	for _, e := range o.eps {
		if e.Destination == dest && o.set.Kinds[e.Kind].SeparateRoutes {
			n++
		}
	}
	return max(n, 1)
}

func (o *oracle) act(now time.Duration, rng *rand.Rand, a Action) {
	m := o.msgs[a.ID]
	switch a.Kind {
	case Send:
		c := o.set.Classes[m.ev.Class]
		e, listed := o.eps[a.Endpoint]
		switch {
		case m.closed:
			o.t.Fatalf("%v: sent after its end", a)
		case m.out:
			o.t.Fatalf("%v: two attempts out", a)
		case m.attempts >= o.set.MaxAttempts:
			o.t.Fatalf("%v: too many attempts", a)
		case !listed || e.State != Ready:
			o.t.Fatalf("%v: sent to an endpoint that drains or is gone", a)
		case e.Destination != m.ev.Destination:
			o.t.Fatalf("%v: wrong destination", a)
		case o.waits[o.route(e)] > now:
			o.t.Fatalf("%v: sent during a told wait", a)
		case c.Effect == Unsafe && len(m.risk) > 0:
			o.t.Fatalf("%v: unsafe message sent again", a)
		case a.For <= 0 || now+a.For > m.ev.Deadline:
			o.t.Fatalf("%v: time-out outside the time left", a)
		}
		if c.Effect == Keyed && len(m.risk) > 0 {
			first := m.risk[0]
			if now >= first.at+c.Memory || c.Group == GroupZone && e.Zone != first.ep.Zone ||
				c.Group == GroupEndpoint && e.ID != first.ep.ID {
				o.t.Fatalf("%v: keyed message outside its group or window", a)
			}
		}
		if c.InOrder && m.ev.Key != 0 {
			for _, other := range o.msgs {
				if other != m && other.ev.Key == m.ev.Key && other.seq < m.seq && (!other.closed || other.out) &&
					o.set.Classes[other.ev.Class].InOrder {
					o.t.Fatalf("%v: out of turn", a)
				}
			}
			if m.attempts == 0 && o.rest[m.ev.Key] > now {
				o.t.Fatalf("%v: its key rests", a)
			}
		}
		o.sent[o.route(e)] = append(o.sent[o.route(e)], now)
		o.coldWindow(a, o.route(e), now)
		m.out = true
		due := now + time.Duration(50+rng.Intn(1500))*time.Millisecond
		if rng.Intn(60) == 0 {
			due = now + time.Hour // hangs
		}
		o.calls = append(o.calls, &oracleCall{id: a.ID, attempt: m.attempts, ep: e, at: min(due, now+a.For), due: due,
			sentAt: now})
		m.attempts++
	case Refuse, Fail:
		if m.goneAt == now && now > 0 {
			return // answered in the turn in which the client withdrew it
		}
		if m.closed || m.out {
			o.t.Fatalf("%v: ended twice, or with an attempt out", a)
		}
		c := o.set.Classes[m.ev.Class]
		if a.Kind == Refuse && len(m.risk) > 0 && (c.Effect == Unsafe || c.Effect == Keyed && c.Group != GroupAll) {
			o.t.Fatalf("%v: refused though it may have run", a)
		}
		m.closed = true
	case Cancel:
		for _, c := range o.calls {
			if c.id == a.ID && c.attempt == a.Attempt {
				c.cancel, c.at = true, now+5*time.Millisecond
			}
		}
	}
}

// coldWindow checks the rule on returning destinations: after failures in a row, what is sent within the time
// of the rule stays under the multiple of what is back of the best pace before, with slack for two trials.
func (o *oracle) coldWindow(a Action, r int, now time.Duration) {
	back, out := o.back[r]
	if !out || now-back > o.set.OverloadWindow || o.set.SlowStart == 0 {
		return
	}
	best, n := 0, 0.0
	for i, t := range o.sent[r] {
		if t > back && i > 0 && o.sent[r][i-1] == t && o.set.Kinds[o.eps[a.Endpoint].Kind].PerCall > 1 {
			n += batchedMessageCost // it goes along in a call
			continue
		} else if t > back {
			n++
			continue
		}
		in := 0
		for _, u := range o.sent[r][i:] {
			if u <= back && u-t <= o.set.OverloadWindow {
				in++
			}
		}
		best = max(best, in)
	}
	// Where it failed from the start what was asked of it is the pace that it is known by.
	in, from := 0, max(0, len(o.asked[o.eps[a.Endpoint].Destination])-400)
	for _, t := range o.asked[o.eps[a.Endpoint].Destination][from:] {
		if back-t >= 0 && back-t <= o.set.OverloadWindow {
			in++
		}
	}
	best = max(best, in/o.routes(o.eps[a.Endpoint].Destination))
	o.cold++
	share := o.set.SlowStartShare + (1-o.set.SlowStartShare)*float64(o.set.OverloadWindow)/float64(o.set.SlowStart)
	if most := 2 + o.set.OverloadMultiple*share*float64(max(best, 1)); n > most {
		o.t.Fatalf("%v: %.1f sent to route %d within %v of its failures, %.1f at most", a, n, r, now-back, most)
	}
}

// fuzzRun plays a random script against one sender and returns all its actions.
func fuzzRun(t *testing.T, seed int64, steps int) []Action {
	rng := rand.New(rand.NewSource(seed))
	set := settings()
	set.Slots = 1 + rng.Intn(12)
	set.Cancel = rng.Intn(4) > 0
	set.MaxOpen = 20 + rng.Intn(80)
	if rng.Intn(4) == 0 {
		set.SlowStart, set.SlowStartShare, set.InDoubtDelay = 0, 0, 0
	}
	o := &oracle{t: t, set: set, eps: map[uint32]Endpoint{}, msgs: map[uint64]*oracleMsg{},
		waits: map[int]time.Duration{}, rest: map[uint64]time.Duration{},
		asked: map[int][]time.Duration{}, sent: map[int][]time.Duration{}, fails: map[int]int{}, back: map[int]time.Duration{}}
	s, err := New(set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for i := range 12 {
		e := Endpoint{ID: uint32(i + 1), Zone: i % 2, Destination: i / 3, Kind: i / 3 % 2}
		list = append(list, e)
		o.eps[e.ID] = e
	}
	evs := []Event{{Kind: Listed, Complete: true, Endpoints: list}}
	var all, out []Action
	now, id := time.Hour, uint64(0)
	end := steps - int(25*time.Second/(10*time.Millisecond))
	for step := range steps {
		now += 10 * time.Millisecond
		trouble := rng.Intn(100)
		if step < end && rng.Intn(3) == 0 {
			id++
			ev := Event{Kind: Arrived, ID: id, Class: rng.Intn(len(set.Classes)), Destination: rng.Intn(4),
				Tenant: rng.Intn(3), Key: uint64(rng.Intn(6))}
			ev.Deadline = now + set.Classes[ev.Class].Deadline*time.Duration(1+rng.Intn(4))/4
			o.msgs[id] = &oracleMsg{ev: ev, seq: int(id)}
			o.asked[ev.Destination] = append(o.asked[ev.Destination], now)
			evs = append(evs, ev)
		}
		if trouble == 0 {
			e := list[rng.Intn(len(list))]
			e.State = State(rng.Intn(3))
			o.eps[e.ID] = e
			evs = append(evs, Event{Kind: Listed, Endpoints: []Endpoint{e}})
		}
		if trouble == 1 && id > 0 {
			if m := o.msgs[1+uint64(rng.Intn(int(id)))]; !m.closed {
				m.closed, m.goneAt = true, now
				evs = append(evs, Event{Kind: Withdrawn, ID: m.ev.ID})
			}
		}
		// Outcomes due by now, in a random but fixed order.
		sort.SliceStable(o.calls, func(i, j int) bool { return o.calls[i].at < o.calls[j].at })
		for len(o.calls) > 0 && o.calls[0].at <= now {
			c := o.calls[0]
			o.calls = o.calls[1:]
			m := o.msgs[c.id]
			ev := Event{Kind: Resolved, ID: c.id, Attempt: c.attempt, Endpoint: c.ep.ID, Elapsed: now - c.sentAt}
			sick := int(now/(5*time.Second))%4 == c.ep.Destination
			switch {
			case c.cancel:
				ev.Result = Cancelled
			case c.due > c.at:
				ev.Result = TimedOut
			case sick || rng.Intn(12) == 0:
				ev.Result = []Result{Errored, Throttled, NoConnection, Reset, NotProcessed, Unknown, Result(99)}[rng.Intn(7)]
			}
			if ev.Result == Throttled && rng.Intn(2) == 0 {
				ev.RetryAfter = time.Duration(rng.Intn(4000)) * time.Millisecond
				o.waits[o.route(c.ep)] = max(o.waits[o.route(c.ep)], now+ev.RetryAfter)
			}
			m.out = false
			switch r := o.route(c.ep); ev.Result {
			case Errored, NoConnection, Unknown, Result(99): // a reset alone is that of one connection
				if o.fails[r]++; o.fails[r] >= 2 {
					o.back[r] = now // at the earliest
				}
			case Delivered:
				o.fails[r] = 0
			}
			switch ev.Result {
			case Delivered:
				m.closed, ev.Final = true, true
			case Throttled, NoConnection, NotProcessed:
			default:
				m.risk = append(m.risk, oracleSend{c.ep, c.sentAt})
				if ev.Result != Errored && set.Classes[m.ev.Class].InOrder {
					o.rest[m.ev.Key] = now + set.InDoubtDelay
				}
			}
			ev.Final = m.closed
			evs = append(evs, ev)
		}
		evs = append(evs, Event{Kind: Woken})
		out = s.Step(now, evs, out[:0])
		evs = evs[:0]
		for _, a := range out {
			o.act(now, rng, a)
		}
		all = append(all, out...)
		for i := uint64(1); i <= id; i++ {
			if m := o.msgs[i]; !m.closed && now > m.ev.Deadline+20*time.Millisecond {
				t.Fatalf("seed %d: message %d has no answer %v after its time", seed, i, now-m.ev.Deadline)
			}
		}
		for _, c := range o.calls {
			if m := o.msgs[c.id]; m.closed && c.at < now-time.Second {
				t.Fatalf("seed %d: call of message %d is never resolved", seed, c.id)
			}
		}
	}
	if n := len(s.messages); n != len(o.calls) {
		t.Errorf("seed %d: %d messages are kept at the end, %d calls out", seed, n, len(o.calls))
	}
	return all
}

func TestInvariants_RandomEvents(t *testing.T) {
	sends := 0
	for seed := range int64(60) {
		sends += len(actionsOf(fuzzRun(t, seed, 5000), Send))
	}
	if sends < 10000 {
		t.Errorf("only %d sends: the oracle saw too little", sends)
	}
}

func FuzzInvariants(f *testing.F) {
	f.Add(int64(1))
	f.Add(int64(1000))
	f.Fuzz(func(t *testing.T, seed int64) { fuzzRun(t, seed, 4000) })
}

// For any seed, one to 300 senders, one to 40 slots, tenants with shares or none and weights that are true or not, nothing
// brings a send before a told wait's end, past a drain or past the message's time, or a second call with a message that may
// have run out of its zone or window, and nothing keeps a message from its one end.
func TestInvariants_AnySeedAndNumberOfSenders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		set.Peers = rapid.IntRange(1, 300).Draw(t, "peers")
		set.Index = rapid.IntRange(0, set.Peers-1).Draw(t, "me")
		set.MustSubscribe, set.SubscribeWithin = true, 10*time.Second
		set.Slots, set.MaxOpen = rapid.IntRange(1, 40).Draw(t, "slots"), rapid.IntRange(0, 60).Draw(t, "open")
		for range rapid.IntRange(0, 3).Draw(t, "tenants") {
			set.Tenants = append(set.Tenants, Tenant{Quota: rapid.Float64Range(0, 20).Draw(t, "quota")})
		}
		weight := rapid.SampledFrom([]float64{0, 1e-9, 0.5, 20, 1e9}).Draw(t, "weight")
		s, err := New(set, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		drainAt := now + time.Duration(rapid.IntRange(1, 9000).Draw(t, "drain after ms"))*time.Millisecond
		limit := rapid.Float64Range(0, 200).Draw(t, "limit")
		evs := []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1, Weight: weight}, {ID: 2, Destination: 1, Weight: weight},
			{ID: 3, Zone: 1, Weight: weight}, {ID: 4, Zone: 1, Kind: 1, Destination: 2, Weight: weight}}}}
		type run struct {
			zone int
			at   time.Duration
		}
		ran, zones, class := map[uint64]run{}, map[uint32]int{3: 1, 4: 1}, map[uint64]int{}
		route := map[uint32]uint32{3: 1} // 1 and 3 are one destination
		waits, deadlines, ends, drained := map[uint32]time.Duration{}, map[uint64]time.Duration{}, map[uint64]int{}, false
		for id := uint64(1); now < time.Hour+20*time.Second; now += 25 * time.Millisecond {
			if now < time.Hour+8*time.Second && rapid.IntRange(0, 9).Draw(t, "arrives") == 0 {
				deadlines[id] = now + time.Duration(rapid.IntRange(100, 8000).Draw(t, "for ms"))*time.Millisecond
				evs = append(evs, Event{Kind: Arrived, ID: id, Destination: int(id % 3), Deadline: deadlines[id],
					Class: rapid.IntRange(0, 2).Draw(t, "class"), Tenant: rapid.IntRange(-1, 3).Draw(t, "tenant")})
				class[id] = evs[len(evs)-1].Class
				id++
			}
			if now >= drainAt && !drained {
				drained = true
				evs = append(evs, Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Draining}}})
			}
			acts := s.Step(now, append(evs, Event{Kind: Woken}), nil)
			evs = evs[:0:0]
			told := map[uint32]time.Duration{} // by answers that come with the next step
			for _, a := range acts {
				switch a.Kind {
				case Send:
					to := cmp.Or(route[a.Endpoint], a.Endpoint)
					if r, risky := ran[a.ID]; risky && (class[a.ID] == 2 ||
						class[a.ID] == 1 && (r.zone != zones[a.Endpoint] || now >= r.at+set.Classes[1].Memory)) {
						t.Fatalf("%v at %v: of class %d, and may have run in zone %d at %v", a, now, class[a.ID], r.zone, r.at)
					}
					if drained && a.Endpoint == 1 || now < waits[to] || now >= deadlines[a.ID] || ends[a.ID] > 0 {
						t.Fatalf("%v at %v: drained %v, wait until %v, message until %v, ends %d", a, now, drained, waits[to], deadlines[a.ID], ends[a.ID])
					}
					ev := outcome(a.ID, s.messages[a.ID].attempts-1, a.Endpoint, Delivered)
					ev.Reported, ev.Limit, ev.Remaining = limit > 0, limit, rapid.Float64Range(0, 1).Draw(t, "share")
					switch rapid.IntRange(0, 3).Draw(t, "refused") {
					case 0:
						ends[a.ID]++
					case 1:
						ev.Result, ev.Final = rapid.SampledFrom([]Result{Errored, Reset, TimedOut}).Draw(t, "result"), false
						if _, risky := ran[a.ID]; !risky {
							ran[a.ID] = run{zones[a.Endpoint], now}
						}
					default:
						ev.Result, ev.Final = Throttled, false
						ev.RetryAfter = time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait ms")) * time.Millisecond
						told[to] = max(told[to], now+25*time.Millisecond+ev.RetryAfter)
					}
					evs = append(evs, ev)
				case Refuse, Fail:
					if ends[a.ID]++; ends[a.ID] > 1 {
						t.Fatalf("%v: the second end of its message", a)
					}
				}
			}
			for e, until := range told {
				waits[e] = max(waits[e], until)
			}
		}
		for id := range deadlines {
			if ends[id] != 1 {
				t.Fatalf("message %d had %d ends", id, ends[id])
			}
		}
	})
}
