package rollout_test

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mastusher/internal/tier/rollout"
)

// bounds limits the requests that the target gets in the simulated roll-outs.
var bounds = rollout.Bounds{Share: 0.1, Slack: 50}

const (
	proxies      = 9
	initialShare = 0.25 // target's share while a proxy has some of its initial allowance left, as in package balancer
	// creditOverridesRoute is a proxy's credit from which the target also gets requests of a route that isn't the one of which it
	// has got the fewest, as in package balancer.
	creditOverridesRoute = 1.75
	evaluationInterval   = 150 * time.Millisecond // between two evaluations
	feedbackDelay        = 600 * time.Millisecond // from an answer until the proxies apply the decision that follows from it
	medianLatencyMs      = 300.0
	maxOverdue           = 6 * time.Second // simulated after the deadline while the roll-out is in service
	rollbackTimeout      = 5 * time.Second // from the target's 50th bad answer until it must get no more requests
)

// behavior describes the requests of a service and how its versions answer.
type behavior struct {
	name             string
	badShare         float64       // share of the target's answers that are bad
	slowFactor       float64       // bad answers take this many times as long; 0: they fail
	badFrom          time.Duration // when the target's bad answers begin
	badRoute         int           // the route with bad answers of the target; -1: all routes
	isGood           bool          // the target is as good as the baseline
	baselineBadShare float64       // share of answers that fail with either version
	routeShares      []float64     // share of the requests by route
}

// simulatedRollout is a simulated roll-out with its result.
type simulatedRollout struct {
	random        *rand.Rand
	behavior      behavior
	perSecond     float64
	duration      time.Duration
	total, target int // requests until the deadline
	badAnswers    int
	fiftiethBadAt time.Duration // when the target gave its 50th bad answer
	lastRequestAt time.Duration // when the target got its last request
	state         rollout.State
	endedAt       time.Duration // when the roll-out was last evaluated while in service

	// newLeaderEvery is how long a leader stays: with the next one begins a new analysis. 0: one leader stays.
	newLeaderEvery time.Duration

	histories map[historyKey]*rollout.History // of the target's answers
}

// historyKey names the history that a proxy keeps of a route.
type historyKey struct {
	proxy int
	route string
}

// simulationStart is the time of day at which simulated roll-outs begin.
var simulationStart = time.Unix(1_700_000_000, 0)

// evidence returns the proxies' reports on the target.
func (s *simulatedRollout) evidence(now time.Duration, totals rollout.StatsByRoute) rollout.Evidence {
	evidence := rollout.Evidence{Totals: copyOf(totals), Complete: true}
	for key, history := range s.histories {
		evidence.Histories = append(evidence.Histories, rollout.ReportedHistory{Route: key.route, ReportedAt: now,
			Intervals: history.Intervals(simulationStart.Add(now))})
	}
	return evidence
}

// run simulates requests at random times, sends the target its share of them, and evaluates the roll-out at intervals.
func (s *simulatedRollout) run() {
	roll := rollout.Rollout{Proposal: rollout.Proposal{DurationMs: s.duration.Milliseconds()}.WithBounds(bounds, proxies), State: rollout.InService}
	target, baseline := rollout.StatsByRoute{}, rollout.StatsByRoute{}
	s.histories = map[historyKey]*rollout.History{}
	for range 200 {
		s.answer(baseline, 0, s.route(), false, 0)
	}
	type report struct {
		at       time.Duration
		target   rollout.Evidence
		baseline rollout.StatsByRoute
	}
	var reports []report
	analysis := rollout.NewAnalysis()
	credit, extra := make([]float64, proxies), make([]float64, proxies)
	sent := make([]map[int]int, proxies) // requests to the target, by proxy and by route that the proxy has seen
	for i := range sent {
		sent[i] = map[int]int{}
	}
	for i := range extra {
		extra[i] = roll.InitialAllowance
	}
	s.state = rollout.InService
	next := time.Duration(0)
	for now := time.Duration(0); now < s.duration || s.state == rollout.InService && now < s.duration+maxOverdue; {
		now += time.Duration(s.random.ExpFloat64() / s.perSecond * float64(time.Second))
		for ; next <= now; next += evaluationInterval {
			reports = append(reports, report{next, s.evidence(next, target), copyOf(baseline)})
			if s.newLeaderEvery > 0 && next%s.newLeaderEvery < evaluationInterval {
				analysis = rollout.NewAnalysis()
			}
			for len(reports) > 1 && reports[1].at+feedbackDelay <= next {
				reports = reports[1:]
			}
			if s.state == rollout.InService && reports[0].at+feedbackDelay <= next {
				s.state = analysis.Evaluate(roll, next, reports[0].target, reports[0].baseline)
				s.endedAt = next
			}
		}
		isBeforeDeadline := now < s.duration
		if isBeforeDeadline {
			s.total++
		}
		proxy, route := s.random.IntN(proxies), s.route()
		toTarget := s.state == rollout.Finished
		if s.state == rollout.InService {
			more := min(max(initialShare-roll.TrafficShare, 0), extra[proxy])
			extra[proxy] -= more
			credit[proxy] += roll.TrafficShare + more
			sent[proxy][route] += 0
			fewest := slices.Min(slices.Collect(maps.Values(sent[proxy])))
			inTurn := sent[proxy][route] == fewest || credit[proxy] >= creditOverridesRoute
			toTarget = inTurn && (credit[proxy] >= 1.25 || credit[proxy] >= 1 && s.random.Float64() < roll.TrafficShare)
		}
		if toTarget {
			sent[proxy][route]++
		}
		if !toTarget {
			s.answer(baseline, proxy, route, false, now)
			continue
		}
		credit[proxy]--
		if isBeforeDeadline {
			s.target++
		}
		s.lastRequestAt = now
		s.answer(target, proxy, route, true, now)
	}
}

// route draws the route of a request.
func (s *simulatedRollout) route() int {
	at := s.random.Float64()
	for i, share := range s.behavior.routeShares {
		if at -= share; at < 0 {
			return i
		}
	}
	return len(s.behavior.routeShares) - 1
}

// answer draws the answer to one request of a proxy, and adds it to the stats of a version and to the proxy's history of the target.
func (s *simulatedRollout) answer(stats rollout.StatsByRoute, proxy, route int, isTarget bool, now time.Duration) {
	name := fmt.Sprint("route-", route)
	t := rollout.Stats{Sent: 1}
	bad := s.random.Float64() < s.behavior.baselineBadShare
	took := medianLatencyMs * math.Exp(0.4*s.random.NormFloat64())
	if isTarget && !s.behavior.isGood && now >= s.behavior.badFrom && (s.behavior.badRoute < 0 || s.behavior.badRoute == route) && s.random.Float64() < s.behavior.badShare {
		bad = bad || s.behavior.slowFactor == 0
		took *= max(s.behavior.slowFactor, 1)
		if s.badAnswers++; s.badAnswers == 50 {
			s.fiftiethBadAt = now
		}
	}
	if bad {
		t.Bad++
	} else {
		t.Good++
		t.ObserveLatency(time.Duration(took * float64(time.Millisecond)))
	}
	stats.Add(name, t)
	if !isTarget {
		return
	}
	key := historyKey{proxy, name}
	if s.histories[key] == nil {
		s.histories[key] = &rollout.History{}
	}
	s.histories[key].Add(simulationStart.Add(now), &t)
}

func copyOf(stats rollout.StatsByRoute) rollout.StatsByRoute {
	c := rollout.StatsByRoute{}
	for route, t := range stats {
		c[route] = t
	}
	return c
}

var simulatedRuns = flag.Int("rollouts", 100, "simulated roll-outs of each kind")

func TestAnalysis_BadVersions_RevertedInTime(t *testing.T) {
	runs := *simulatedRuns
	even, uneven := []float64{0.5, 0.5}, []float64{0.75, 0.25}
	behaviors := []behavior{
		{name: "errors", badShare: 0.3, badRoute: -1, routeShares: even},
		{name: "errors, half of the answers", badShare: 0.5, badRoute: -1, routeShares: even},
		{name: "errors, and the baseline fails sometimes", badShare: 0.35, badRoute: -1, baselineBadShare: 0.03, routeShares: even},
		{name: "slow answers", badShare: 0.35, slowFactor: 8, badRoute: -1, routeShares: even},
		{name: "errors on one route", badShare: 0.5, badRoute: 1, routeShares: uneven},
		{name: "errors after 3 s", badShare: 0.4, badFrom: 3 * time.Second, badRoute: -1, routeShares: even},
	}
	for _, b := range behaviors {
		t.Run(b.name, func(t *testing.T) {
			missed := 0
			var verdictAfter time.Duration
			for seed := range uint64(runs) {
				// Given a roll-out of a bad version,
				s := &simulatedRollout{random: rand.New(rand.NewPCG(seed, 1)), behavior: b, perSecond: 28, duration: 14 * time.Second}
				// when the service gets requests until the deadline,
				s.run()
				// then the target gets no more of them than the bounds allow, whatever the decision is,
				if maxRequests := bounds.Share*float64(s.total) + bounds.Slack; float64(s.target) > maxRequests {
					t.Errorf("run %d: the target got %d of %d requests, want at most the bounds; %s at %v", seed, s.target, s.total, s.state, s.endedAt)
				}
				if s.fiftiethBadAt > 0 && s.lastRequestAt > s.fiftiethBadAt+rollbackTimeout {
					t.Errorf("run %d: the target got a request %v after its 50th bad answer, want none that late", seed, s.lastRequestAt-s.fiftiethBadAt)
				}
				if s.state != rollout.Reverted {
					missed++
					continue
				}
				verdictAfter += s.endedAt - b.badFrom
			}
			// and the roll-out is reverted.
			if missed > runs/100 {
				t.Errorf("%d of %d roll-outs of bad versions were not reverted", missed, runs)
			}
			t.Logf("%d of %d missed, mean time to the verdict %v", missed, runs, verdictAfter/time.Duration(max(runs-missed, 1)))
		})
	}
}

func TestAnalysis_GoodVersions_FinishedByDeadline(t *testing.T) {
	runs := *simulatedRuns
	for _, perSecond := range []float64{0.05, 0.5, 5, 28, 100} {
		for _, failing := range []float64{0, 0.02} {
			t.Run(fmt.Sprint(perSecond, " requests per second, a share of ", failing, " fails"), func(t *testing.T) {
				missed, reverted := 0, 0
				for seed := range uint64(runs) {
					// Given a roll-out of a version that is as good as the one in service,
					s := &simulatedRollout{random: rand.New(rand.NewPCG(seed, 2)), behavior: behavior{isGood: true, baselineBadShare: failing, routeShares: []float64{0.75, 0.25}},
						perSecond: perSecond, duration: 14 * time.Second}
					// when the service gets requests until the deadline,
					s.run()
					// then the roll-out is finished.
					if s.state == rollout.Reverted {
						reverted++
					}
					if s.state == rollout.Reverted || (s.state == rollout.InService || s.endedAt > s.duration) && perSecond > 1 {
						missed++
					}
				}
				if missed > runs/20 {
					t.Errorf("%d of %d roll-outs of good versions were not finished", missed, runs)
				}
				t.Logf("%d of %d not finished by the deadline, %d of them reverted", missed, runs, reverted)
			})
		}
	}
}

func TestAnalysis_NoRequests_FinishedByDeadline(t *testing.T) {
	// Given a roll-out of a service that gets no requests,
	roll := rollout.Rollout{Proposal: rollout.Proposal{DurationMs: 10_000}}
	// when its deadline is near,
	got := rollout.NewAnalysis().Evaluate(roll, 9800*time.Millisecond, rollout.Evidence{Complete: true}, rollout.StatsByRoute{})
	// then the roll-out is finished.
	if got != rollout.Finished {
		t.Errorf("Evaluate returned %s, want finished", got)
	}
}

func TestAnalysis_NoAnswers_Reverted(t *testing.T) {
	// Given a target that has got requests and answered none,
	roll := rollout.Rollout{Proposal: rollout.Proposal{DurationMs: 10_000}}
	target := rollout.Evidence{Totals: rollout.StatsByRoute{"r": {Sent: 12}}, Complete: true}
	baseline := rollout.StatsByRoute{"r": {Sent: 100, Good: 99}}
	// when the roll-out is evaluated near its deadline,
	got := rollout.NewAnalysis().Evaluate(roll, 9800*time.Millisecond, target, baseline)
	// then the roll-out is reverted.
	if got != rollout.Reverted {
		t.Errorf("Evaluate returned %s, want reverted", got)
	}
}

func TestAnalysis_OlderReport_Ignored(t *testing.T) {
	// Given an analysis and two states of the same stats, the newer with two bad answers, the older with one,
	roll := rollout.Rollout{Proposal: rollout.Proposal{DurationMs: 10_000}}
	baseline := rollout.StatsByRoute{"r": {Sent: 100, Good: 99}}
	newer, older := evidenceOf(rollout.Stats{Sent: 4, Good: 2, Bad: 2}), evidenceOf(rollout.Stats{Sent: 2, Good: 1, Bad: 1})
	analysis := rollout.NewAnalysis()
	// when it evaluates the newer stats and the older ones in turn,
	for range 5 {
		analysis.Evaluate(roll, time.Second, newer, baseline)
		analysis.Evaluate(roll, time.Second, older, baseline)
	}
	// then no bad answer is counted twice, and the roll-out stays in service.
	if got := analysis.Evaluate(roll, time.Second, newer, baseline); got != rollout.InService {
		t.Errorf("Evaluate returned %s, want in_service", got)
	}
}

// evidenceOf returns complete evidence with intervals of one route, a second apart.
func evidenceOf(intervals ...rollout.Stats) rollout.Evidence {
	evidence := rollout.Evidence{Totals: rollout.StatsByRoute{}, Complete: true}
	for i, interval := range intervals {
		addAnswers(&evidence, "r", time.Duration(i)*time.Second, interval)
	}
	return evidence
}

// addAnswers adds answers on one route to evidence.
func addAnswers(evidence *rollout.Evidence, route string, at time.Duration, stats rollout.Stats) {
	evidence.Totals.Add(route, stats)
	evidence.Histories = append(evidence.Histories, rollout.ReportedHistory{Route: route, ReportedAt: at,
		Intervals: []rollout.Interval{rollout.NewInterval(0, &stats)}})
}

// TestAnalysis_LeadersChange_DecisionStays guards against review case 3: a new leader took all answers so far as one, so that the good
// answers from before hid the bad ones of a version that had just turned bad.
func TestAnalysis_LeadersChange_DecisionStays(t *testing.T) {
	late := behavior{name: "errors after 9 s", badShare: 0.5, badFrom: 9 * time.Second, badRoute: -1, routeShares: []float64{1}}
	good := behavior{name: "good", isGood: true, routeShares: []float64{1}}
	for _, b := range []behavior{late, good} {
		t.Run(b.name, func(t *testing.T) {
			for seed := range uint64(30) {
				// Given a roll-out under one leader, and the same one under leaders that stay for a moment,
				steady := &simulatedRollout{random: rand.New(rand.NewPCG(seed, 3)), behavior: b, perSecond: 100, duration: 14 * time.Second}
				changing := &simulatedRollout{random: rand.New(rand.NewPCG(seed, 3)), behavior: b, perSecond: 100, duration: 14 * time.Second,
					newLeaderEvery: 300 * time.Millisecond}
				// when both get the same requests until the deadline,
				steady.run()
				changing.run()
				// then both are decided alike, at about the same time.
				if steady.state != changing.state || (steady.endedAt-changing.endedAt).Abs() > time.Second {
					t.Errorf("seed %d: %s at %v under changing leaders, want %s at %v", seed, changing.state, changing.endedAt, steady.state, steady.endedAt)
				}
				if want := map[bool]rollout.State{true: rollout.Finished, false: rollout.Reverted}[b.isGood]; steady.state != want {
					t.Errorf("seed %d: %s, want %s", seed, steady.state, want)
				}
			}
		})
	}
}

func TestAnalysis_IncompleteEvidence_NotFinished(t *testing.T) {
	// Given a controller that may lack reports, at the end of a roll-out,
	roll := rollout.Rollout{Proposal: rollout.Proposal{DurationMs: 10_000}}
	baseline := rollout.StatsByRoute{"r": {Sent: 100, Good: 99}}
	good := evidenceOf(rollout.Stats{Sent: 30, Good: 30})
	bad := evidenceOf(rollout.Stats{Sent: 30, Good: 30}, rollout.Stats{Sent: 8, Bad: 8})
	good.Complete, bad.Complete = false, false
	// then it doesn't finish the roll-out, but reverts one of a version that is bad by what it knows.
	if got := rollout.NewAnalysis().Evaluate(roll, 9800*time.Millisecond, good, baseline); got != rollout.InService {
		t.Errorf("Evaluate returned %s for good answers, want in_service", got)
	}
	if got := rollout.NewAnalysis().Evaluate(roll, 9800*time.Millisecond, bad, baseline); got != rollout.Reverted {
		t.Errorf("Evaluate returned %s for bad answers, want reverted", got)
	}
}

func TestAnalysis_Interrupted_TakesAnswersInOrder(t *testing.T) {
	roll := rollout.Rollout{Proposal: rollout.Proposal{DurationMs: 60_000}}
	baseline := rollout.StatsByRoute{"r": {Sent: 100, Good: 99}}
	for _, test := range []struct {
		name          string
		evaluatedLast time.Duration
		wasIncomplete bool
		afterGap      uint64
	}{
		{"no evaluation for a while", 5 * time.Second, false, 0},
		{"reports were missing at the last evaluation", 9900 * time.Millisecond, true, 0},
		{"the reports of a proxy were missing", 9900 * time.Millisecond, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			// Given an analysis that has evaluated some good answers and was interrupted,
			analysis := rollout.NewAnalysis()
			before := evidenceOf(rollout.Stats{Sent: 3, Good: 3})
			before.Complete = !test.wasIncomplete
			if got := analysis.Evaluate(roll, test.evaluatedLast, before, baseline); got != rollout.InService {
				t.Fatalf("Evaluate returned %s at first, want in_service", got)
			}
			// when many more good answers and then some bad ones are known,
			after := evidenceOf(rollout.Stats{Sent: 3, Good: 3}, rollout.Stats{Sent: 200, Good: 200}, rollout.Stats{Sent: 6, Bad: 6})
			after.AfterGap = test.afterGap
			// then the good ones don't hide the bad ones.
			if got := analysis.Evaluate(roll, 10*time.Second, after, baseline); got != rollout.Reverted {
				t.Errorf("Evaluate returned %s, want reverted", got)
			}
		})
	}
}

// TestAnalysis_BadAnswersBeforeDeadline_DecidedByTheNext guards against a version that turns bad shortly before its roll-out is decided: a few
// bad answers, spread over routes, reject it on none of them, and yet it must not be finished.
func TestAnalysis_BadAnswersBeforeDeadline_DecidedByTheNext(t *testing.T) {
	const duration = 10 * time.Second
	roll := rollout.Rollout{Proposal: rollout.Proposal{DurationMs: duration.Milliseconds()}}
	baseline := rollout.StatsByRoute{"r": {Sent: 200, Good: 200}, "q": {Sent: 200, Good: 200}}
	// Given many good answers and one bad one on each of two routes, shortly before the deadline,
	newEvidence := func() rollout.Evidence {
		evidence := evidenceOf(rollout.Stats{Sent: 60, Good: 60})
		addAnswers(&evidence, "r", 8*time.Second, rollout.Stats{Bad: 1})
		addAnswers(&evidence, "q", 9*time.Second, rollout.Stats{Bad: 1})
		return evidence
	}
	for _, test := range []struct {
		name    string
		nextAt  time.Duration
		next    rollout.Stats
		elapsed time.Duration // when the next answers are evaluated
		want    rollout.State
	}{
		{"no answer yet", 0, rollout.Stats{}, duration + time.Second, rollout.InService},
		{"good answers", 9500 * time.Millisecond, rollout.Stats{Good: 10}, duration - 400*time.Millisecond, rollout.Finished},
		{"good answers after the deadline", duration + time.Second, rollout.Stats{Good: 10}, duration + 2*time.Second, rollout.Finished},
		{"bad answers", 9500 * time.Millisecond, rollout.Stats{Bad: 2}, duration - 400*time.Millisecond, rollout.Reverted},
		{"no answer for long", 0, rollout.Stats{}, duration + 5*time.Second, rollout.Reverted},
	} {
		t.Run(test.name, func(t *testing.T) {
			analysis := rollout.NewAnalysis()
			// then the roll-out isn't decided at once, but by the answers that come next.
			if got := analysis.Evaluate(roll, duration-600*time.Millisecond, newEvidence(), baseline); got != rollout.InService {
				t.Errorf("Evaluate returned %s at first, want in_service", got)
			}
			after := newEvidence()
			addAnswers(&after, "r", test.nextAt, test.next)
			after.AfterGap++
			if got := analysis.Evaluate(roll, test.elapsed, after, baseline); got != test.want {
				t.Errorf("Evaluate returned %s later, want %s", got, test.want)
			}
		})
	}
}

// TestAnalysis_CountsOfEndedProxyForgotten_LaterAnswersCount guards against a long roll-out whose tests stand still: the counts of a proxy
// that has ended are dropped after a while, and the sums are lower than before until as many answers have come.
func TestAnalysis_CountsOfEndedProxyForgotten_LaterAnswersCount(t *testing.T) {
	roll := rollout.Rollout{Proposal: rollout.Proposal{DurationMs: 3_600_000}}
	baseline := rollout.StatsByRoute{"r": {Sent: 1000, Good: 1000}}
	for _, test := range []struct {
		name string
		next rollout.Stats
		want rollout.State
	}{
		{"the version turns bad", rollout.Stats{Sent: 6, Bad: 6}, rollout.Reverted},
		{"the version stays good", rollout.Stats{Sent: 43, Good: 40, Bad: 3}, rollout.InService},
	} {
		t.Run(test.name, func(t *testing.T) {
			// Given an analysis of many answers, most of them of a proxy that has ended,
			analysis := rollout.NewAnalysis()
			all := evidenceOf(rollout.Stats{Sent: 200, Good: 200}, rollout.Stats{Sent: 10, Good: 10})
			for second := range 3 {
				if got := analysis.Evaluate(roll, time.Duration(second)*time.Second, all, baseline); got != rollout.InService {
					t.Fatalf("Evaluate returned %s at first, want in_service", got)
				}
			}
			// when the counts of that proxy are dropped, and further answers come,
			after := evidenceOf(rollout.Stats{Sent: 10, Good: 10}, test.next)
			// then these count at once.
			if got := analysis.Evaluate(roll, 2500*time.Millisecond, after, baseline); got != test.want {
				t.Errorf("Evaluate returned %s, want %s", got, test.want)
			}
		})
	}
}

func TestAnalysis_FewSlowAnswers_FinishedByDeadline(t *testing.T) {
	const duration = 10 * time.Second
	roll := rollout.Rollout{Proposal: rollout.Proposal{DurationMs: duration.Milliseconds()}}
	// Given a service with little traffic, and a target whose first answers were slow,
	baselineStats, slow, fast := rollout.Stats{Sent: 50, Good: 50}, rollout.Stats{Sent: 2, Good: 2}, rollout.Stats{Sent: 2, Good: 2}
	for range 50 {
		baselineStats.ObserveLatency(20 * time.Millisecond)
	}
	for range 2 {
		slow.ObserveLatency(200 * time.Millisecond)
		fast.ObserveLatency(20 * time.Millisecond)
	}
	evidence := evidenceOf(slow, fast)
	// when it is evaluated at the end of its roll-out,
	got := rollout.NewAnalysis().Evaluate(roll, duration-600*time.Millisecond, evidence, rollout.StatsByRoute{"r": baselineStats})
	// then it is finished.
	if got != rollout.Finished {
		t.Errorf("Evaluate returned %s, want finished", got)
	}
}
