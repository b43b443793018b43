package balancer

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// decisionRecord is the part of a Decision that a trace stores.
type decisionRecord struct {
	Endpoint      string
	Timeout       time.Duration
	UntilDeadline bool
	Rejection     Rejection
}

// randomRun drives a balancer with random operations and checks each decision.
type randomRun struct {
	t            *rapid.T
	balancer     *Balancer
	now          time.Duration
	list         []model.Endpoint
	target       string
	share        float64
	inFlight     []*Attempt
	sentAt       []time.Duration
	backoffs     map[string]time.Duration
	trace        []decisionRecord
	sent         float64
	sentToTarget float64
	answeredAt   time.Duration // when a call was last answered
	refreshedAt  time.Duration // when a request was last sent with less time left than the median
}

const runMaxInFlight = 16

func newRandomRun(t *rapid.T, seed uint64) *randomRun {
	return &randomRun{t: t, balancer: New(Options{Zone: "z0", Seed: seed, MaxInFlight: runMaxInFlight}), backoffs: map[string]time.Duration{}}
}

func (w *randomRun) changeEndpoints() {
	w.list = nil
	n := rapid.IntRange(0, 9).Draw(w.t, "endpoints")
	if rapid.IntRange(0, 9).Draw(w.t, "large service") == 0 {
		n = 80
	}
	for i, e := range endpointsOf("feeds", n, 2) {
		if i%5 == 3 {
			e.Version = "v2"
		}
		if i < 12 && rapid.IntRange(0, 5).Draw(w.t, "draining") == 0 {
			e.State = model.Draining
		}
		w.list = append(w.list, e)
	}
	w.balancer.SetEndpoints(w.now, slices.Clone(w.list))
}

func (w *randomRun) changeVersions() {
	w.share = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(w.t, "share")
	w.target = rapid.SampledFrom([]string{"", "v2"}).Draw(w.t, "target")
	w.balancer.SetVersions([]view.ServiceVersions{{Service: "feeds", Current: "v1", Target: w.target, TrafficShare: w.share}})
}

func (w *randomRun) request() Request {
	t := w.t
	r := Request{
		Service:      "feeds",
		Route:        Route{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), Kind: model.Retryable, MaxAttempts: 3},
		Retryable:    rapid.Bool().Draw(t, "retryable"),
		TimeLeft:     time.Duration(rapid.IntRange(1, 3000).Draw(t, "time left")) * time.Millisecond,
		AttemptsUsed: rapid.IntRange(0, 3).Draw(t, "attempts used"),
		AffinityKey:  rapid.Uint64Range(0, 3).Draw(t, "affinity key"),
	}
	r.Route.UsesAffinity = rapid.Bool().Draw(t, "uses affinity")
	r.MayHaveRun = r.AttemptsUsed > 0 && rapid.Bool().Draw(t, "may have run")
	if rapid.Bool().Draw(t, "stream") {
		r.Route.Kind, r.UncachedTokens, r.OutputTokens = model.Streaming, rapid.IntRange(0, 2000).Draw(t, "tokens"), 24
	}
	for _, e := range w.list {
		if len(r.Excluded) < 3 && rapid.IntRange(0, 6).Draw(t, "excluded") == 0 {
			r.Excluded = append(r.Excluded, e.ID)
		}
	}
	return r
}

func (w *randomRun) startAttempt() {
	r := w.request()
	d := w.balancer.Select(w.now, r)
	record := decisionRecord{Timeout: d.Timeout, UntilDeadline: d.UntilDeadline, Rejection: d.Rejection}
	if d.Endpoint == nil {
		if d.Rejection.Kind == NotRejected {
			w.t.Fatal("the decision has neither an endpoint nor a rejection")
		}
		w.trace = append(w.trace, record)
		return
	}
	record.Endpoint = d.Endpoint.ID
	w.trace = append(w.trace, record)
	w.check(&r, &d)
	attempt := d.Attempt
	w.balancer.Sent(w.now, &attempt)
	w.inFlight, w.sentAt = append(w.inFlight, &attempt), append(w.sentAt, w.now)
	if w.sent++; d.Endpoint.Version == "v2" {
		w.sentToTarget++
	}
}

func (w *randomRun) check(r *Request, d *Decision) {
	i := slices.IndexFunc(w.list, func(e model.Endpoint) bool { return e.ID == d.Endpoint.ID })
	e := w.balancer.endpoints[d.Endpoint.ID]
	switch {
	case i < 0 || w.list[i].State != model.Ready:
		w.t.Fatalf("%s is draining or not listed", d.Endpoint.ID)
	case w.list[i].Version != "v1" && (w.target == "" || w.share == 0):
		w.t.Fatalf("the version of %s takes no requests", d.Endpoint.ID)
	case slices.Contains(r.Excluded, d.Endpoint.ID):
		w.t.Fatalf("%s is excluded", d.Endpoint.ID)
	case d.Timeout > r.TimeLeft || d.Timeout <= 0 || d.UntilDeadline && d.Timeout != r.TimeLeft:
		w.t.Fatalf("timeout %v, until deadline %v, with %v left", d.Timeout, d.UntilDeadline, r.TimeLeft)
	case !r.Retryable && (!d.UntilDeadline || r.MayHaveRun):
		w.t.Fatal("a request that must not run twice has a planned timeout, or is sent again")
	case len(e.inFlight) >= runMaxInFlight*3/4 || e.health.consecutiveFailures > 0 && len(e.inFlight) >= runMaxInFlight/2:
		w.t.Fatalf("%s has %d calls in flight already, more than its share", d.Endpoint.ID, len(e.inFlight))
	case w.now < w.backoffs[d.Endpoint.ID]:
		w.t.Fatalf("%s is in backoff until %v", d.Endpoint.ID, w.backoffs[d.Endpoint.ID])
	case len(w.inFlight) >= runMaxInFlight:
		w.t.Fatal("more calls are in flight than MaxInFlight")
	}
	p := e.service.plan(d.Attempt.kind)
	if estimates := p.estimatesFor(e); estimates.known && r.TimeLeft < time.Duration(d.Attempt.workScale*float64(estimates.median)) {
		w.checkRefresh(e)
	}
}

// checkRefresh checks that a request with less time left than the median of its endpoint may be sent there: for a second no call has been
// answered, and no such request sent, and this proxy has no call in flight there.
func (w *randomRun) checkRefresh(e *endpoint) {
	if w.now-max(w.answeredAt, w.refreshedAt) < time.Second || len(e.inFlight) > 0 {
		w.t.Fatal("a request is sent with less time left than the median")
	}
	w.refreshedAt = w.now
}

func (w *randomRun) endAttempt() {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "attempt")
	a, sentAt := w.inFlight[i], w.sentAt[i]
	if a.kind == streamCall && rapid.Bool().Draw(w.t, "first event") {
		if !a.firstEventSeen {
			w.answeredAt = w.now
		}
		w.balancer.FirstEvent(w.now, a, Load{Running: 1, Capacity: 2})
		return
	}
	w.inFlight, w.sentAt = slices.Delete(w.inFlight, i, i+1), slices.Delete(w.sentAt, i, i+1)
	o := Outcome{Kind: OutcomeKind(rapid.IntRange(0, int(NotSent)).Draw(w.t, "outcome")), Elapsed: w.now - sentAt}
	if rapid.Bool().Draw(w.t, "load reported") {
		o.Load = Load{Running: rapid.IntRange(0, 2).Draw(w.t, "running"), Capacity: 2,
			Queued: rapid.IntRange(0, 2).Draw(w.t, "queued")}
	}
	if o.Kind == Success && !a.firstEventSeen {
		w.answeredAt = w.now
	}
	w.balancer.Done(w.now, a, o)
	w.backoffs[a.endpoint.model.ID] = a.endpoint.health.backoffUntil
}

func (w *randomRun) run(steps int) {
	w.changeVersions()
	w.changeEndpoints()
	for range steps {
		w.now += time.Duration(rapid.IntRange(0, 200).Draw(w.t, "ms")) * time.Millisecond
		switch rapid.IntRange(0, 20).Draw(w.t, "operation") {
		case 0:
			w.changeEndpoints()
		case 1:
			w.changeVersions()
		case 2, 3, 4, 5, 6, 7, 8:
			w.endAttempt()
		default:
			w.startAttempt()
		}
	}
}

func TestSelect_RandomRuns_KeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		newRandomRun(rt, rapid.Uint64().Draw(rt, "seed")).run(rapid.IntRange(1, 80).Draw(rt, "steps"))
	})
}

func TestDone_AllAttemptsEnded_LeavesNothingInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomRun(t, 1)
		w.run(rapid.IntRange(1, 60).Draw(t, "steps"))
		for len(w.inFlight) > 0 {
			w.endAttempt()
		}
		if w.balancer.inFlight != 0 {
			t.Fatalf("%d calls are in flight after the end of all attempts", w.balancer.inFlight)
		}
		for _, e := range w.balancer.endpoints {
			if len(e.inFlight) != 0 || e.health.probesInFlight != 0 {
				t.Fatalf("%s: %d calls and %d probes are in flight after the end of all attempts", e.model.ID, len(e.inFlight), e.health.probesInFlight)
			}
		}
	})
}

func TestSelect_SameSeedAndCalls_SameDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Given two balancers with the same seed, whose lists hold the same endpoints in opposite order.
		list := endpointsOf("feeds", 20, 2)
		reversed := slices.Clone(list)
		slices.Reverse(reversed)
		seed := rapid.Uint64().Draw(t, "seed")
		a, b := New(Options{Zone: "z0", Seed: seed}), New(Options{Zone: "z0", Seed: seed})
		a.SetEndpoints(0, list)
		b.SetEndpoints(0, reversed)
		var traces [2][]decisionRecord
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			r := retryableRequest()
			r.AffinityKey = rapid.Uint64Range(0, 5).Draw(t, "affinity")
			r.Route.UsesAffinity = r.AffinityKey > 0
			o := Outcome{Kind: OutcomeKind(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome")),
				Elapsed: time.Duration(rapid.IntRange(1, 800).Draw(t, "elapsed")) * time.Millisecond}
			// When both get the same requests and outcomes.
			for i, balancer := range []*Balancer{a, b} {
				d := balancer.Select(now, r)
				record := decisionRecord{Timeout: d.Timeout, UntilDeadline: d.UntilDeadline, Rejection: d.Rejection}
				if d.Endpoint != nil {
					record.Endpoint = d.Endpoint.ID
					balancer.Sent(now, &d.Attempt)
					balancer.Done(now+o.Elapsed, &d.Attempt, o)
				}
				traces[i] = append(traces[i], record)
			}
		}
		// Then they make the same decisions.
		if diff := cmp.Diff(traces[0], traces[1]); diff != "" {
			t.Fatal(diff)
		}
	})
}
