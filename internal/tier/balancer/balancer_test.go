package balancer

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// endpointsOf lists n ready endpoints of one service.
func endpointsOf(service string, n, capacity int) []model.Endpoint {
	list := make([]model.Endpoint, n)
	for i := range list {
		list[i] = model.Endpoint{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: fmt.Sprintf("z%d", i%4),
			Version: "v1", Capacity: capacity, State: model.Ready}
	}
	return list
}

func newBalancer(list []model.Endpoint) *Balancer {
	s := New(Options{Zone: "z0", Seed: 7})
	s.SetEndpoints(0, list)
	return s
}

func retryableRequest(service string) Request {
	return Request{Service: service, Route: Route{Name: "r", Kind: model.Retryable, MaxAttempts: 3}, Retryable: true,
		TimeLeft: 2 * time.Second}
}

func onceOnlyRequest(service string) Request {
	r := retryableRequest(service)
	r.Route.Kind, r.Retryable = model.AtMostOnce, false
	return r
}

// call makes one attempt that ends after elapsed, and returns where it went.
func call(t *testing.T, s *Balancer, now time.Duration, r Request, kind OutcomeKind, elapsed time.Duration) string {
	t.Helper()
	d := s.Select(now, r)
	if d.Endpoint == nil {
		t.Fatalf("rejected: %v", d.Rejection)
	}
	s.Sent(now, &d.Attempt)
	s.Done(now+elapsed, &d.Attempt, Outcome{Kind: kind, Elapsed: elapsed})
	return d.Endpoint.ID
}

// trainTimes makes calls of that length, one after the other, from now on, and returns the time after them.
func trainTimes(t *testing.T, s *Balancer, now time.Duration, r Request, calls int, elapsed time.Duration) time.Duration {
	t.Helper()
	for range calls {
		call(t, s, now, r, Success, elapsed)
		now += elapsed + solveInterval
	}
	return now
}

func TestSelect_NoCallTimes_LastsUntilDeadline(t *testing.T) {
	s := newBalancer(endpointsOf("feeds", 3, 6))
	d := s.Select(0, retryableRequest("feeds"))
	if d.Endpoint == nil || !d.UntilDeadline || d.Timeout != 2*time.Second {
		t.Errorf("decision %+v; want a call that runs on for the time left", d)
	}
}

func TestSelect_NothingEligible_RejectsWithReason(t *testing.T) {
	drained := endpointsOf("feeds", 2, 6)
	for i := range drained {
		drained[i].State = model.Draining
	}
	mixed := endpointsOf("feeds", 2, 6)
	mixed[1].Version = "v2"
	tests := []struct {
		name   string
		list   []model.Endpoint
		change func(*Request)
		want   RejectionKind
	}{
		{"the service has no endpoint", nil, nil, NoEndpoint},
		{"all endpoints are draining", drained, nil, NoEndpoint},
		{"two versions are listed and none is known to be in service", mixed, nil, NoEndpoint},
		{"all endpoints have been tried", endpointsOf("feeds", 2, 6),
			func(r *Request) { r.Excluded = []string{"feeds-0", "feeds-1"} }, NoEndpoint},
		{"all attempts are used", endpointsOf("feeds", 2, 6), func(r *Request) { r.AttemptsUsed = 3 }, AttemptsExhausted},
		{"it may have run and must not run twice", endpointsOf("feeds", 2, 6),
			func(r *Request) { r.Retryable, r.MayHaveRun = false, true }, AttemptsExhausted},
		{"no time is left", endpointsOf("feeds", 2, 6), func(r *Request) { r.TimeLeft = 0 }, AttemptsExhausted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newBalancer(test.list)
			r := retryableRequest("feeds")
			if test.change != nil {
				test.change(&r)
			}
			if d := s.Select(0, r); d.Endpoint != nil || d.Rejection.Kind != test.want {
				t.Errorf("endpoint %v, rejection %v; want %v", d.Endpoint, d.Rejection.Kind, test.want)
			}
		})
	}
}

func TestSelect_LessTimeThanMedian_RejectsAsDeadlineTooShort(t *testing.T) {
	// Given endpoints whose calls take 300 ms.
	s := newBalancer(endpointsOf("feeds", 3, 6))
	now := trainTimes(t, s, 0, retryableRequest("feeds"), 12, 300*time.Millisecond)

	// When a request comes with 100 ms left, then it is rejected; with 500 ms left it is sent.
	r := retryableRequest("feeds")
	if r.TimeLeft = 100 * time.Millisecond; s.Select(now, r).Rejection.Kind != DeadlineTooShort {
		t.Error("a request with a third of the median left was not rejected as DeadlineTooShort")
	}
	if r.TimeLeft = 500 * time.Millisecond; s.Select(now, r).Endpoint == nil {
		t.Error("a request with more than the median left was rejected")
	}
}

func TestSelect_SlowOutlierCalls_PlansTimeoutForRetryableOnly(t *testing.T) {
	// Given endpoints that take 50 ms, but 2 s one time in five, whatever the request.
	s := newBalancer(endpointsOf("feeds", 3, 6))
	now := time.Duration(0)
	for i := range 150 {
		elapsed := 50 * time.Millisecond
		if i%5 == 4 {
			elapsed = 2 * time.Second
		}
		call(t, s, now, retryableRequest("feeds"), Success, elapsed)
		now += solveInterval
	}
	now += 2 * time.Second

	// When a retryable request comes, then it is cut long before its time is over.
	d := s.Select(now, retryableRequest("feeds"))
	if d.UntilDeadline || d.Timeout > time.Second {
		t.Errorf("retryable: timeout %v, runs on %v; want a restart within a second", d.Timeout, d.UntilDeadline)
	}
	// And one that must not run twice lasts as long as it may.
	if d := s.Select(now, onceOnlyRequest("feeds")); !d.UntilDeadline || d.Timeout != 2*time.Second {
		t.Errorf("once only: timeout %v, runs on %v; want its time left", d.Timeout, d.UntilDeadline)
	}
	// And so does one whose program can't pay for another attempt.
	r := retryableRequest("feeds")
	if r.AffordableAttempts = 1; !s.Select(now, r).UntilDeadline {
		t.Error("the only attempt that the budget pays for is cut")
	}
	// And so does one for which no other endpoint is left.
	r.AffordableAttempts = 0
	r.Excluded = []string{"feeds-0", "feeds-1"}
	if d := s.Select(now, r); !d.UntilDeadline {
		t.Errorf("the last endpoint's call is cut after %v", d.Timeout)
	}
}

func TestSelect_OneEndpointFaster_PrefersIt(t *testing.T) {
	// Given two endpoints, one of which takes four times as long.
	s := newBalancer(endpointsOf("feeds", 2, 6))
	now, counts := time.Duration(0), map[string]int{}
	for range 200 {
		d := s.Select(now, retryableRequest("feeds"))
		elapsed := 50 * time.Millisecond
		if d.Endpoint.ID == "feeds-0" {
			elapsed = 200 * time.Millisecond
		}
		s.Sent(now, &d.Attempt)
		s.Done(now+elapsed, &d.Attempt, Outcome{Elapsed: elapsed})
		counts[d.Endpoint.ID]++
		now += elapsed + 10*time.Millisecond
	}
	if counts["feeds-1"] < 150 {
		t.Errorf("calls %v; want most at the faster one", counts)
	}
}

func TestSelect_EndpointRejects_BacksOffLonger(t *testing.T) {
	s := newBalancer(endpointsOf("feeds", 1, 6))
	now := time.Duration(0)
	last := time.Duration(0)
	for range 4 {
		call(t, s, now, retryableRequest("feeds"), NotRun, time.Millisecond)
		now += time.Millisecond
		d := s.Select(now, retryableRequest("feeds"))
		if d.Endpoint != nil || d.Rejection.Kind != Saturated || d.Rejection.RetryAfter <= 0 {
			t.Fatalf("decision %+v right after a rejection; want Saturated and a time to come back", d)
		}
		wait := s.endpoints["feeds-0"].health.backoffUntil - now
		if wait < last/2 {
			t.Errorf("wait of %v after one of %v; want them to grow", wait, last)
		}
		last, now = wait, now+wait
	}
	if last < 200*time.Millisecond {
		t.Errorf("the fourth wait is %v, want 200 ms or more", last)
	}
}

func TestSetEndpoints_EndpointReturns_KeepsBackoff(t *testing.T) {
	// Given an endpoint that has rejected a call.
	list := endpointsOf("feeds", 1, 6)
	s := newBalancer(list)
	call(t, s, 0, retryableRequest("feeds"), NotRun, time.Millisecond)
	// When a list without it comes, and then one with it again.
	s.SetEndpoints(2*time.Millisecond, nil)
	s.SetEndpoints(3*time.Millisecond, list)
	// Then nothing is sent there before the wait is over.
	if d := s.Select(4*time.Millisecond, retryableRequest("feeds")); d.Rejection.Kind != Saturated {
		t.Errorf("decision %+v, want Saturated", d)
	}
}

func TestSelect_EndpointEjected_GetsProbesOnly(t *testing.T) {
	// Given a service where one endpoint's connections are reset.
	s := newBalancer(endpointsOf("feeds", 3, 6))
	now := trainTimes(t, s, 0, retryableRequest("feeds"), 30, 30*time.Millisecond)
	ejected := "feeds-1"
	others := []string{"feeds-0", "feeds-2"}
	r := retryableRequest("feeds")
	r.Excluded = others
	for range maxFails {
		call(t, s, now, r, IncompleteResponse, time.Millisecond)
	}

	// When retryable requests go on for two seconds.
	probes := 0
	for range 100 {
		d := s.Select(now, retryableRequest("feeds"))
		kind := Success
		if d.Endpoint.ID == ejected {
			probes++
			kind = IncompleteResponse
		}
		s.Sent(now, &d.Attempt)
		s.Done(now+10*time.Millisecond, &d.Attempt, Outcome{Kind: kind, Elapsed: 10 * time.Millisecond})
		now += 20 * time.Millisecond
	}
	// Then a few of them are probes.
	if probes < 1 || probes > 5 {
		t.Errorf("%d of 100 requests went to the failing endpoint, want 1 to 5", probes)
	}
	// And a request that must not run twice is none.
	now += 10 * time.Second
	s.Select(now, retryableRequest("feeds"))
	for range 5 {
		if got := call(t, s, now, onceOnlyRequest("feeds"), Success, time.Millisecond); got == ejected {
			t.Error("a request that must not run twice was used as a probe")
		}
	}
	// And if all others are excluded, the failing one is used.
	if got := call(t, s, now, r, Success, time.Millisecond); got != ejected {
		t.Errorf("went to %s, want the only one left", got)
	}
}

func TestSelect_CallOverdue_AvoidsEndpoint(t *testing.T) {
	// Given a service of two, one of which stops answering.
	s := newBalancer(endpointsOf("feeds", 2, 6))
	now := trainTimes(t, s, 0, onceOnlyRequest("feeds"), 30, 30*time.Millisecond)
	r := onceOnlyRequest("feeds")
	r.Excluded = []string{"feeds-0"}
	overdue := s.Select(now, r)
	s.Sent(now, &overdue.Attempt)

	// When a second has passed, then nothing else goes there.
	now += time.Second
	for range 20 {
		if got := call(t, s, now, onceOnlyRequest("feeds"), Success, 30*time.Millisecond); got != "feeds-0" {
			t.Fatal("a request went to the endpoint that doesn't answer")
		}
		now += 10 * time.Millisecond
	}
}

func TestSelect_AllEndpointsAtCapacity_RejectsAsSaturated(t *testing.T) {
	// Given two endpoints of two slots that report that they are full and their queues too.
	s := newBalancer(endpointsOf("feeds", 2, 2))
	for range 2 {
		d := s.Select(0, retryableRequest("feeds"))
		s.Sent(0, &d.Attempt)
		s.Done(0, &d.Attempt, Outcome{Elapsed: 50 * time.Millisecond, Load: Load{Running: 3, Queued: 1, Capacity: 2}})
	}
	// When a request comes, then it is rejected with a time to come back; some time later it is tried.
	if d := s.Select(0, retryableRequest("feeds")); d.Rejection.Kind != Saturated || d.Rejection.RetryAfter <= 0 {
		t.Errorf("decision %+v, want Saturated", d)
	}
	if d := s.Select(5*time.Second, retryableRequest("feeds")); d.Endpoint == nil {
		t.Errorf("rejected (%v) by a report of 5 s ago", d.Rejection.Kind)
	}
}

func TestDone_Cancelled_CountsAsInFlightForAWhile(t *testing.T) {
	s := newBalancer(endpointsOf("feeds", 1, 6))
	now := trainTimes(t, s, 0, onceOnlyRequest("feeds"), 8, 200*time.Millisecond)
	d := s.Select(now, onceOnlyRequest("feeds"))
	s.Sent(now, &d.Attempt)
	s.Done(now+50*time.Millisecond, &d.Attempt, Outcome{Kind: Cancelled, Elapsed: 50 * time.Millisecond})
	e := s.endpoints["feeds-0"]
	if got := e.estimatedInFlight(now+60*time.Millisecond, 0); got < 1 {
		t.Errorf("running right after a cancel: %v, want 1", got)
	}
	if got := e.estimatedInFlight(now+time.Second, 0); got > 0.5 {
		t.Errorf("running a second later: %v, want 0", got)
	}
}

func TestSelect_TargetVersion_GetsItsShare(t *testing.T) {
	list := endpointsOf("feeds", 8, 6)
	for i := range 4 {
		list[i].Version = "v2"
	}
	for _, share := range []float64{0, 0.05, 0.3, 1} {
		for _, pinned := range []bool{false, true} {
			s := newBalancer(list)
			s.SetVersions([]view.ServiceVersions{{Service: "feeds", Current: "v1", Target: "v2", Share: share}})
			target := 0
			for i := range 1000 {
				r := retryableRequest("feeds")
				if pinned {
					r.AffinityKey, r.Route.UsesAffinity = uint64(i+1)*0x9e3779b97f4a7c15, true
				}
				now := time.Duration(i) * 10 * time.Millisecond
				d := s.Select(now, r)
				s.Sent(now, &d.Attempt)
				s.Done(now, &d.Attempt, Outcome{Elapsed: 5 * time.Millisecond})
				if d.Endpoint.Version == "v2" {
					target++
				}
			}
			if got := float64(target) / 1000; got > share || got < 0.8*share {
				t.Errorf("share %v, pinned %v: the target got %v", share, pinned, got)
			}
		}
	}
}

// turnRequest returns a turn of a program with that affinity.
func turnRequest(affinity uint64) Request {
	return Request{Service: "models", Route: Route{Name: "turns", Kind: model.Streaming, MaxAttempts: 1, UsesAffinity: true},
		TimeLeft: 4 * time.Second, PrefixTokens: 2000, NewTokens: 300, OutTokens: 24, AffinityKey: affinity}
}

func TestSelect_Affinity_AgreesAcrossProxies(t *testing.T) {
	// Given two proxies of one zone that know nothing of each other, and one of a zone without endpoints beside another such.
	list := endpointsOf("models", 9, 64) // three of them in z0
	for _, test := range []struct {
		zone     string
		endpoint []model.Endpoint // that may be chosen
	}{{"z0", []model.Endpoint{list[0], list[4], list[8]}}, {"z9", list}} {
		a, b := New(Options{Zone: test.zone, Seed: 7}), New(Options{Zone: test.zone, Seed: 99})
		a.SetEndpoints(0, list)
		b.SetEndpoints(0, list)
		places, counts := map[uint64]string{}, map[string]int{}
		for key := uint64(1); key <= 300; key++ {
			at, bt := a.Select(0, turnRequest(mix(key))).Endpoint, b.Select(0, turnRequest(mix(key))).Endpoint
			// Then they agree.
			if at.ID != bt.ID {
				t.Fatalf("zone %s, key %d: %s and %s", test.zone, key, at.ID, bt.ID)
			}
			places[key] = at.ID
			counts[at.ID]++
		}
		// And all endpoints that may be chosen share them, and no others.
		if len(counts) != len(test.endpoint) {
			t.Errorf("zone %s: chosen %v", test.zone, counts)
		}
		even := 300 / len(test.endpoint)
		for _, e := range test.endpoint {
			if got := counts[e.ID]; got < even/2 || got > 2*even {
				t.Errorf("zone %s: %s got %d of 300, want about %d", test.zone, e.ID, got, even)
			}
		}
		// And when one endpoint leaves, only its affinities move.
		a.SetEndpoints(0, list[1:])
		for key := uint64(1); key <= 300; key++ {
			moved := a.Select(0, turnRequest(mix(key))).Endpoint.ID != places[key]
			if moved != (places[key] == list[0].ID) {
				t.Fatalf("zone %s, key %d of %s: moved %v", test.zone, key, places[key], moved)
			}
		}
	}
}

func TestSelect_SmallShare_LoadsFewTargetEndpoints(t *testing.T) {
	// Given proxies that give a twentieth to a target that has as many endpoints as the version in service.
	for _, test := range []struct{ endpoints, want int }{{9, 1}, {48, 2}, {100, 5}} {
		list := endpointsOf("models", 2*test.endpoints, 64)
		for i := range test.endpoints {
			list[i].Version = "v2"
		}
		chosen := map[string]bool{}
		for seed := range uint64(4) {
			s := New(Options{Zone: fmt.Sprintf("z%d", seed), Seed: seed})
			s.SetEndpoints(0, list)
			s.SetVersions([]view.ServiceVersions{{Service: "models", Current: "v1", Target: "v2", Share: 0.05}})
			for key := range uint64(4000) {
				now := time.Duration(key) * 10 * time.Millisecond
				d := s.Select(now, turnRequest(mix(key+1)))
				s.Sent(now, &d.Attempt)
				s.Done(now, &d.Attempt, Outcome{Elapsed: 5 * time.Millisecond})
				if d.Endpoint.Version == "v2" {
					chosen[d.Endpoint.ID] = true
				}
			}
			// And when the target has won, all of its endpoints take requests.
			s.SetVersions([]view.ServiceVersions{{Service: "models", Current: "v2"}})
			after := map[string]bool{}
			for key := range uint64(4000) {
				after[s.Select(time.Minute, turnRequest(mix(key+1))).Endpoint.ID] = true
			}
			if zone := test.endpoints / 4; len(after) < zone {
				t.Errorf("%d endpoints, after the trial: %d are chosen, want the %d of the zone at least", test.endpoints, len(after), zone)
			}
		}
		// Then only so many get requests, the same at all proxies, as that share loads like the whole service.
		if len(chosen) != test.want {
			t.Errorf("%d endpoints: the trial went to %v, want %d", test.endpoints, chosen, test.want)
		}
	}
}

func TestSelect_PreferredEndpointCongested_GoesElsewhere(t *testing.T) {
	s := newBalancer(endpointsOf("models", 9, 8))
	r := Request{Service: "models", Route: Route{Name: "turns", Kind: model.Streaming, MaxAttempts: 1, UsesAffinity: true},
		TimeLeft: 4 * time.Second, PrefixTokens: 500, NewTokens: 300, OutTokens: 24, AffinityKey: 12345}
	preferred, elsewhere := s.Select(0, r).Endpoint.ID, false
	for range 12 {
		d := s.Select(0, r)
		attempt := d.Attempt
		s.Sent(0, &attempt)
		elsewhere = elsewhere || d.Endpoint.ID != preferred
	}
	if !elsewhere {
		t.Error("all of 12 calls went to one endpoint of 8 slots")
	}
}

func TestSelect_OneEndpoint_TakesAtMostItsShareOfInFlight(t *testing.T) {
	s := New(Options{Seed: 1, MaxInFlight: 16})
	list := endpointsOf("feeds", 1, 1000)
	s.SetEndpoints(0, list)
	attempts := make([]Attempt, 0, 20)
	for {
		d := s.Select(0, onceOnlyRequest("feeds"))
		if d.Endpoint == nil {
			break
		}
		attempts = append(attempts, d.Attempt)
		s.Sent(0, &attempts[len(attempts)-1])
	}
	if len(attempts) != 12 {
		t.Errorf("one endpoint took %d of 16 in flight, want 12", len(attempts))
	}
	// And half of them once its calls overrun.
	s.Select(5*time.Second, onceOnlyRequest("feeds"))
	if got := s.maxInFlightTo(s.endpoints["feeds-0"]); got != 8 {
		t.Errorf("cap while calls overrun: %d, want 8", got)
	}
}

func TestRetryBudget_Successes_EarnRetries(t *testing.T) {
	s := newBalancer(endpointsOf("feeds", 4, 6))
	r := retryableRequest("feeds")
	r.AttemptsUsed, r.MayHaveRun = 1, true
	sent := 0
	for s.Select(0, r).Endpoint != nil {
		call(t, s, 0, r, IncompleteResponse, time.Millisecond)
		sent++
	}
	if sent != int(maxRetryBudget/2) {
		t.Errorf("%d retries without a success, want %d", sent, int(maxRetryBudget/2))
	}
	now := trainTimes(t, s, 10*time.Second, retryableRequest("feeds"), 5, 10*time.Millisecond)
	if s.Select(now, r).Endpoint == nil {
		t.Error("five successes earned no retry")
	}
}
