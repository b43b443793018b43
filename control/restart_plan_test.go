package control

import (
	"testing"
	"time"
)

// The example in section 1 of the paper on restart strategies: 5 s at 0.6, 20 s at 0.4 gives 11, 7.4 and 5.96 s.
func TestRestartPlan_PaperExample_GivesItsTimes(t *testing.T) {
	upperBounds := []float64{5, 20}
	e := &endpointState{route: &routeState{}, pooled: *tableOf(upperBounds, map[float64]float64{5: 60, 20: 40})}
	var p restartPlan
	p.solve(upperBounds, []*endpointState{e}, 3, 1, 0)
	wantNear(t, "E1", p.expected[1], 11)
	wantNear(t, "E2", p.expected[2], 3+0.4*(5+11)) // the time spent is charged
	wantNear(t, "E3", p.expected[3], 3+0.4*(5+9.4))
	// The paper's printed figures leave the time spent out; the same table gives them without the charge.
	wantNear(t, "printed E2", 0.6*5+0.4*p.expected[1], 7.4)
	wantNear(t, "printed E3", 0.6*5+0.4*7.4, 5.96)
}

// Theorem 1 of the paper: restarting at 1 helps if and only if c > 1 + 1/p.
func TestBestRestart_TwoTimes_RestartsWhereItHelps(t *testing.T) {
	for _, c := range []struct {
		slow  float64
		helps bool
	}{{6, true}, {3.5, true}, {2.9, false}, {2, false}} {
		upperBounds := []float64{1, c.slow}
		e := &endpointState{pooled: *tableOf(upperBounds, map[float64]float64{1: 50, c.slow: 50})}
		ex := (1 + c.slow) / 2
		cost, s := e.pooled.bestRestart(upperBounds, ex)
		if got := s == 0; got != c.helps {
			t.Errorf("c = %v: restarts %v, want %v", c.slow, got, c.helps)
		}
		wantNear(t, "cost", cost, min(ex, 0.5+0.5*(1+ex)))
	}
}

func TestRestartPlan_TwoEndpoints_TiesRunOn(t *testing.T) {
	upperBounds := []float64{1, 2, 8}
	fast := &endpointState{route: &routeState{}, pooled: *tableOf(upperBounds, map[float64]float64{1: 50, 8: 50})}
	even := &endpointState{route: &routeState{}, pooled: *tableOf(upperBounds, map[float64]float64{2: 100})}
	var p restartPlan
	p.solve(upperBounds, []*endpointState{fast, even}, 2, 1, 0)
	wantNear(t, "E1", p.expected[1], 2)
	wantNear(t, "E2", p.expected[2], 2) // fast first, cut at 1: 0.5 + 0.5 (1 + 2) = 2, a tie with even
	cost, s := fast.pooled.bestRestart(upperBounds, 2)
	wantNear(t, "fast first", cost, 2)
	if s != 0 {
		t.Errorf("s = %d, want the cut after the first bucket", s)
	}
	if _, s := even.pooled.bestRestart(upperBounds, 0.5); s != 2 {
		t.Errorf("a table of one time restarts at %d", s)
	}
}

// A message slow of itself repeats its work: once retries have taken far longer than planned, the penalty
// keeps the plan from restarting calls.
func TestRetryPenalty_SlowRetries_StopRestarts(t *testing.T) {
	upperBounds := []float64{1, 6}
	e := &endpointState{own: *tableOf(upperBounds, map[float64]float64{1: 50, 6: 50})}
	s := &Sender{}
	s.retryTimes = [2]float64{1, 1}
	s.retryTimes[0], s.retryTimes[1] = 100, 100
	if _, at := e.own.bestRestart(upperBounds, s.retryPenalty()*3.5); at != 0 {
		t.Error("independent attempts: no restart")
	}
	s.retryTimes[0] = 1000
	if _, at := e.own.bestRestart(upperBounds, s.retryPenalty()*3.5); at != 1 {
		t.Error("attempts that repeat their work: restarted")
	}
}

// At size an endpoint is hardly ever called twice by one sender: the recursion decides its sends from what the
// sender's other calls took. The nearer evidence outweighs the farther as it grows.
func TestPoolLatencies_FewOwnCalls_FartherEvidenceDecides(t *testing.T) {
	var eps []Endpoint
	for i := range 62 {
		eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i / 2})
	}
	harness := newHarness(t, settings(), eps...)
	for d := range 30 { // one call to each of thirty destinations, every tenth one slow
		ev := harness.arrive(uint64(100+d), 0)
		ev.Destination = d
		sent := actionsOf(harness.step(ev), Send)[0]
		took := 100 * ms
		if d%10 == 0 {
			took = 3 * time.Second
		}
		harness.now += took
		harness.step(outcome(ev.ID, 0, sent.Endpoint, Delivered))
	}
	ev := harness.arrive(1, 0)
	ev.Destination = 30
	first := actionsOf(harness.step(ev), Send)[0]
	if first.For >= time.Second || first.For < 100*ms {
		t.Errorf("a call to an endpoint never called before may last %v, want a time-out of the plan", first.For)
	}
	e := harness.sender.endpoints[first.Endpoint]
	harness.now += 100 * ms
	harness.step(outcome(1, 0, first.Endpoint, Delivered))
	for range 40 {
		e.own.observe(harness.sender.now, harness.sender.bounds, 1)
		e.destination.latencies.observe(harness.sender.now, harness.sender.bounds, 1)
	}
	harness.sender.poolLatencies(e.destination)
	sum := e.pooled.failed
	for _, v := range e.pooled.counts {
		sum += v
	}
	wantNear(t, "pooled calls", sum, e.pooled.total)
	if m := e.pooled.quantile(harness.sender.bounds, 0.5); m < 0.9 || m > 1.3 {
		t.Errorf("median %v after forty own calls of 1 s", m)
	}
}

// A call is not restarted for the sake of a faster endpoint that takes nothing now: the retry would go to the same one
// again, with the same time-out, and so on until all attempts are used up.
func TestRestartPlan_ShutEndpoint_IsLeftOut(t *testing.T) {
	upperBounds := []float64{0.1, 1, 8}
	fast := &endpointState{route: &routeState{}, pooled: *tableOf(upperBounds, map[float64]float64{0.1: 100})}
	slow := &endpointState{route: &routeState{}, pooled: *tableOf(upperBounds, map[float64]float64{0.1: 10, 1: 90})}
	for what, shut := range map[string]routeState{"none": {}, "a wait": {waitUntil: time.Second}, "a refusal": {retryAt: time.Second}} {
		fast.route = &shut
		var p restartPlan
		p.solve(upperBounds, []*endpointState{fast, slow}, 2, 1, 0)
		if _, s := slow.pooled.bestRestart(upperBounds, p.expected[1]); (s == 0) != (what == "none") {
			t.Errorf("%s: cut at bucket %d", what, s)
		}
	}
}
