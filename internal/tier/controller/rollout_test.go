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

// clockedBed is a controller with clocks that the test sets.
type clockedBed struct {
	*fixture
	now  time.Duration // of the steady clock
	skew time.Duration // of the time of day
}

func newClockedBed(t testing.TB) *clockedBed {
	b := &clockedBed{}
	b.fixture = newFixture(t, memorydisk.New(), func(options *Options) {
		options.Clock = func() time.Duration { return b.now }
		options.Now = func() time.Time { return dayAt(b.now + b.skew) }
	})
	return b
}

// dayAt is the time of day that a right clock shows.
func dayAt(now time.Duration) time.Time { return time.UnixMilli(1_700_000_000_000).Add(now) }

// apply lets the member see an entry that has been committed.
func (b *clockedBed) apply(t testing.TB, index uint64, command Command) any {
	t.Helper()
	return lockedStateMachine{b.Controller}.Apply(index, mustMarshal(t, command))
}

func TestRollout_TimeInService(t *testing.T) {
	const order = 7
	reportOf := func(order uint64, age time.Duration) *wire.VersionStats {
		return &wire.VersionStats{Service: "lm", Route: "r", Version: "v2", Order: order, AgeMs: age.Milliseconds(), Stats: rollout.Stats{Sent: 1}}
	}
	tests := []struct {
		name   string
		age    time.Duration // since the order was sent
		seen   time.Duration // since this process has seen it
		skew   time.Duration
		report *wire.VersionStats // that came 0.5 s ago
		want   time.Duration
	}{
		{"seen since it was taken", 5 * time.Second, 5 * time.Second, 0, nil, 5*time.Second + commitDelay},
		{"on a clock that went ahead", 5 * time.Second, 5 * time.Second, 2 * time.Second, reportOf(order, 4500*time.Millisecond), 5*time.Second + commitDelay},
		{"on a clock that went back", 5 * time.Second, 5 * time.Second, -2 * time.Second, nil, 5*time.Second + commitDelay},
		{"taken long after it was sent", 30 * time.Second, 0, 0, nil, commitDelay},
		{"taken long after it was sent, and tried", 30 * time.Second, time.Second, 0, reportOf(order, 200*time.Millisecond), time.Second + commitDelay},
		{"after a restart", 8 * time.Second, time.Second, 0, reportOf(order, 7*time.Second), 7500*time.Millisecond + commitDelay},
		{"after a restart, before any report", 8 * time.Second, time.Second, 0, nil, time.Second + commitDelay},
		{"after a restart, of a service that nobody calls", 8 * time.Second, reportTimeout, 0, nil, 8 * time.Second},
		{"beside an earlier order for the same version", 30 * time.Second, time.Second, 0, reportOf(3, 90*time.Second), time.Second + commitDelay},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// Given an order, when this process has seen it, and what a proxy has reported.
			b := newClockedBed(t)
			b.now = time.Hour - test.seen
			taken := &rollout.Proposal{Service: "lm", Target: "v2", OverMs: 12000, AtMs: dayAt(time.Hour - test.age).UnixMilli()}
			if got := b.apply(t, order, Command{Rollout: taken}); got != rollout.Accepted {
				t.Fatalf("the order is %v", got)
			}
			if test.report != nil {
				b.versionStats.replace(time.Hour-500*time.Millisecond, wire.VersionStatsReport{Source: "p", Versions: []wire.VersionStats{*test.report}})
			}
			// Then its time in service follows from these.
			b.now, b.skew = time.Hour, test.skew
			roll := b.roll("lm")
			_, known := b.versionStats.duringRollout(&roll, b.now)
			if got := b.elapsed(&roll, b.now, known); got != test.want {
				t.Errorf("it has been in service for %v, want %v", got, test.want)
			}
		})
	}
}

func TestRollout_StatsOfEarlierOrder_Ignored(t *testing.T) {
	// Given a version that failed while it was first rolled out, and is rolled out again.
	const first, second = 5, 9
	b := newClockedBed(t)
	tally := func(order uint64, sent, bad int64) wire.VersionStats {
		return wire.VersionStats{Service: "lm", Route: "r", Version: "v2", Order: order, Stats: rollout.Stats{Sent: sent, Bad: bad}}
	}
	b.versionStats.replace(0, wire.VersionStatsReport{Source: "p", Versions: []wire.VersionStats{tally(0, 30, 20), tally(second, 3, 0)}})
	b.versionStats.replace(0, wire.VersionStatsReport{Source: "q", Versions: []wire.VersionStats{tally(first, 7, 6), tally(second, 2, 1)}})
	// Then only the answers during that are the target's, and all are its own once it is what others are compared with.
	target, _ := b.versionStats.duringRollout(&rollout.Rollout{Proposal: rollout.Proposal{Service: "lm", Target: "v2"}, Index: second}, 0)
	if got := target.Total(); got.Sent != 5 || got.Bad != 1 {
		t.Errorf("the target got %d requests, %d of which failed; want 5 and 1", got.Sent, got.Bad)
	}
	if got := b.versionStats.total("lm", "v2").Total(); got.Sent != 42 || got.Bad != 27 {
		t.Errorf("the version got %d requests, %d of which failed; want 42 and 27", got.Sent, got.Bad)
	}
}

func TestRolloutProposal_CarriesDedupExpiredIndex(t *testing.T) {
	// Given an order of a roll-out and, later, one of a retirement.
	b := newClockedBed(t)
	window := dedupWindowLength(b.options.Settings.Bounds)
	sent := func() int64 { return dayAt(b.now).UnixMilli() }
	b.apply(t, 4, Command{Rollout: &rollout.Proposal{Service: "lm", Target: "v2", OverMs: 1, AtMs: sent()}})
	b.now += time.Second
	retired := decommissionFor("storage-1")
	retired.AtMs = sent()
	b.apply(t, 6, Command{Decommission: retired})
	// Then each is settled once its window is over, whatever the time of day.
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
		b.now, b.skew = test.now, test.skew
		if got := b.rolloutProposal(&rolloutRequest{Service: "lm", Target: "v3", OverS: 1}).DedupExpiredIndex; got != test.want {
			t.Errorf("after %v, on a clock that is %v ahead, entries up to %d are settled, want %d", test.now, test.skew, got, test.want)
		}
	}
}

func TestDedupWindow_FollowsSettings(t *testing.T) {
	if got := dedupWindowLength(settings.Bounds{"confirmMs": 5000, "stretchMs": 6000}); got != 11*time.Second {
		t.Errorf("the window is %v, want 11 s", got)
	}
	if got := dedupWindowLength(nil); got != 9*time.Second {
		t.Errorf("without settings the window is %v, want 9 s", got)
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
