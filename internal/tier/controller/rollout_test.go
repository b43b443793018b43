package controller

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/wire"
)

// clockedFixture is a controller whose clocks the test sets.
type clockedFixture struct {
	*fixture
	now  time.Duration // of the monotonic clock
	skew time.Duration // of the wall clock
}

func newClockedFixture(t testing.TB) *clockedFixture {
	f := &clockedFixture{}
	f.fixture = newFixture(t, memorydisk.New(), func(options *Options) {
		options.Clock = func() time.Duration { return f.now }
		options.Now = func() time.Time { return timeOfDayAt(f.now + f.skew) }
	})
	return f
}

// timeOfDayAt returns the correct time of day at a time of the monotonic clock.
func timeOfDayAt(now time.Duration) time.Time { return time.UnixMilli(1_700_000_000_000).Add(now) }

// apply applies a committed entry.
func (f *clockedFixture) apply(t testing.TB, index uint64, command Command) any {
	t.Helper()
	return lockedStateMachine{f.Controller}.Apply(index, mustMarshal(t, command))
}

func TestRollout_TimeInService(t *testing.T) {
	const order = 7
	reportOf := func(order uint64, age time.Duration) *wire.VersionStats {
		return &wire.VersionStats{Service: "lm", Route: "r", Version: "v2", Order: order, AgeMs: age.Milliseconds(), Stats: rollout.Stats{Sent: 1}}
	}
	tests := []struct {
		name   string
		age    time.Duration // since the order was sent
		seen   time.Duration // since this process applied the order
		skew   time.Duration
		report *wire.VersionStats // that arrived 0.5 s ago; nil: none
		want   time.Duration
	}{
		{"applied at its commit", 5 * time.Second, 5 * time.Second, 0, nil, 5*time.Second + commitDelay},
		{"on a clock ahead", 5 * time.Second, 5 * time.Second, 2 * time.Second, reportOf(order, 4500*time.Millisecond), 5*time.Second + commitDelay},
		{"on a clock behind", 5 * time.Second, 5 * time.Second, -2 * time.Second, nil, 5*time.Second + commitDelay},
		{"committed long after it was sent", 30 * time.Second, 0, 0, nil, commitDelay},
		{"committed long after it was sent, with a report", 30 * time.Second, time.Second, 0, reportOf(order, 200*time.Millisecond), time.Second + commitDelay},
		{"after a restart", 8 * time.Second, time.Second, 0, reportOf(order, 7*time.Second), 7500*time.Millisecond + commitDelay},
		{"after a restart, before any report", 8 * time.Second, time.Second, 0, nil, time.Second + commitDelay},
		{"after a restart, of a service without requests", 8 * time.Second, reportTimeout, 0, nil, 8 * time.Second},
		{"with a report of an earlier order for the same version", 30 * time.Second, time.Second, 0, reportOf(3, 90*time.Second), time.Second + commitDelay},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// Given an order, the time when this process applied it, and a proxy's report.
			f := newClockedFixture(t)
			f.now = time.Hour - test.seen
			proposal := &rollout.Proposal{Service: "lm", Target: "v2", DurationMs: 12000, ProposedAtMs: timeOfDayAt(time.Hour - test.age).UnixMilli()}
			if got := f.apply(t, order, Command{Rollout: proposal}); got != rollout.Accepted {
				t.Fatalf("the result of the order is %v", got)
			}
			if test.report != nil {
				f.versionStats.replace(time.Hour-500*time.Millisecond, wire.VersionStatsReport{Source: "p", Versions: []wire.VersionStats{*test.report}})
			}
			// Then the roll-out's time in service follows from these.
			f.now, f.skew = time.Hour, test.skew
			newestRollout := f.newestRollout("lm")
			_, known := f.versionStats.duringRollout(&newestRollout, f.now, 1)
			if got := f.elapsed(&newestRollout, f.now, known); got != test.want {
				t.Errorf("time in service %v, want %v", got, test.want)
			}
		})
	}
}

func TestRollout_StatsOfEarlierOrder_Ignored(t *testing.T) {
	// Given a version that failed while it was first rolled out, and is rolled out again.
	const first, second = 5, 9
	f := newClockedFixture(t)
	stats := func(order uint64, sent, bad int64) wire.VersionStats {
		return wire.VersionStats{Service: "lm", Route: "r", Version: "v2", Order: order, Stats: rollout.Stats{Sent: sent, Bad: bad}}
	}
	f.versionStats.replace(0, wire.VersionStatsReport{Source: "p", Versions: []wire.VersionStats{stats(0, 30, 20), stats(second, 3, 0)}})
	f.versionStats.replace(0, wire.VersionStatsReport{Source: "q", Versions: []wire.VersionStats{stats(first, 7, 6), stats(second, 2, 1)}})
	// Then only the stats of the second roll-out count for the target, and all of them if the version is the baseline.
	target, _ := f.versionStats.duringRollout(&rollout.Rollout{Proposal: rollout.Proposal{Service: "lm", Target: "v2"}, Index: second}, 0, 2)
	if got := target.Totals.Total(); got.Sent != 5 || got.Bad != 1 {
		t.Errorf("the target has %d requests, %d of which failed; want 5 and 1", got.Sent, got.Bad)
	}
	if got := f.versionStats.total("lm", "v2").Total(); got.Sent != 42 || got.Bad != 27 {
		t.Errorf("the version has %d requests, %d of which failed; want 42 and 27", got.Sent, got.Bad)
	}
}

func TestRolloutProposal_CarriesDedupExpiredIndex(t *testing.T) {
	// Given an order for a roll-out and, later, one for a decommissioning.
	f := newClockedFixture(t)
	window := dedupWindowLength(f.options.Settings.Bounds)
	sent := func() int64 { return timeOfDayAt(f.now).UnixMilli() }
	f.apply(t, 4, Command{Rollout: &rollout.Proposal{Service: "lm", Target: "v2", DurationMs: 1, ProposedAtMs: sent()}})
	f.now += time.Second
	retired := decommissionFor("storage-1")
	retired.AtMs = sent()
	f.apply(t, 6, Command{Decommission: retired})
	// Then the dedup window of each ends after its length, whatever the time of day.
	for _, test := range []struct {
		now  time.Duration
		skew time.Duration
		want uint64
	}{
		{time.Second, 0, 0},
		{window, 2 * time.Second, 0},
		{window + time.Millisecond, 0, 4},
		{window + time.Millisecond, -time.Hour, 4},
		{window + 1001*time.Millisecond, 0, 6},
	} {
		f.now, f.skew = test.now, test.skew
		if got := f.rolloutProposal(&rolloutRequest{Service: "lm", Target: "v3", OverS: 1}).DedupExpiredIndex; got != test.want {
			t.Errorf("after %v, on a clock that is %v ahead, the dedup window has ended for entries up to %d, want %d", test.now, test.skew, got, test.want)
		}
	}
}

func TestDedupWindow_FollowsSettings(t *testing.T) {
	if got := dedupWindowLength(settings.Bounds{"confirmMs": 5000, "stretchMs": 6000}); got != 11*time.Second {
		t.Errorf("the dedup window is %v, want 11 s", got)
	}
	if got := dedupWindowLength(nil); got != 9*time.Second {
		t.Errorf("without settings the dedup window is %v, want 9 s", got)
	}
}

func TestInitialVersions_SeveralInTheFirstList_MostEndpointsServe(t *testing.T) {
	listed := func(service string, versions ...string) []model.Endpoint {
		var endpoints []model.Endpoint
		for _, version := range versions {
			endpoints = append(endpoints, model.Endpoint{Service: service, Version: version})
		}
		return endpoints
	}
	for _, tc := range []struct {
		name   string
		listed []model.Endpoint
		want   map[string]string
	}{
		{"one version", listed("lm", "v1", "v1"), map[string]string{"lm": "v1"}},
		{"two, of which one has more endpoints", listed("lm", "v1", "v2", "v2"), map[string]string{"lm": "v2"}},
		{"two with as many endpoints", listed("lm", "v2", "v1", "v1", "v2"), map[string]string{"lm": "v1"}},
		{"no version", listed("lm", "", ""), map[string]string{}},
		{"two services", append(listed("lm", "v1"), listed("tools", "a", "b", "b")...), map[string]string{"lm": "v1", "tools": "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, initialVersions(tc.listed)); diff != "" {
				t.Errorf("versions (-want +got):\n%s", diff)
			}
		})
	}
}
