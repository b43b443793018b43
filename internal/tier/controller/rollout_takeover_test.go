package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/proxy"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/versionstats"
	"mastusher/internal/tier/view"
)

// Traffic and times of the roll-outs in these tests.
const (
	takeoverProxies  = 9
	takeoverStep     = 40 * time.Millisecond // in each, the target answers one request
	baselinePerStep  = 11                    // requests that the baseline answers meanwhile
	takeoverReport   = 200 * time.Millisecond
	takeoverDuration = 12 * time.Second
	turnsBadAt       = 9950 * time.Millisecond
	takesOverAt      = 10050 * time.Millisecond
	noLeaderFor      = 1120 * time.Millisecond
)

// namedEndpointBalancer selects the endpoint that a request's AttemptID names.
type namedEndpointBalancer struct{}

func (namedEndpointBalancer) Select(_ context.Context, info *proxy.RequestInfo) (proxy.Selection, error) {
	return proxy.Selection{ID: info.AttemptID}, nil
}
func (namedEndpointBalancer) FirstEvent(proxy.Selection, string)  {}
func (namedEndpointBalancer) Done(proxy.Selection, proxy.Outcome) {}
func (namedEndpointBalancer) SetEndpoints([]model.Endpoint)       {}
func (namedEndpointBalancer) SetVersions([]view.ServiceVersions)  {}

// takeover is a roll-out during which the leader changes. Its proxies count what they send, as real ones do.
type takeover struct {
	*fixture
	t        *testing.T
	analyses map[uint64]*rollout.Analysis
	counters []*versionstats.Counter
	random   uint64
	down     bool // no controller runs that could get reports while there is no leader
}

func newTakeover(t *testing.T) *takeover {
	run := &takeover{fixture: startFixture(t, memorydisk.New()), t: t, analyses: map[uint64]*rollout.Analysis{}}
	members := run.fleet.Members()
	for i := range takeoverProxies {
		members = append(members, membership.Member{Name: fmt.Sprintf("edge-%d/agent", i), Role: membership.Agent})
	}
	run.fleet.set(members...)
	run.propose(Command{ObservedVersion: &rollout.ObservedVersion{Service: "lm", Version: "v1"}})
	proposal := rollout.Proposal{Service: "lm", Target: "v2", DurationMs: takeoverDuration.Milliseconds(), ProposedAtMs: time.Now().UnixMilli()}
	run.propose(Command{Rollout: &proposal})
	for i := range takeoverProxies {
		counter := versionstats.New(namedEndpointBalancer{}, fmt.Sprint("proxy-", i))
		counter.SetEndpoints([]model.Endpoint{{ID: "old", Service: "lm", Version: "v1"}, {ID: "new", Service: "lm", Version: "v2"}})
		counter.SetVersions(run.state.rollouts.Versions().Services)
		run.counters = append(run.counters, counter)
	}
	return run
}

func (run *takeover) propose(command Command) {
	run.t.Helper()
	if _, err := run.group.Propose(run.t.Context(), command); err != nil {
		run.t.Fatal(err)
	}
}

// answer has an endpoint answer a request of a proxy.
func (run *takeover) answer(proxyNumber int, endpoint string, result proxy.Result) {
	counter := run.counters[proxyNumber%takeoverProxies]
	selection, err := counter.Select(run.t.Context(), &proxy.RequestInfo{AttemptID: endpoint, Route: &model.Route{Name: "r"}})
	if err != nil {
		run.t.Fatal(err)
	}
	counter.Done(selection, proxy.Outcome{Result: result, Elapsed: 20 * time.Millisecond})
}

// fails draws whether a bad version fails a request: half of them.
func (run *takeover) fails() bool {
	run.random = run.random*6364136223846793005 + 1442695040888963407
	return run.random>>63 == 0
}

// play sends requests and reports until the roll-out is decided or the time is over, and returns its state and when it was decided. The
// target turns bad at a time; 0: never. takeOver is called when the leader changes.
func (run *takeover) play(badFrom time.Duration, takeOver func()) (rollout.State, time.Duration) {
	began := time.Now()
	tookOver := false
	for number := 0; time.Since(began) < takeoverDuration+4*time.Second; number++ {
		now := time.Since(began)
		result := proxy.Succeeded
		if badFrom > 0 && now >= badFrom && run.fails() {
			result = proxy.ErrorResponse
		}
		run.answer(number, "new", result)
		for i := range baselinePerStep {
			run.answer(number+i, "old", proxy.Succeeded)
		}
		if !tookOver && now >= takesOverAt {
			tookOver = true
			takeOver()
		}
		isLed := now < takesOverAt || now >= takesOverAt+noLeaderFor
		if (isLed || !run.down) && now%takeoverReport < takeoverStep {
			run.report()
		}
		if isLed {
			run.analyzeRollouts(run.t.Context(), run.analyses)
		}
		if newest := run.newestRollout("lm"); newest.State != rollout.InService {
			return newest.State, now
		}
		time.Sleep(takeoverStep)
	}
	return rollout.InService, time.Since(began)
}

// report passes the proxies' reports on to the controller.
func (run *takeover) report() {
	for _, counter := range run.counters {
		if report, due := counter.Report(); due {
			run.versionStats.replace(run.options.Clock(), report)
		}
	}
}

// TestRollout_LeaderChangesAsVersionTurnsBad_Reverted guards against review case 3: a leader that had just taken over put a version in
// service that had turned bad a moment before, since it took all answers so far as one, and many of them were good.
func TestRollout_LeaderChangesAsVersionTurnsBad_Reverted(t *testing.T) {
	takeOvers := map[string]func(*takeover){
		"the leader stays": func(*takeover) {},
		"a follower that has all reports takes over": func(run *takeover) {
			run.analyses = map[uint64]*rollout.Analysis{}
		},
		"all controllers restart": func(run *takeover) {
			run.analyses = map[uint64]*rollout.Analysis{}
			run.versionStats = newStatsTable()
			run.down = true
		},
	}
	for name, takeOver := range takeOvers {
		for _, badFrom := range []time.Duration{0, turnsBadAt} {
			want := map[bool]rollout.State{true: rollout.Finished, false: rollout.Reverted}[badFrom == 0]
			t.Run(fmt.Sprint(name, ", ", want), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					// Given a roll-out whose target answers well, and perhaps turns bad just before the leader changes,
					run := newTakeover(t)
					// when the roll-out is evaluated until its end,
					state, after := run.play(badFrom, func() { takeOver(run) })
					// then a good target is finished by the deadline, and a bad one is reverted.
					if state != want || after > takeoverDuration {
						t.Errorf("%s after %v, want %s within %v", state, after, want, takeoverDuration)
					}
				})
			})
		}
	}
}

// TestRollout_ReportsMissingAfterRestart_NotFinished: a controller that has heard of one proxy alone doesn't finish a roll-out on its
// answers while others may have seen that the version is bad.
func TestRollout_ReportsMissingAfterRestart_NotFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Given a roll-out with good answers at one proxy and bad ones at the others, at its end,
		run := newTakeover(t)
		for number := range 300 {
			result := proxy.ErrorResponse
			if number%takeoverProxies == 0 {
				result = proxy.Succeeded
			}
			run.answer(number, "new", result)
			run.answer(number, "old", proxy.Succeeded)
		}
		time.Sleep(takeoverDuration - 150*time.Millisecond)
		// when a controller that has just started gets the first proxy's report,
		run.versionStats = newStatsTable()
		reportOf := func(number int) {
			report, due := run.counters[number].Report()
			if !due {
				t.Fatalf("proxy %d makes no report", number)
			}
			run.versionStats.replace(run.options.Clock(), report)
		}
		reportOf(0)
		run.analyzeRollouts(t.Context(), run.analyses)
		// then the roll-out stays in service, until the others report.
		if state := run.newestRollout("lm").State; state != rollout.InService {
			t.Errorf("%s on the report of one proxy of %d, want in_service", state, takeoverProxies)
		}
		for number := range takeoverProxies {
			if number > 0 {
				reportOf(number)
			}
		}
		run.analyzeRollouts(t.Context(), run.analyses)
		if state := run.newestRollout("lm").State; state != rollout.Reverted {
			t.Errorf("%s on the reports of all proxies, want reverted", state)
		}
	})
}

// TestRollout_RestartAfterDeadline_WaitsForReports: a controller that starts when the time of a roll-out is over by the time of day doesn't
// finish it before it has heard of the proxies, which may have seen that the version is bad.
func TestRollout_RestartAfterDeadline_WaitsForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Given a roll-out of a bad version whose time is over, and a controller that has just started,
		run := newTakeover(t)
		for number := range 100 {
			run.answer(number, "new", proxy.ErrorResponse)
			run.answer(number, "old", proxy.Succeeded)
		}
		time.Sleep(takeoverDuration + time.Second)
		run.versionStats = newStatsTable()
		// when no proxy reports for longer than a report may take,
		for range 40 {
			run.analyzeRollouts(t.Context(), run.analyses)
			time.Sleep(analysisInterval)
		}
		// then the roll-out stays in service, and it is reverted once the proxies report.
		if state := run.newestRollout("lm").State; state != rollout.InService {
			t.Errorf("%s without any report, want in_service", state)
		}
		run.report()
		run.analyzeRollouts(t.Context(), run.analyses)
		if state := run.newestRollout("lm").State; state != rollout.Reverted {
			t.Errorf("%s on the reports of all proxies, want reverted", state)
		}
	})
}
