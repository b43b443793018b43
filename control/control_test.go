package control

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings of a small service: a safe, a keyed, an unsafe and an ordered class.
func settings() Settings {
	return Settings{Peers: 2, Slots: 8, MaxOpen: 100, MaxAttempts: 6, Cancel: true, OverQuotaValue: 0.2,
		MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, SlowStartShare: 0.2, SlowStart: 10 * time.Second,
		OverloadWindow: 2 * time.Second, OverloadMultiple: 2, InDoubtDelay: time.Second,
		Kinds: []Kind{{PerCall: 1}, {SeparateRoutes: true, PerCall: 3}},
		Classes: []Class{
			{Name: "notice", Effect: Safe, LatencyTarget: time.Second, Deadline: 8 * time.Second, Value: 1, LateValue: 0.5},
			{Name: "order", Effect: Keyed, Group: GroupZone, Memory: 4 * time.Second, LatencyTarget: time.Second,
				Deadline: 20 * time.Second, Value: 2, LateValue: 0.5},
			{Name: "payment", Effect: Unsafe, LatencyTarget: time.Second, Deadline: 20 * time.Second, Value: 4, LateValue: 0.5},
			{Name: "update", Effect: Keyed, Group: GroupAll, Memory: 4 * time.Second, InOrder: true, LatencyTarget: time.Second,
				Deadline: 20 * time.Second, Value: 1, LateValue: 0.5},
		}}
}

// rig drives one sender with scripted events.
type harness struct {
	t   *testing.T
	s   *Sender
	now time.Duration
	out []Action
}

func newHarness(t *testing.T, set Settings, eps ...Endpoint) *harness {
	t.Helper()
	s, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, s: s, now: time.Hour}
	r.step(Event{Kind: Listed, Complete: true, Endpoints: eps})
	return r
}

func (r *harness) step(evs ...Event) []Action {
	r.out = r.s.Step(r.now, evs, nil)
	return r.out
}

// wait steps through d in ticks and returns all actions.
func (r *harness) wait(d time.Duration) (all []Action) {
	for end := r.now + d; r.now < end; {
		r.now += 25 * ms
		all = append(all, r.step(Event{Kind: Woken})...)
	}
	return all
}

func (r *harness) arrive(id uint64, class int) Event {
	return Event{Kind: Arrived, ID: id, Class: class, Deadline: r.now + settings().Classes[class].Deadline}
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

// warm delivers n safe messages, each taking d, one after the other.
func (r *harness) warm(n int, d time.Duration) {
	r.t.Helper()
	for i := range n {
		id := uint64(1e6 + float64(r.now/ms) + float64(i))
		sent := actionsOf(r.step(r.arrive(id, 0)), Send)
		if len(sent) != 1 {
			r.t.Fatalf("warming call %d: sent %v", i, sent)
		}
		r.now += d
		r.step(outcome(id, 0, sent[0].Endpoint, Delivered))
		r.now += 200 * ms
	}
}

func tableOf(edges []float64, shares map[float64]float64) *latencyTable {
	t := &latencyTable{counts: make([]float64, len(edges))}
	for c, p := range shares {
		for i, e := range edges {
			if e == c {
				t.counts[i] = p
				t.total += p
			}
		}
	}
	return t
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

// The example of the paper's section 1: 5 s at 0.6, 20 s at 0.4 gives 11, 7.4 and 5.96 s.
func TestPlanPaperExample(t *testing.T) {
	edges := []float64{5, 20}
	e := &endpointState{route: &routeState{}, pooled: *tableOf(edges, map[float64]float64{5: 60, 20: 40})}
	var p restartPlan
	p.solve(edges, []*endpointState{e}, 3, 1, 0)
	near(t, "E1", p.expected[1], 11)
	near(t, "E2", p.expected[2], 3+0.4*(5+11)) // the time spent is charged
	near(t, "E3", p.expected[3], 3+0.4*(5+9.4))
	// The paper's printed figures leave the time spent out; the same table gives them without the charge.
	near(t, "printed E2", 0.6*5+0.4*p.expected[1], 7.4)
	near(t, "printed E3", 0.6*5+0.4*7.4, 5.96)
}

// Theorem 1: restarting at 1 helps if and only if c > 1 + 1/p.
func TestPlanTheorem1(t *testing.T) {
	for _, c := range []struct {
		slow  float64
		helps bool
	}{{6, true}, {3.5, true}, {2.9, false}, {2, false}} {
		edges := []float64{1, c.slow}
		e := &endpointState{pooled: *tableOf(edges, map[float64]float64{1: 50, c.slow: 50})}
		ex := (1 + c.slow) / 2
		cost, s := e.pooled.bestRestart(edges, ex)
		if got := s == 0; got != c.helps {
			t.Errorf("c = %v: restarts %v, want %v", c.slow, got, c.helps)
		}
		near(t, "cost", cost, min(ex, 0.5+0.5*(1+ex)))
	}
}

func TestPlanTwoEndpointsAndTies(t *testing.T) {
	edges := []float64{1, 2, 8}
	fast := &endpointState{route: &routeState{}, pooled: *tableOf(edges, map[float64]float64{1: 50, 8: 50})}
	even := &endpointState{route: &routeState{}, pooled: *tableOf(edges, map[float64]float64{2: 100})}
	var p restartPlan
	p.solve(edges, []*endpointState{fast, even}, 2, 1, 0)
	near(t, "E1", p.expected[1], 2)
	near(t, "E2", p.expected[2], 2) // fast first, cut at 1: 0.5 + 0.5 (1 + 2) = 2, a tie with even
	cost, s := fast.pooled.bestRestart(edges, 2)
	near(t, "fast first", cost, 2)
	if s != 0 {
		t.Errorf("s = %d, want the cut after the first bucket", s)
	}
	if _, s := even.pooled.bestRestart(edges, 0.5); s != 2 {
		t.Errorf("a table of one time restarts at %d", s)
	}
}

func TestTableCutOffCall(t *testing.T) {
	edges := []float64{1, 2, 4, 8}
	tb := tableOf(edges, map[float64]float64{1: 6, 4: 3, 8: 1})
	tb.observeCensored(0, edges, 1)
	near(t, "4 s", tb.counts[2], 3.75)
	near(t, "8 s", tb.counts[3], 1.25)
	near(t, "all", tb.total, 11)
	tb.decay(tableHalfLife)
	near(t, "after a half-life", tb.total, 5.5)
}

// A message slow of itself repeats its work: once resends have taken far longer than planned, the penalty
// keeps the plan from cutting calls.
func TestPenaltyStopsRestarts(t *testing.T) {
	edges := []float64{1, 6}
	e := &endpointState{own: *tableOf(edges, map[float64]float64{1: 50, 6: 50})}
	s := &Sender{}
	s.retryTimes = [2]float64{1, 1}
	s.retryTimes[0], s.retryTimes[1] = 100, 100
	if _, at := e.own.bestRestart(edges, s.retryPenalty()*3.5); at != 0 {
		t.Error("independent attempts: no restart")
	}
	s.retryTimes[0] = 1000
	if _, at := e.own.bestRestart(edges, s.retryPenalty()*3.5); at != 1 {
		t.Error("attempts that repeat their work: restarted")
	}
}

func TestNewRejectsImpossibleSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no slots":      func(s *Settings) { s.Slots = 0 },
		"no classes":    func(s *Settings) { s.Classes = nil },
		"no attempts":   func(s *Settings) { s.MaxAttempts = 0 },
		"negative cold": func(s *Settings) { s.SlowStart = -1 },
		"negative aim":  func(s *Settings) { s.Classes[0].LatencyTarget = -1 },
		"no deadline":   func(s *Settings) { s.Classes[0].Deadline = 0 },
		"NaN worth":     func(s *Settings) { s.Classes[0].Value = math.NaN() },
		"infinite fee":  func(s *Settings) { s.ZoneFee = []float64{0, math.Inf(1)} },
		"NaN share":     func(s *Settings) { s.SlowStartShare = math.NaN() },
	} {
		set := settings()
		if spoil(&set); true {
			if _, err := New(set, 1); err == nil {
				t.Errorf("%s: no error", name)
			}
		}
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	acts := r.step(outcome(99, 0, 1, Errored), Event{Kind: Withdrawn, ID: 98}, Event{Kind: Arrived, ID: 5, Class: 77},
		Event{Kind: EventKind(200)})
	if len(acts) != 0 {
		t.Errorf("acts on unknown messages: %v", acts)
	}
	r.warm(2, 100*ms)
	before := r.s.now
	r.s.Step(before-time.Hour, nil, nil)
	if r.s.now != before {
		t.Error("the clock went back")
	}
}

// Rule: no message is lost, and the time-out at the deadline still gets its one answer.
func TestAnswerAtDeadline(t *testing.T) {
	for class, want := range map[int]ActionKind{0: Refuse, 2: Fail} {
		r := newHarness(t, settings(), Endpoint{ID: 1})
		sent := actionsOf(r.step(r.arrive(1, class)), Send)
		if len(sent) != 1 || sent[0].For != settings().Classes[class].Deadline {
			t.Fatalf("without a table one call lasts the time left: %v", sent)
		}
		r.wait(settings().Classes[class].Deadline)
		acts := r.step(outcome(1, 0, 1, TimedOut))
		if len(actionsOf(acts, want)) != 1 || len(actionsOf(acts, Send)) != 0 {
			t.Errorf("class %d: %v, want one final answer of kind %d", class, acts, want)
		}
		if acts := r.wait(time.Second); len(actionsOf(acts, Refuse))+len(actionsOf(acts, Fail)) != 0 {
			t.Errorf("class %d: answered twice: %v", class, acts)
		}
	}
}

// Rule: no effect twice. An unsafe message that may have run fails; one that never ran goes again.
func TestUnsafeMayHaveRun(t *testing.T) {
	for _, res := range []Result{Errored, Reset, TimedOut, Unknown, Result(77)} {
		r := newHarness(t, settings(), Endpoint{ID: 1})
		r.step(r.arrive(1, 2))
		acts := append(r.step(outcome(1, 0, 1, res)), r.wait(3*time.Second)...)
		if len(actionsOf(acts, Fail)) != 1 || len(actionsOf(acts, Send))+len(actionsOf(acts, Refuse)) != 0 {
			t.Errorf("result %d: %v", res, acts)
		}
	}
	for _, res := range []Result{Throttled, NoConnection, NotProcessed} {
		r := newHarness(t, settings(), Endpoint{ID: 1})
		r.step(r.arrive(1, 2))
		r.now += time.Second
		acts := append(r.step(outcome(1, 0, 1, res)), r.wait(12*time.Second)...)
		if len(actionsOf(acts, Send)) != 1 || len(actionsOf(acts, Fail)) != 0 {
			t.Errorf("result %d: %v", res, acts)
		}
	}
}

// Rule: a keyed message that may have run goes only to its group, inside its window.
func TestKeyedStaysInGroupAndWindow(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1, Zone: 0}, Endpoint{ID: 2, Zone: 1})
	r.warm(20, 100*ms)
	first := actionsOf(r.step(r.arrive(1, 1)), Send)[0].Endpoint
	acts := r.step(outcome(1, 0, first, Errored))
	acts = append(acts, r.wait(6*time.Second)...)
	sends := actionsOf(acts, Send)
	for _, a := range sends {
		if a.Endpoint != first {
			t.Errorf("left its group: %v", a)
		}
	}
	if len(sends) != 1 {
		t.Fatalf("resends: %v", sends)
	}
	acts = append(r.step(outcome(1, 1, first, Errored)), r.wait(6*time.Second)...)
	if len(actionsOf(acts, Send)) != 0 || len(actionsOf(acts, Fail)) != 1 || len(actionsOf(acts, Refuse)) != 0 {
		t.Errorf("after its window: %v", acts)
	}
}

// Rule: after a restart too, also where the endpoint of the first attempt has left the list, so that nobody knows its zone any more, and
// where it joins the list again later.
func TestKeyedAfterRestart(t *testing.T) {
	for _, c := range []struct {
		class int
		sends int
	}{{0, 1}, {1, 0}, {2, 0}, {3, 1}} {
		r := newHarness(t, settings(), Endpoint{ID: 1, Zone: 0}, Endpoint{ID: 2, Zone: 1})
		ev := r.arrive(1, c.class)
		ev.Attempt, ev.MayHaveRun, ev.RanAt, ev.Endpoint = 1, true, r.now-100*ms, 9
		acts := append(r.step(ev), r.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 9, Zone: 0}}})...)
		if acts = append(acts, r.wait(500*ms)...); len(actionsOf(acts, Send)) != c.sends {
			t.Errorf("class %d: %v, want %d calls", c.class, actionsOf(acts, Send), c.sends)
		}
	}
}

// Rule: drains are kept, also with messages held; a whole list that lacks an endpoint removes it.
func TestDrain(t *testing.T) {
	for _, ev := range []Event{
		{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Draining}}},
		{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Removed}}},
		{Kind: Listed, Complete: true},
	} {
		r := newHarness(t, settings(), Endpoint{ID: 1})
		r.warm(5, 100*ms)
		acts := r.step(ev, r.arrive(1, 0), r.arrive(2, 2))
		if acts = append(acts, r.wait(3*time.Second)...); len(actionsOf(acts, Send)) != 0 {
			t.Errorf("%+v: sent %v", ev, actionsOf(acts, Send))
		}
	}
}

// Rule: waits are heeded, for the destination, or for the one route where they are apart.
func TestWaits(t *testing.T) {
	for kind, want := range map[int]int{0: 0, 1: 1} {
		r := newHarness(t, settings(), Endpoint{ID: 1, Kind: kind}, Endpoint{ID: 2, Kind: kind})
		to := actionsOf(r.step(r.arrive(1, 2)), Send)[0].Endpoint
		ev := outcome(1, 0, to, Throttled)
		ev.RetryAfter = time.Second
		acts := append(r.step(ev), r.wait(975*ms)...)
		if got := actionsOf(acts, Send); len(got) != want || want == 1 && got[0].Endpoint == to {
			t.Errorf("kind %d: sent during the wait: %v", kind, got)
		}
	}
}

// Rule: order is kept, with the rest of a key after an attempt in doubt; refusals free the turn.
func TestOrder(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	evs := []Event{r.arrive(1, 3), r.arrive(2, 3), r.arrive(3, 3)}
	for i := range evs {
		evs[i].Key = 9
	}
	if got := actionsOf(r.step(evs...), Send); len(got) != 1 || got[0].ID != 1 {
		t.Fatalf("first turn: %v", got)
	}
	r.now += 100 * ms
	if got := actionsOf(r.step(outcome(1, 0, 1, Delivered)), Send); len(got) != 1 || got[0].ID != 2 {
		t.Fatalf("second turn: %v", got)
	}
	r.now += 100 * ms
	acts := r.step(Event{Kind: Withdrawn, ID: 2})
	if len(actionsOf(acts, Cancel)) != 1 || len(actionsOf(acts, Send)) != 0 {
		t.Fatalf("withdrawn with an attempt out: %v", acts)
	}
	acts = r.step(outcome(2, 0, 1, Cancelled))
	acts = append(acts, r.wait(975*ms)...)
	if len(actionsOf(acts, Send)) != 0 {
		t.Errorf("the key did not rest: %v", acts)
	}
	if acts = r.wait(100 * ms); len(actionsOf(acts, Send)) != 1 {
		t.Errorf("after the rest: %v", acts)
	}
}

// Rule: a returning destination is not pushed over, whatever has gathered meanwhile.
func TestReturningIsPaced(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	r.warm(20, 300*ms)
	sends := map[uint64]int{}
	answer := func(acts []Action, res Result) (n int) {
		for len(acts) > 0 {
			a := acts[0]
			acts = acts[1:]
			if a.Kind == Send {
				n++
				acts = append(acts, r.step(outcome(a.ID, sends[a.ID], 1, res))...)
				sends[a.ID]++
			}
		}
		return n
	}
	for id := range uint64(20) { // it refuses connections for ten seconds, while two messages a second arrive
		answer(append(r.step(r.arrive(id+1, 2)), r.wait(500*ms)...), NoConnection)
	}
	if d := r.s.destinationOrder[0].routes[0]; d.health != ejected {
		t.Fatalf("health %v", d.health)
	}
	sent := 0
	for range 160 { // four seconds after it is back
		sent += answer(r.wait(25*ms), Delivered)
	}
	// Its pace was 2/s; a fifth of that is back, half after four seconds: the multiple of 2 bears 5.7 calls.
	if sent < 1 || sent > 5 {
		t.Errorf("%d calls in the first four seconds", sent)
	}
}

// At a destination stopped by refusals alone each refused trial halves the pace of trials: the trials of many
// senders together would keep a limit used up. Failed connects don't, they use up none.
func TestRefusedTrialsSlowDown(t *testing.T) {
	trials := func(res Result) (early, late int) {
		set := settings()
		set.MaxAttempts = 1000
		r := newHarness(t, set, Endpoint{ID: 1})
		r.warm(20, 100*ms)
		start, tries := r.now, map[uint64]int{}
		for id := uint64(1); r.now < start+120*time.Second; id++ {
			for acts := append(r.step(r.arrive(id, 2)), r.wait(500*ms)...); len(acts) > 0; acts = acts[1:] {
				if a := acts[0]; a.Kind == Send {
					acts = append(acts, r.step(outcome(a.ID, tries[a.ID], 1, res))...)
					tries[a.ID]++
					if r.now < start+40*time.Second {
						early++
					} else if r.now > start+80*time.Second {
						late++
					}
				}
			}
		}
		return early, late
	}
	if early, late := trials(Throttled); late == 0 || 4*late > early {
		t.Errorf("refused: %d tries in the first 40 s, %d in the last", early, late)
	}
	// Nor do failures make all messages look hopeless once they are most of what the table holds.
	if early, late := trials(NoConnection); 2*late < early {
		t.Errorf("failed connects: %d tries in the first 40 s, %d in the last", early, late)
	}
}

// A client with less patience than its class allows hands in a message that is worth all of it until its deadline.
func TestShortDeadlineIsNotLate(t *testing.T) {
	set := settings()
	for _, c := range []struct{ marks, again, late bool }{{true, false, false}, {true, true, true}, {false, false, true}} {
		set.MarksResubmitted = c.marks
		r := newHarness(t, set)
		ev := r.arrive(1, 2)
		ev.Deadline, ev.Resubmitted = r.now+900*ms, c.again
		r.step(ev)
		if got := r.s.messages[1].valueAt(r.now+800*ms, false); (got < 4) != c.late {
			t.Errorf("%+v: worth %.2f of 4 before its deadline", c, got)
		}
	}
}

// More may be asked of a destination than it takes when it is well: where it reports its limit, the trials and the
// slow start of a sender go by its part of that, not by what is asked.
func TestColdPaceIsBoundedByTheReportedLimit(t *testing.T) {
	trials := func(report bool) (n int) {
		set := settings()
		set.MaxAttempts = 1000
		r := newHarness(t, set, Endpoint{ID: 1})
		tries := map[uint64]int{}
		for id := uint64(1); id < 400; id++ { // ten messages a second, of which it takes one
			for acts := append(r.step(r.arrive(id, 2)), r.wait(100*ms)...); len(acts) > 0; acts = acts[1:] {
				a := acts[0]
				if a.Kind != Send {
					continue
				}
				ev := outcome(a.ID, tries[a.ID], 1, Throttled)
				if tries[a.ID]++; id <= 100 && id%10 == 0 {
					ev.Result, ev.Final = Delivered, true
				} else if id > 100 {
					ev.Result = NoConnection
					if id > 150 {
						n++
					}
				}
				ev.Reported, ev.Remaining, ev.Limit = report, 0.1, 2
				acts = append(acts, r.step(ev)...)
			}
		}
		return n
	}
	set := settings()
	most := 25*2/2*set.OverloadMultiple*set.SlowStartShare + 2
	if told, not := trials(true), trials(false); float64(told) > most || told == 0 || not < 2*told {
		t.Errorf("%d trials in 25 s where the limit is reported, %d where not; want %.0f at most and far more", told, not, most)
	}
}

// A delivery ends the rest after refusals: trials that were refused during an outage must not hold back what is due
// once the destination has answered one.
func TestDeliveryEndsTheRest(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	r.warm(20, 100*ms)
	r.step(r.arrive(1, 2), r.arrive(2, 2))
	for i := range 4 {
		if i > 0 {
			r.now += time.Second
			d := r.s.destinations[0].routes[0]
			d.tokens, d.retryAt = 2, 0
		}
		r.step(Event{Kind: Woken})
		for _, m := range r.s.endpoints[1].inFlight {
			r.step(outcome(m.id, m.attempts-1, 1, NoConnection))
			break
		}
	}
	r.s.recordSuccess(r.s.destinations[0].routes[0])
	if d := r.s.destinations[0].routes[0]; d.retryAt > r.now {
		t.Errorf("%s, and nothing may go for %v", healthText[d.health], d.retryAt-r.now)
	}
}

// How soon a message goes again after a refusal is learnt from whether such tries are let in: where refused calls
// use up the limit, or many others try, it takes longer.
func TestTriesAgainAreSpacedByWhatIsLetIn(t *testing.T) {
	next := func(again Result) time.Duration {
		var eps []Endpoint
		for i := range 60 {
			eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i})
		}
		r := newHarness(t, settings(), eps...)
		var sum time.Duration
		for d := range 60 {
			ev := r.arrive(uint64(d+1), 2)
			ev.Destination = d
			r.step(ev)
			r.step(outcome(ev.ID, 0, uint32(d+1), Throttled))
			start := r.now
			for r.now < start+15*time.Second && len(actionsOf(r.wait(25*ms), Send)) == 0 {
			}
			if d >= 40 {
				sum += r.now - start
			}
			r.step(outcome(ev.ID, 1, uint32(d+1), again), Event{Kind: Withdrawn, ID: ev.ID})
		}
		return sum / 20
	}
	in, out := next(Delivered), next(Throttled)
	if in > 1500*ms || out < 2*in {
		t.Errorf("the next try comes after %v where such are let in, %v where they are refused", in, out)
	}
}

// However many senders share a destination, what all of them together send it in the time of the rule after an
// outage that each has seen stays under the multiple of what is back, whether it failed or refused its calls.
func TestTrialsOfManySendersTogether(t *testing.T) {
	for _, res := range []Result{NoConnection, Throttled, Errored} {
		for _, n := range []int{2, 20, 400} {
			set, rng := settings(), rand.New(rand.NewSource(int64(n)))
			set.Peers = n
			const rate = 40 // messages a second, from all of them
			var rigs []*harness
			for i := range n {
				r := newHarness(t, set, Endpoint{ID: 1})
				r.s.rngState = uint64(i) * 977
				rigs = append(rigs, r)
			}
			tries, seen := map[uint64]int{}, make([]bool, n)
			id, sent, down := uint64(0), 0, 10*time.Second
			for at := time.Duration(0); at < 24*time.Second; at += 25 * ms {
				arrivals := map[int][]Event{}
				for range rate / 40 {
					id++
					i := rng.Intn(n)
					ev := rigs[i].arrive(id, 2)
					ev.Deadline = time.Hour + at + 20*time.Second
					arrivals[i] = append(arrivals[i], ev)
				}
				for i, r := range rigs {
					r.now = time.Hour + at
					evs := append(arrivals[i], Event{Kind: Woken})
					for acts := actionsOf(r.step(evs...), Send); len(acts) > 0; {
						a, end := acts[0], down+12*time.Second
						out := outcome(a.ID, tries[a.ID], 1, Delivered)
						if at > down && at < end {
							out.Result, out.Final, seen[i] = res, false, true
						} else if at >= end && at < end+set.OverloadWindow && seen[i] {
							sent++
						}
						tries[a.ID]++
						acts = append(acts[1:], actionsOf(r.step(out), Send)...)
					}
				}
			}
			back := set.SlowStartShare + (1-set.SlowStartShare)*set.OverloadWindow.Seconds()/set.SlowStart.Seconds()
			if most := set.OverloadMultiple * back * rate * set.OverloadWindow.Seconds(); float64(sent) > most || sent == 0 {
				t.Errorf("result %d, %d senders: %d calls right after its return, %.0f at most", res, n, sent, most)
			}
		}
	}
}

// Connections are kept, as handshakes cost, but at a kind that has run short of them: there each is closed after its
// last call, so that those of many senders don't fill an endpoint that takes few.
func TestIdleConnectionsAreClosedWhereTheyAreShort(t *testing.T) {
	set := settings()
	set.ConnIdle = 5 * time.Second
	r := newHarness(t, set, Endpoint{ID: 1})
	r.step(r.arrive(1, 2), r.arrive(2, 2))
	if acts := r.step(outcome(1, 0, 1, Delivered), outcome(2, 0, 1, Delivered)); len(actionsOf(acts, Close)) != 0 {
		t.Errorf("closed where none was short: %v", acts)
	}
	r.step(r.arrive(3, 2))
	r.step(outcome(3, 0, 1, NoConnection))
	sent := actionsOf(r.wait(5*time.Second), Send)
	if len(sent) != 1 {
		t.Fatalf("after a failed connect: %v", sent)
	}
	if got := actionsOf(r.step(outcome(3, 1, 1, Delivered)), Close); len(got) != 1 || got[0].Endpoint != 1 {
		t.Errorf("after the last call: %v, want one Close", got)
	}
	r.wait(2 * set.ConnIdle) // what was idle at that time has closed by itself: there is room again
	r.step(r.arrive(4, 2))
	if got := actionsOf(r.step(outcome(4, 0, 1, Delivered)), Close); len(got) != 0 {
		t.Errorf("two idle times after the failed connect: %v", got)
	}
}

// Where an endpoint takes few connections a failed connect is no outage: alone it does not stop a destination,
// the message goes again after a moment, and idle connections of that kind are closed at once and from then on.
func TestFailedConnectIsNoOutage(t *testing.T) {
	set := settings()
	set.ConnIdle = 15 * time.Second
	r := newHarness(t, set, Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 1})
	r.warm(20, 100*ms) // keeps its connection to endpoint 1
	r.wait(5 * time.Second)
	ev := r.arrive(1, 2)
	ev.Destination = 1
	r.step(ev)
	acts := r.step(outcome(1, 0, 2, NoConnection))
	if got := actionsOf(acts, Close); len(actionsOf(acts, Send)) != 0 || !slices.ContainsFunc(got, func(a Action) bool { return a.Endpoint == 1 }) {
		t.Errorf("after a failed connect: %v, want the idle connection closed and a moment's rest", acts)
	}
	if d := r.s.destinations[1].routes[0]; d.health != healthy {
		t.Errorf("one failed connect: %s", healthText[d.health])
	}
	if got := actionsOf(r.wait(toDuration(1.5*initialRetryGap)), Send); len(got) != 1 {
		t.Fatalf("after a moment: %v, want one further try", got)
	}
	if r.step(outcome(1, 1, 2, NoConnection)); r.s.destinations[1].routes[0].health != ejected {
		t.Error("two failed connects in a row did not stop it")
	}
	// One that got no answer at all for long is no full table: where routes are apart, each would be taken by
	// hundreds of senders for a route that had failed but once, and pushed over at its return.
	r = newHarness(t, set, Endpoint{ID: 1, Kind: 1}, Endpoint{ID: 2, Kind: 1})
	to := actionsOf(r.step(r.arrive(1, 2)), Send)[0].Endpoint
	r.now += 1500 * ms
	if r.step(outcome(1, 0, to, NoConnection)); r.s.endpoints[to].route.health != ejected {
		t.Error("a connect that hung did not stop its route")
	}
}

// Where slots are what all wait for, the message that holds one for less time goes first, also when its destination
// has slowed down just now and no answer tells so yet.
func TestSlotsGoByWorthForTheirTime(t *testing.T) {
	set := settings()
	set.Slots = 3
	r := newHarness(t, set, Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 1})
	r.warm(8, 200*ms)
	to := func(id uint64, dest int) Event {
		ev := r.arrive(id, 2)
		ev.Destination = dest
		return ev
	}
	for id := range uint64(8) {
		sent := actionsOf(r.step(to(100+id, 1)), Send)
		r.now += 200 * ms
		r.step(outcome(sent[0].ID, 0, 2, Delivered))
		r.now += 200 * ms
	}
	r.step(to(1, 0), to(2, 1))
	r.now += ms
	r.step(to(5, 1)) // all slots are taken
	r.now += 100 * ms
	r.step(to(3, 0), to(4, 1))
	r.wait(700 * ms)
	sent := actionsOf(r.step(outcome(5, 0, 2, Delivered)), Send)
	if len(sent) != 1 || sent[0].ID != 4 {
		t.Errorf("the free slot went to %v, want message 4: the call to the other destination is far older than usual", sent)
	}
}

// At size an endpoint is hardly ever called twice by one sender: the recursion decides its sends from what the
// sender's other calls took. The nearer evidence outweighs the farther as it grows.
func TestPooledEvidenceDecidesSends(t *testing.T) {
	var eps []Endpoint
	for i := range 62 {
		eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i / 2})
	}
	r := newHarness(t, settings(), eps...)
	for d := range 30 { // one call to each of thirty destinations, every tenth one slow
		ev := r.arrive(uint64(100+d), 0)
		ev.Destination = d
		sent := actionsOf(r.step(ev), Send)[0]
		took := 100 * ms
		if d%10 == 0 {
			took = 3 * time.Second
		}
		r.now += took
		r.step(outcome(ev.ID, 0, sent.Endpoint, Delivered))
	}
	ev := r.arrive(1, 0)
	ev.Destination = 30
	first := actionsOf(r.step(ev), Send)[0]
	if first.For >= time.Second || first.For < 100*ms {
		t.Errorf("a call to an endpoint never called before may last %v, want a time-out of the plan", first.For)
	}
	e := r.s.endpoints[first.Endpoint]
	r.now += 100 * ms
	r.step(outcome(1, 0, first.Endpoint, Delivered))
	for range 40 {
		e.own.observe(r.s.now, r.s.bounds, 1)
		e.destination.latencies.observe(r.s.now, r.s.bounds, 1)
	}
	r.s.poolLatencies(e.destination)
	sum := e.pooled.failed
	for _, v := range e.pooled.counts {
		sum += v
	}
	near(t, "pooled calls", sum, e.pooled.total)
	if m := e.pooled.quantile(r.s.bounds, 0.5); m < 0.9 || m > 1.3 {
		t.Errorf("median %v after forty own calls of 1 s", m)
	}
}

// A Step looks only at destinations for which something is held or out, not at all that the list names: at
// hundreds of endpoints its cost had a day cut off.
func TestStepLooksOnlyAtWhatIsBusy(t *testing.T) {
	var eps []Endpoint
	for i := range 800 {
		eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i / 2})
	}
	r := newHarness(t, settings(), eps...)
	ev := r.arrive(1, 2)
	ev.Destination = 7
	sent := actionsOf(r.step(ev), Send)
	r.wait(100 * ms)
	if n := len(r.s.active); n != 1 || len(sent) != 1 {
		t.Fatalf("%d destinations looked at with one call out (%v)", n, sent)
	}
	r.step(outcome(1, 0, sent[0].Endpoint, Delivered))
	r.wait(100 * ms)
	if n := len(r.s.active); n != 0 {
		t.Errorf("%d destinations looked at with nothing held or out", n)
	}
}

// Senders that know nothing yet do not all begin with the same endpoint.
func TestSendersSpreadWhereNothingIsKnown(t *testing.T) {
	first := map[uint32]int{}
	for seed := range uint64(40) {
		s, err := New(settings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		acts := s.Step(time.Hour, []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1}, {ID: 2}, {ID: 3}}},
			{Kind: Arrived, ID: 1, Class: 2, Deadline: time.Hour + 20*time.Second}}, nil)
		first[actionsOf(acts, Send)[0].Endpoint]++
	}
	if min(first[1], first[2], first[3]) < 5 {
		t.Errorf("first calls of 40 senders, by endpoint: %v", first)
	}
}

// A delivery long after the last failure says that the destination has been back for a while: the slow start
// counts from half way between the two.
func TestSlowStartCountsFromHalfWay(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	r.warm(20, 300*ms)
	d := r.s.destinationOrder[0].routes[0]
	r.s.restrictToProbes(d, ejected)
	failed := r.s.now
	r.now += 8 * time.Second
	r.step(Event{Kind: Woken})
	r.s.recordSuccess(d)
	if ago := r.s.now - d.healthSince; d.health != recovering || ago != (r.s.now-failed)/2 {
		t.Errorf("%s since %v of %v", healthText[d.health], ago, r.s.now-failed)
	}
}

// DESIGN: a destination holds at most three quarters of the slots, with two or three slots as well.
func TestSlotCap(t *testing.T) {
	for slots, want := range map[int]int{1: 1, 2: 1, 3: 2, 8: 6} {
		set := settings()
		set.Slots = slots
		r := newHarness(t, set, Endpoint{ID: 1})
		var evs []Event
		for i := range 20 {
			evs = append(evs, r.arrive(uint64(i+1), 2))
		}
		if got := len(actionsOf(r.step(evs...), Send)); got != want {
			t.Errorf("%d slots: %d calls, want %d", slots, got, want)
		}
	}
}

// DESIGN: a message with less time left than the median call is refused unsent, at once, with a hold-off.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	r.warm(8, 900*ms)
	ev := r.arrive(1, 2)
	ev.Deadline = r.now + 500*ms
	acts := r.step(ev)
	if got := actionsOf(acts, Refuse); len(got) != 1 || got[0].For <= 0 || len(actionsOf(acts, Send)) != 0 {
		t.Errorf("%v", acts)
	}
}

// Several destinations that hang at once must not hold all slots.
func TestHangsTogetherLeaveSlots(t *testing.T) {
	var eps []Endpoint
	for i := range 4 {
		eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i})
	}
	r := newHarness(t, settings(), eps...)
	r.warm(8, 100*ms)
	id := uint64(1)
	for range 40 {
		var evs []Event
		for d := 1; d < 4; d++ { // these three hang; calls to destination 0 take no time
			ev := r.arrive(id, 2)
			ev.Destination = d
			evs = append(evs, ev)
			id++
		}
		for _, a := range append(r.step(evs...), r.wait(500*ms)...) {
			switch {
			case a.Kind == Cancel:
				r.step(outcome(a.ID, a.Attempt, 0, Cancelled))
			case a.Kind == Send && a.Endpoint == 1:
				r.step(outcome(a.ID, 0, 1, Delivered))
			}
		}
	}
	acts := r.step(r.arrive(9999, 2)) // a notice would be shed: the store is full of payments
	for range 10 {
		for i := 0; i < len(acts); i++ {
			switch a := acts[i]; {
			case a.Kind == Cancel:
				acts = append(acts, r.step(outcome(a.ID, a.Attempt, 0, Cancelled))...)
			case a.Kind == Send && a.Endpoint == 1:
				return
			}
		}
		acts = r.wait(25 * ms)
	}
	t.Errorf("nothing went to the healthy destination, %d of %d slots in use", r.s.slotsInUse, r.s.settings.Slots)
}

// Answers lost on the way: some calls are never answered while newer ones are. They must not keep the slots.
func TestLingeringCallsLeaveSlots(t *testing.T) {
	var eps []Endpoint
	for i := range 3 {
		eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i})
	}
	r := newHarness(t, settings(), eps...)
	r.warm(8, 100*ms)
	lost, answered, sends := 0, 0, 0
	var acts []Action
	for id := range uint64(120) {
		ev := r.arrive(id+1, 2)
		ev.Destination = int(id % 3)
		acts = append(acts, r.step(ev)...)
		for i := 0; i < len(acts); i++ {
			switch a := acts[i]; a.Kind {
			case Cancel:
				acts = append(acts, r.step(outcome(a.ID, a.Attempt, 0, Cancelled))...)
			case Send:
				if sends++; sends%4 == 0 {
					lost++ // its answer never comes
				} else {
					answered++
					acts = append(acts, r.step(outcome(a.ID, 0, a.Endpoint, Delivered))...)
				}
			}
		}
		acts = r.wait(150 * ms)
	}
	if lost < 8 || answered < 70 {
		t.Errorf("%d calls answered, %d lost: the lost ones keep the slots", answered, lost)
	}
}

// The list must be asked for where it does not come by itself, and again after a failure.
func TestAsksForTheList(t *testing.T) {
	set := settings()
	set.MustSubscribe, set.SubscribeWithin = true, 10*time.Second
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got := actionsOf(s.Step(0, nil, nil), Subscribe); len(got) != 1 {
		t.Fatalf("at the start: %v", got)
	}
	asked := 0
	for now := time.Duration(0); now < 30*time.Second; now += 25 * ms {
		evs := []Event{{Kind: Woken}}
		if now == 0 || asked > 0 && len(actionsOf(s.actions, Subscribe)) > 0 {
			evs = append(evs, Event{Kind: ListFailed})
		}
		for _, a := range s.Step(now, evs, nil) {
			if a.Kind == Subscribe {
				asked++
				s.Step(now, []Event{{Kind: ListFailed}}, nil)
			}
		}
	}
	if asked < 5 || asked > 60 {
		t.Errorf("asked %d times in 30 s of failures", asked)
	}
}

func TestDeterminism(t *testing.T) {
	a, b := fuzzRun(t, 42, 4000), fuzzRun(t, 42, 4000)
	if !reflect.DeepEqual(a, b) {
		t.Error("the same events gave other actions")
	}
	if c := fuzzRun(t, 43, 4000); reflect.DeepEqual(a, c) {
		t.Error("another script gave the same actions: the script is not played")
	}
}

// BenchmarkStep is the cost of one message, from arrival to delivery, over many destinations.
func BenchmarkStep(b *testing.B) {
	for _, dests := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("%d destinations", dests), func(b *testing.B) {
			set := settings()
			set.Slots, set.MaxOpen = 64, 1000
			s, err := New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			list := Event{Kind: Listed, Complete: true}
			for i := range 2 * dests {
				list.Endpoints = append(list.Endpoints, Endpoint{ID: uint32(i + 1), Destination: i / 2})
			}
			now, evs, sent := time.Hour, []Event{list}, 0
			var out []Action
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 5 * ms
				evs = append(evs, Event{Kind: Arrived, ID: uint64(i + 1), Destination: i % dests, Deadline: now + 8*time.Second})
				out = s.Step(now, evs, out[:0])
				evs = evs[:0]
				for _, a := range out {
					if a.Kind == Send {
						sent++
						evs = append(evs, outcome(a.ID, 0, a.Endpoint, Delivered))
					}
				}
			}
			if sent < b.N*9/10 {
				b.Errorf("%d of %d sent", sent, b.N)
			}
		})
	}
}

// DESIGN: the plan's endpoint and time-out decide a safe message; beyond the retry budget calls run on; unsafe
// messages have one call that lasts their time left; keyed ones are cut only where they may be resent.
func TestPlanDecidesSends(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		budget float64
		cut    bool
	}{{"safe", 0, 5, true}, {"safe beyond the budget", 0, 0.5, false}, {"unsafe", 2, 5, false}, {"keyed", 1, 5, true}} {
		r := newHarness(t, settings(), Endpoint{ID: 1}, Endpoint{ID: 2})
		edges := r.s.bounds
		r.s.retryTimes = [2]float64{100, 100} // resends have taken what was expected
		r.s.retryBudget = c.budget
		fast, slow := edges[10], edges[len(edges)-2]
		r.s.endpoints[1].own = *tableOf(edges, map[float64]float64{slow: 100})
		r.s.endpoints[2].own = *tableOf(edges, map[float64]float64{fast: 90, slow: 10})
		r.s.endpoints[1].own.decayedAt, r.s.endpoints[2].own.decayedAt = r.now, r.now
		sent := actionsOf(r.step(r.arrive(1, c.class)), Send)
		want := settings().Classes[c.class].Deadline
		if c.cut {
			want = toDuration(fast)
		}
		if len(sent) != 1 || sent[0].Endpoint != 2 || sent[0].For != want {
			t.Errorf("%s: %v, want endpoint 2 for %v", c.name, sent, want)
			continue
		}
		if c.cut {
			r.now += want
			if again := actionsOf(r.step(outcome(1, 0, 2, TimedOut)), Send); len(again) != 1 {
				t.Errorf("%s: no resend by the plan: %v", c.name, again)
			}
		}
	}
}

// A keyed message must not be cut off where its window leaves no room for the resend: it would only fail.
func TestKeyedRunsOnAtTheEndOfItsWindow(t *testing.T) {
	for memory, cut := range map[time.Duration]bool{4 * time.Second: true, 400 * ms: false} {
		set := settings()
		set.Classes[1].Memory = memory
		r := newHarness(t, set, Endpoint{ID: 1})
		edges := r.s.bounds
		r.s.retryTimes = [2]float64{100, 100}
		r.s.endpoints[1].own = *tableOf(edges, map[float64]float64{edges[15]: 90, edges[len(edges)-2]: 10})
		r.s.endpoints[1].own.decayedAt = r.now
		sent := actionsOf(r.step(r.arrive(1, 1)), Send)
		if len(sent) != 1 || (sent[0].For == toDuration(edges[15])) != cut {
			t.Errorf("window %v: %v, want it cut: %v", memory, sent, cut)
		}
	}
}

// A store that is nearly full gives up what is worth least, at once, with a hold-off.
func TestFullStoreShedsTheLeastWorth(t *testing.T) {
	set := settings()
	set.MaxOpen, set.Slots = 20, 2
	r := newHarness(t, set, Endpoint{ID: 1})
	var evs []Event
	for i := range uint64(40) {
		evs = append(evs, r.arrive(i+1, int(i%2)*2))
	}
	refused := actionsOf(r.step(evs...), Refuse)
	if len(refused) != 40-(set.MaxOpen-1) {
		t.Errorf("%d refused, want the store kept one short of full", len(refused))
	}
	for _, a := range refused[:10] {
		if a.ID%2 == 0 || a.For <= 0 {
			t.Errorf("%v: a payment went before the notices, or without a hold-off", a)
		}
	}
}

// What has left the list is forgotten once nothing of it can be unfinished, but not a wait that still binds.
func TestForgetsWhatIsGone(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1, Kind: 1}, Endpoint{ID: 2, Kind: 1, Destination: 5})
	to := actionsOf(r.step(r.arrive(1, 2)), Send)[0].Endpoint
	told := outcome(1, 0, to, Throttled)
	told.RetryAfter = time.Minute
	r.step(told)
	for range 3 {
		r.step(Event{Kind: Listed, Complete: true})
		if len(r.s.endpoints) != 2 {
			t.Fatalf("%d endpoints are known after %v, want 2", len(r.s.endpoints), r.now)
		}
		r.now += 10 * time.Second
	}
	if r.step(Event{Kind: Listed}); len(r.s.endpoints) != 1 || len(r.s.destinationOrder) != 1 || len(r.s.destinations) != 1 {
		t.Errorf("%d endpoints, %d destinations, want the one whose wait binds", len(r.s.endpoints), len(r.s.destinationOrder))
	}
	r.now += time.Minute
	if r.step(Event{Kind: Listed}); len(r.s.endpoints)+len(r.s.destinationOrder)+len(r.s.destinations)+len(r.s.idleEndpoints) != 0 {
		t.Errorf("%d endpoints and %d destinations are still known", len(r.s.endpoints), len(r.s.destinationOrder))
	}
	if r.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 3}}}, r.arrive(2, 0)); len(actionsOf(r.out, Send)) != 1 {
		t.Error("nothing is sent to one that is new there")
	}
}

// An answer that can't be read says nothing against the endpoint: it is up, and took its usual time.
func TestSpoiltIsNoOutage(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	r.warm(5, 100*ms)
	for i := range uint64(4) {
		r.step(r.arrive(i, 0))
		r.now += 100 * ms
		acts := r.step(outcome(i, 0, 1, Malformed))
		if got := actionsOf(acts, Send); len(got) != 1 || got[0].ID != i {
			t.Fatalf("after %d spoilt answers: sent %v, want the message again", i+1, got)
		}
		r.now += 100 * ms
		r.step(outcome(i, 1, 1, Delivered))
	}
	r.step(r.arrive(9, 2))
	if r.step(outcome(9, 0, 1, Malformed)); len(actionsOf(r.out, Fail)) != 1 {
		t.Error("it proves that the message ran: one that must not run twice has failed")
	}
}

// A connection may come up only after a wait was told: what is on its way is called back.
func TestRecallsWhatIsOnItsWay(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 5})
	elsewhere := r.arrive(3, 0)
	elsewhere.Destination = 5
	r.step(r.arrive(1, 0), r.arrive(2, 0), elsewhere)
	told := outcome(1, 0, 1, Throttled)
	if told.RetryAfter = time.Second; len(actionsOf(r.out, Send)) != 3 {
		t.Fatalf("sent %v", r.out)
	}
	if got := actionsOf(r.step(told), Recall); len(got) != 1 || got[0].ID != 2 {
		t.Errorf("called back %v, want message 2", got)
	}
	if got := actionsOf(r.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 2, Destination: 5, State: Draining}}}), Recall); len(got) != 1 {
		t.Errorf("called back %v, want message 3", got)
	}
}

// A call is not cut for the sake of a faster endpoint that takes nothing now: the resend would go to the same one
// again, with the same cut, and so on until all attempts are used up.
func TestPlanLeavesOutWhatIsShut(t *testing.T) {
	edges := []float64{0.1, 1, 8}
	fast := &endpointState{route: &routeState{}, pooled: *tableOf(edges, map[float64]float64{0.1: 100})}
	slow := &endpointState{route: &routeState{}, pooled: *tableOf(edges, map[float64]float64{0.1: 10, 1: 90})}
	for what, shut := range map[string]routeState{"none": {}, "a wait": {waitUntil: time.Second}, "a refusal": {retryAt: time.Second}} {
		fast.route = &shut
		var p restartPlan
		p.solve(edges, []*endpointState{fast, slow}, 2, 1, 0)
		if _, s := slow.pooled.bestRestart(edges, p.expected[1]); (s == 0) != (what == "none") {
			t.Errorf("%s: cut at bucket %d", what, s)
		}
	}
}

// A message that ran before its time-out may be answered at once when it comes again: that is no call's time.
func TestAnswerToARepeatTeachesNoTime(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	r.warm(5, 300*ms)
	r.step(r.arrive(1, 0))
	r.now += 8 * 300 * ms
	r.step(outcome(1, 0, 1, TimedOut))
	before := r.s.endpoints[1].own.counts[0]
	r.now += 2 * ms
	if r.step(outcome(1, 1, 1, Delivered)); r.s.endpoints[1].own.counts[0] > before || before > 0 {
		t.Errorf("%v calls of 2 ms are in the table", r.s.endpoints[1].own.counts[0])
	}
}

// Connections are reset one at a time where nothing is wrong with the destination, also where it has just returned:
// that does not stop it. An error of one that has just returned does.
func TestResetsAreNoOutage(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	r.warm(5, 100*ms)
	d := r.s.endpoints[1].route
	for i, c := range []struct {
		health health
		res    Result
		want   health
	}{{healthy, Reset, healthy}, {healthy, Reset, healthy}, {healthy, Reset, healthy}, {healthy, Delivered, healthy},
		{recovering, Reset, recovering}, {recovering, Errored, ejected}} {
		if d.health != c.health {
			r.s.setHealth(d, c.health)
		}
		id := uint64(i)
		m := &message{id: id, class: &r.s.settings.Classes[1], destination: d.destination, sentAt: r.now}
		r.now += 50 * ms
		r.s.now = r.now
		if r.s.recordOutcome(m, r.s.endpoints[1], &Event{Result: c.res}); d.health != c.want {
			t.Errorf("after outcome %d, %v: health %v, want %v", i, c.res, d.health, c.want)
		}
	}
}
