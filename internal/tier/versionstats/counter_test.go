package versionstats

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/proxy"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// fakeBalancer selects the endpoint whose ID is the request's AttemptID, and records the tickets that it gets back.
type fakeBalancer struct{ tickets []any }

func (b *fakeBalancer) Select(_ context.Context, info *proxy.RequestInfo) (proxy.Selection, error) {
	return proxy.Selection{ID: info.AttemptID, Ticket: "ticket of " + info.AttemptID}, nil
}
func (b *fakeBalancer) FirstEvent(selection proxy.Selection, _ string) {
	b.tickets = append(b.tickets, selection.Ticket)
}
func (b *fakeBalancer) Done(selection proxy.Selection, _ proxy.Outcome) {
	b.tickets = append(b.tickets, selection.Ticket)
}
func (b *fakeBalancer) SetEndpoints([]model.Endpoint)      {}
func (b *fakeBalancer) SetVersions([]view.ServiceVersions) {}

func TestCounter_Outcomes_CountedByVersionAndRoute(t *testing.T) {
	// Given a counter for two versions, one with an endpoint that is warming up,
	inner := &fakeBalancer{}
	now := time.Unix(1000, 0)
	c := New(inner, "p")
	c.now = func() time.Time { return now }
	c.SetEndpoints([]model.Endpoint{{ID: "a", Service: "s", Version: "v1"}, {ID: "b", Service: "s", Version: "v2", WarmUpLeftMs: 500}})
	c.SetVersions([]view.ServiceVersions{{Service: "s", Current: "v1", Target: "v2", TrafficShare: 0.1}})
	// when requests on two routes end, one of them after its endpoint has left the list,
	send := func(endpoint, route string) proxy.Selection {
		selection, err := c.Select(context.Background(), &proxy.RequestInfo{AttemptID: endpoint, Route: &model.Route{Name: route}})
		if err != nil {
			t.Fatal(err)
		}
		return selection
	}
	done := proxy.Outcome{Result: proxy.Succeeded, Elapsed: 40 * time.Millisecond}
	c.Done(send("a", "r1"), done)
	c.Done(send("b", "r1"), done)
	now = now.Add(time.Second)
	c.Done(send("b", "r2"), done)
	pending := send("b", "r2")
	c.FirstEvent(pending, "")
	c.SetEndpoints(nil)
	c.Done(pending, proxy.Outcome{Result: proxy.IncompleteResponse})
	c.Done(send("b", "r2"), done)
	// then each outcome is counted for its version and route, and the balancer gets its own tickets back.
	report, ok := c.Report()
	if !ok {
		t.Fatal("Report returned false, want a report")
	}
	var observed rollout.Stats
	observed.ObserveLatency(done.Elapsed)
	want := wire.VersionStatsReport{Source: "p", Versions: []wire.VersionStats{
		{Service: "s", Route: "r1", Version: "v1", Stats: rollout.Stats{Sent: 1, Good: 1, LatencyBuckets: observed.LatencyBuckets}},
		{Service: "s", Route: "r1", Version: "v2", Stats: rollout.Stats{Sent: 1, Good: 1}},
		{Service: "s", Route: "r2", Version: "v2", Stats: rollout.Stats{Sent: 2, Good: 1, Bad: 1, LatencyBuckets: observed.LatencyBuckets}},
	}}
	if diff := cmp.Diff(want, report); diff != "" {
		t.Error(diff)
	}
	tickets := []any{"ticket of a", "ticket of b", "ticket of b", "ticket of b", "ticket of b", "ticket of b"}
	if diff := cmp.Diff(tickets, inner.tickets); diff != "" {
		t.Error(diff)
	}
}

func TestCounter_AttemptNeverRan_CountsNothing(t *testing.T) {
	for _, outcome := range []proxy.Outcome{
		{Result: proxy.NotRun, Status: 503},
		{Result: proxy.NeverSent},
		{Result: proxy.ClientClosed, Elapsed: time.Second},
		{Result: proxy.ClientClosed, FirstByte: time.Second, Elapsed: 9 * time.Second},
		{Result: proxy.OutOfMemory, FirstByte: time.Second, Elapsed: 9 * time.Second},
	} {
		// Given empty counts, when an attempt ends in a way that says nothing about the version,
		var stats rollout.Stats
		observe(&stats, outcome, false)
		// then nothing is counted.
		if stats != (rollout.Stats{}) {
			t.Errorf("outcome %+v is counted as %+v, want no count", outcome, stats)
		}
	}
}

func TestCounter_RolloutRepeated_CountsAnew(t *testing.T) {
	// Given a version that failed a request during its rollout, and had another one in flight when the rollout was cancelled,
	now := time.Unix(1000, 0)
	c := New(&fakeBalancer{}, "p")
	c.now = func() time.Time { return now }
	c.SetEndpoints([]model.Endpoint{{ID: "b", Service: "s", Version: "v2"}})
	send := func() proxy.Selection {
		selection, err := c.Select(t.Context(), &proxy.RequestInfo{AttemptID: "b", Route: &model.Route{Name: "r"}})
		if err != nil {
			t.Fatal(err)
		}
		return selection
	}
	c.SetVersions([]view.ServiceVersions{{Service: "s", Current: "v1", Target: "v2", Order: 7}})
	c.Done(send(), proxy.Outcome{Result: proxy.IncompleteResponse})
	pending := send()
	c.SetVersions([]view.ServiceVersions{{Service: "s", Current: "v1"}})
	// when the version is rolled out again, and SetVersions is called twice for the new rollout,
	repeated := []view.ServiceVersions{{Service: "s", Current: "v1", Target: "v2", Order: 9}}
	c.SetVersions(repeated)
	c.Done(pending, proxy.Outcome{Result: proxy.IncompleteResponse})
	now = now.Add(300 * time.Millisecond)
	c.SetVersions(repeated)
	c.Done(send(), proxy.Outcome{Result: proxy.NotRun})
	now = now.Add(200 * time.Millisecond)
	// then the outcomes of requests from the first rollout aren't counted for the second one.
	report, ok := c.Report()
	if !ok {
		t.Fatal("Report returned false, want a report")
	}
	want := []wire.VersionStats{
		{Service: "s", Route: "r", Version: "v2", Stats: rollout.Stats{Sent: 2, Bad: 2}},
		{Service: "s", Route: "r", Version: "v2", Order: 9, AgeMs: 500, Stats: rollout.Stats{Sent: 1}},
	}
	if diff := cmp.Diff(want, report.Versions); diff != "" {
		t.Error(diff)
	}
}

// TestCounter_NothingChanged_ReportsAgainDuringRollout: a controller that has started during a rollout needs the counts of idle proxies too.
func TestCounter_NothingChanged_ReportsAgainDuringRollout(t *testing.T) {
	// Given a proxy that has reported, and gets no requests since,
	now := time.Unix(1000, 0)
	c := New(&fakeBalancer{}, "p")
	c.now = func() time.Time { return now }
	c.SetVersions([]view.ServiceVersions{{Service: "s", Current: "v1", Target: "v2", Order: 7}})
	if _, due := c.Report(); !due {
		t.Fatal("no report on a new rollout")
	}
	// then it reports again each second while the rollout is in progress, and no more after that.
	for _, test := range []struct {
		after    time.Duration
		ended    bool
		wantsDue bool
	}{{900 * time.Millisecond, false, false}, {100 * time.Millisecond, false, true}, {500 * time.Millisecond, false, false},
		{500 * time.Millisecond, false, true}, {5 * time.Second, true, false}} {
		now = now.Add(test.after)
		if test.ended {
			c.SetVersions([]view.ServiceVersions{{Service: "s", Current: "v2"}})
		}
		if _, due := c.Report(); due != test.wantsDue {
			t.Errorf("%v later, with the rollout ended %v: due %v, want %v", test.after, test.ended, due, test.wantsDue)
		}
	}
}

func TestCounter_AnswersOfRollout_ReportedInOrder(t *testing.T) {
	// Given a version that fails one request in its rollout after two good answers,
	now := time.Unix(1000, 0)
	c := New(&fakeBalancer{}, "p")
	c.now = func() time.Time { return now }
	c.SetEndpoints([]model.Endpoint{{ID: "a", Service: "s", Version: "v1"}, {ID: "b", Service: "s", Version: "v2"}})
	c.SetVersions([]view.ServiceVersions{{Service: "s", Current: "v1", Target: "v2", Order: 7}})
	for _, result := range []proxy.Result{proxy.Succeeded, proxy.Succeeded, proxy.ErrorResponse} {
		for _, endpoint := range []string{"a", "b"} {
			selection, err := c.Select(t.Context(), &proxy.RequestInfo{AttemptID: endpoint, Route: &model.Route{Name: "r"}})
			if err != nil {
				t.Fatal(err)
			}
			c.Done(selection, proxy.Outcome{Result: result})
		}
		now = now.Add(time.Second)
	}
	// then its report has them in order, and the version in service has no history.
	report, _ := c.Report()
	zeroLatency := []rollout.LatencyCount{{Bucket: 0, Count: 1}}
	want := []rollout.Interval{{AgeMs: 3000, Good: 1, Latencies: zeroLatency}, {AgeMs: 2000, Good: 1, Latencies: zeroLatency}, {AgeMs: 1000, Bad: 1}}
	for _, versions := range report.Versions {
		if versions.Version == "v1" && versions.History != nil {
			t.Errorf("the version in service has the history %v, want none", versions.History)
		}
		if diff := cmp.Diff(want, versions.History); versions.Version == "v2" && diff != "" {
			t.Error(diff)
		}
	}
}
