package control

import (
	"cmp"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runRandomEvents feeds a sender random valid events with every kind of result, lets an oracle check each action, and returns all
// actions.
func runRandomEvents(t *testing.T, seed int64, steps int) []Action {
	t.Helper()
	const tick = 10 * time.Millisecond
	rng := rand.New(rand.NewSource(seed))
	set := randomSettings(rng)
	oracle := newOracle(t, seed, set)
	sender, err := New(set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for i := range 12 {
		endpoint := Endpoint{ID: uint32(i + 1), Zone: i % 2, Destination: i / 3, Kind: i / 3 % 2}
		list = append(list, endpoint)
		oracle.endpoints[endpoint.ID] = endpoint
	}
	events := []Event{{Kind: Listed, Complete: true, Endpoints: list}}
	var all, out []Action
	now, lastID := time.Hour, uint64(0)
	lastArrival := steps - int(25*time.Second/tick)
	for step := range steps {
		now += tick
		fault := rng.Intn(100)
		if step < lastArrival && rng.Intn(3) == 0 {
			lastID++
			events = append(events, oracle.randomArrival(now, rng, lastID))
		}
		if fault == 0 {
			endpoint := list[rng.Intn(len(list))]
			endpoint.State = State(rng.Intn(3))
			oracle.endpoints[endpoint.ID] = endpoint
			events = append(events, Event{Kind: Listed, Endpoints: []Endpoint{endpoint}})
		}
		if fault == 1 && lastID > 0 {
			if msg := oracle.messages[1+uint64(rng.Intn(int(lastID)))]; !msg.closed {
				msg.closed, msg.withdrawnAt = true, now
				events = append(events, Event{Kind: Withdrawn, ID: msg.arrival.ID})
			}
		}
		events = append(append(events, oracle.resolveDue(now, rng)...), Event{Kind: Woken})
		out = sender.Step(now, events, out[:0])
		events = events[:0]
		for _, action := range out {
			oracle.check(now, rng, action)
		}
		all = append(all, out...)
		oracle.checkAnswered(now, lastID)
	}
	if n := len(sender.messages); n != len(oracle.calls) {
		t.Errorf("seed %d: at the end the sender has %d messages, but %d calls are in flight", seed, n, len(oracle.calls))
	}
	return all
}

func randomSettings(rng *rand.Rand) Settings {
	set := settings()
	set.Slots = 1 + rng.Intn(12)
	set.Cancel = rng.Intn(4) > 0
	set.MaxOpen = 20 + rng.Intn(80)
	if rng.Intn(4) == 0 {
		set.SlowStart, set.SlowStartShare, set.InDoubtDelay = 0, 0, 0
	}
	return set
}

func (o *oracle) randomArrival(now time.Duration, rng *rand.Rand, id uint64) Event {
	event := Event{Kind: Arrived, ID: id, Class: rng.Intn(len(o.settings.Classes)), Destination: rng.Intn(4),
		Tenant: rng.Intn(3), Key: uint64(rng.Intn(6))}
	event.Deadline = now + o.settings.Classes[event.Class].Deadline*time.Duration(1+rng.Intn(4))/4
	o.messages[id] = &oracleMessage{arrival: event, seq: int(id)}
	o.arrivals[event.Destination] = append(o.arrivals[event.Destination], now)
	return event
}

func TestInvariants_RandomEvents(t *testing.T) {
	sends := 0
	for seed := range int64(60) {
		sends += len(actionsOf(runRandomEvents(t, seed, 5000), Send))
	}
	if sends < 10000 {
		t.Errorf("only %d sends, want at least 10000 for the oracle to check", sends)
	}
}

func FuzzInvariants(f *testing.F) {
	f.Add(int64(1))
	f.Add(int64(1000))
	f.Fuzz(func(t *testing.T, seed int64) { runRandomEvents(t, seed, 4000) })
}

// For any seed, number of senders, slots, tenants with or without quotas, and weights, correct or not: no message is sent before the end
// of a wait, to a draining endpoint or after its deadline; a message that may have run is not sent again outside its zone or window; and
// every message gets exactly one final answer.
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
		const start = time.Hour
		p := newRandomService(s, start+time.Duration(rapid.IntRange(1, 9000).Draw(t, "drain after ms"))*time.Millisecond)
		p.limit = rapid.Float64Range(0, 200).Draw(t, "limit")
		p.events = []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1, ListedLimit: weight}, {ID: 2, Destination: 1, ListedLimit: weight},
			{ID: 3, Zone: 1, ListedLimit: weight}, {ID: 4, Zone: 1, Kind: 1, Destination: 2, ListedLimit: weight}}}}
		for now := start; now < start+20*time.Second; now += randomServiceTick {
			p.step(t, now, now < start+8*time.Second)
		}
		for id := range p.deadlines {
			if p.finalAnswers[id] != 1 {
				t.Fatalf("message %d had %d final answers, want 1", id, p.finalAnswers[id])
			}
		}
	})
}

const randomServiceTick = 25 * time.Millisecond

// randomService simulates the endpoints of one sender with random results, and checks what is sent. Endpoint 1 starts draining at
// drainAt.
type randomService struct {
	sender       *Sender
	limit        float64 // reported with each answer; 0: no report
	events       []Event // for the next Step
	lastID       uint64
	drainAt      time.Duration
	draining     bool
	zones        map[uint32]int
	routes       map[uint32]uint32 // the endpoint that identifies a route, if it is another one
	waits        map[uint32]time.Duration
	classes      map[uint64]int
	deadlines    map[uint64]time.Duration
	finalAnswers map[uint64]int
	ran          map[uint64]firstRun // messages that may have run, with the first such attempt
}

type firstRun struct {
	zone int
	at   time.Duration
}

func newRandomService(s *Sender, drainAt time.Duration) *randomService {
	return &randomService{sender: s, drainAt: drainAt, zones: map[uint32]int{3: 1, 4: 1},
		routes: map[uint32]uint32{3: 1}, // endpoints 1 and 3 belong to one destination
		waits:  map[uint32]time.Duration{}, classes: map[uint64]int{}, deadlines: map[uint64]time.Duration{}, finalAnswers: map[uint64]int{},
		ran: map[uint64]firstRun{}}
}

func (p *randomService) step(t *rapid.T, now time.Duration, arrivals bool) {
	t.Helper()
	if arrivals && rapid.IntRange(0, 9).Draw(t, "arrives") == 0 {
		p.arrive(t, now)
	}
	if now >= p.drainAt && !p.draining {
		p.draining = true
		p.events = append(p.events, Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Draining}}})
	}
	actions := p.sender.Step(now, append(p.events, Event{Kind: Woken}), nil)
	p.events = nil
	newWaits := map[uint32]time.Duration{} // from answers that arrive with the next Step
	for _, action := range actions {
		switch action.Kind {
		case Send:
			p.checkSend(t, now, action)
			p.answer(t, now, action, newWaits)
		case Refuse, Fail:
			if p.finalAnswers[action.ID]++; p.finalAnswers[action.ID] > 1 {
				t.Fatalf("%v: second final answer to its message", action)
			}
		}
	}
	for route, until := range newWaits {
		p.waits[route] = max(p.waits[route], until)
	}
}

func (p *randomService) arrive(t *rapid.T, now time.Duration) {
	p.lastID++
	id := p.lastID
	p.deadlines[id] = now + time.Duration(rapid.IntRange(100, 8000).Draw(t, "for ms"))*time.Millisecond
	event := Event{Kind: Arrived, ID: id, Destination: int(id % 3), Deadline: p.deadlines[id],
		Class: rapid.IntRange(0, 2).Draw(t, "class"), Tenant: rapid.IntRange(-1, 3).Draw(t, "tenant")}
	p.classes[id] = event.Class
	p.events = append(p.events, event)
}

func (p *randomService) checkSend(t *rapid.T, now time.Duration, action Action) {
	t.Helper()
	id, route := action.ID, cmp.Or(p.routes[action.Endpoint], action.Endpoint)
	if first, ran := p.ran[id]; ran && (p.classes[id] == 2 ||
		p.classes[id] == 1 && (first.zone != p.zones[action.Endpoint] || now >= first.at+p.sender.settings.Classes[1].DedupWindow)) {
		t.Fatalf("%v at %v: sent again in class %d, though it may have run in zone %d at %v", action, now, p.classes[id], first.zone, first.at)
	}
	if p.draining && action.Endpoint == 1 || now < p.waits[route] || now >= p.deadlines[id] || p.finalAnswers[id] > 0 {
		t.Fatalf("%v at %v: not allowed: draining %v, wait until %v, deadline %v, final answers %d", action, now, p.draining, p.waits[route],
			p.deadlines[id], p.finalAnswers[id])
	}
}

// answer draws the result of an attempt, which the sender gets with the next Step.
func (p *randomService) answer(t *rapid.T, now time.Duration, action Action, newWaits map[uint32]time.Duration) {
	route := cmp.Or(p.routes[action.Endpoint], action.Endpoint)
	event := outcome(action.ID, p.sender.messages[action.ID].attempts-1, action.Endpoint, Delivered)
	event.Reported, event.Limit, event.Remaining = p.limit > 0, p.limit, rapid.Float64Range(0, 1).Draw(t, "share")
	switch rapid.IntRange(0, 3).Draw(t, "refused") {
	case 0:
		p.finalAnswers[action.ID]++
	case 1:
		event.Result, event.Final = rapid.SampledFrom([]Result{Errored, Reset, TimedOut}).Draw(t, "result"), false
		if _, ran := p.ran[action.ID]; !ran {
			p.ran[action.ID] = firstRun{p.zones[action.Endpoint], now}
		}
	default:
		event.Result, event.Final = Throttled, false
		event.RetryAfter = time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait ms")) * time.Millisecond
		newWaits[route] = max(newWaits[route], now+randomServiceTick+event.RetryAfter)
	}
	p.events = append(p.events, event)
}
