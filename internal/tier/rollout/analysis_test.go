package rollout_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mastusher/internal/tier/rollout"
)

// The bounds that the orders of these tests keep to.
var bounds = rollout.Bounds{Share: 0.1, Slack: 50}

const (
	proxies      = 9
	initialShare = 0.25 // share at first, as the proxies' schedule has it
	// creditOverridesRoute is the proxies' credit from which on the target gets a request also of a route that it has got more of.
	creditOverridesRoute = 1.75
	evaluationInterval   = 150 * time.Millisecond // between judgements
	feedbackDelay        = 600 * time.Millisecond // from an answer until the proxies act on what was evaluated from it
	medianLatencyMs      = 300.0
	rollbackTimeout      = 5 * time.Second
)

// kind is how a version behaves.
type behavior struct {
	name             string
	badShare         float64 // of the answers that are bad
	slowFactor       float64 // they are this many times as slow rather than failures
	from             time.Duration
	route            int // only this one's answers; -1: all
	isGood           bool
	baselineBadShare float64 // share of bad answers of the version in service
	routing          []float64
}

// day is one order that is played.
type simulatedRollout struct {
	random        *rand.Rand
	behavior      behavior
	perSecond     float64
	duration      time.Duration
	total, target int // requests until the deadline
	badAnswers    int
	fiftiethBadAt time.Duration
	lastRequestAt time.Duration // when the target got its last request
	state         rollout.State
	endedAt       time.Duration
}

// run lets requests come by chance, sends the target its part of them, and has it evaluated.
func (d *simulatedRollout) run() {
	roll := rollout.Rollout{Proposal: rollout.Proposal{OverMs: d.duration.Milliseconds()}.WithBounds(bounds, proxies), State: rollout.InService}
	target, baseline := rollout.StatsByRoute{}, rollout.StatsByRoute{}
	for range 200 {
		d.answer(baseline, d.route(), false, 0)
	}
	type report struct {
		at               time.Duration
		target, baseline rollout.StatsByRoute
	}
	var reports []report
	analysis := rollout.NewAnalysis()
	credit, extra := make([]float64, proxies), make([]float64, proxies)
	sent := make([]map[int]int, proxies) // to the target by each proxy, by route; all routes that it has seen
	for i := range sent {
		sent[i] = map[int]int{}
	}
	for i := range extra {
		extra[i] = roll.InitialAllowance
	}
	d.state = rollout.InService
	next := time.Duration(0)
	for now := time.Duration(0); now < d.duration; {
		now += time.Duration(d.random.ExpFloat64() / d.perSecond * float64(time.Second))
		for ; next <= now; next += evaluationInterval {
			reports = append(reports, report{next, copyOf(target), copyOf(baseline)})
			for len(reports) > 1 && reports[1].at+feedbackDelay <= next {
				reports = reports[1:]
			}
			if d.state == rollout.InService && reports[0].at+feedbackDelay <= next {
				d.state = analysis.Evaluate(roll, next, reports[0].target, reports[0].baseline)
				d.endedAt = next
			}
		}
		d.total++
		proxy, route := d.random.IntN(proxies), d.route()
		toTarget := d.state == rollout.Finished
		if d.state == rollout.InService {
			more := min(max(initialShare-roll.TrafficShare, 0), extra[proxy])
			extra[proxy] -= more
			credit[proxy] += roll.TrafficShare + more
			sent[proxy][route] += 0
			fewest := slices.Min(slices.Collect(maps.Values(sent[proxy])))
			inTurn := sent[proxy][route] == fewest || credit[proxy] >= creditOverridesRoute
			toTarget = inTurn && (credit[proxy] >= 1.25 || credit[proxy] >= 1 && d.random.Float64() < roll.TrafficShare)
		}
		if toTarget {
			sent[proxy][route]++
		}
		if !toTarget {
			d.answer(baseline, route, false, now)
			continue
		}
		credit[proxy]--
		d.target++
		d.lastRequestAt = now
		d.answer(target, route, true, now)
	}
}

func (d *simulatedRollout) route() int {
	at := d.random.Float64()
	for i, part := range d.behavior.routing {
		if at -= part; at < 0 {
			return i
		}
	}
	return len(d.behavior.routing) - 1
}

// answer counts how one request ends.
func (d *simulatedRollout) answer(of rollout.StatsByRoute, route int, isTarget bool, now time.Duration) {
	name := fmt.Sprint("route-", route)
	t := of[name]
	t.Sent++
	bad := d.random.Float64() < d.behavior.baselineBadShare
	took := medianLatencyMs * math.Exp(0.4*d.random.NormFloat64())
	if isTarget && !d.behavior.isGood && now >= d.behavior.from && (d.behavior.route < 0 || d.behavior.route == route) && d.random.Float64() < d.behavior.badShare {
		bad = bad || d.behavior.slowFactor == 0
		took *= max(d.behavior.slowFactor, 1)
		if d.badAnswers++; d.badAnswers == 50 {
			d.fiftiethBadAt = now
		}
	}
	if bad {
		t.Bad++
	} else {
		t.Good++
		t.ObserveLatency(time.Duration(took * float64(time.Millisecond)))
	}
	of[name] = t
}

func copyOf(stats rollout.StatsByRoute) rollout.StatsByRoute {
	c := rollout.StatsByRoute{}
	for route, t := range stats {
		c[route] = t
	}
	return c
}

func TestAnalysis_BadVersions_RevertedInTime(t *testing.T) {
	const days = 100
	even, uneven := []float64{0.5, 0.5}, []float64{0.75, 0.25}
	kinds := []behavior{
		{name: "errors", badShare: 0.3, route: -1, routing: even},
		{name: "errors, half", badShare: 0.5, route: -1, routing: even},
		{name: "errors beside a service that fails now and then", badShare: 0.35, route: -1, baselineBadShare: 0.03, routing: even},
		{name: "slow", badShare: 0.35, slowFactor: 8, route: -1, routing: even},
		{name: "one class", badShare: 0.5, route: 1, routing: uneven},
		{name: "late", badShare: 0.4, from: 3 * time.Second, route: -1, routing: even},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			missed := 0
			for seed := range uint64(days) {
				// Given an order for a bad version of a service,
				d := &simulatedRollout{random: rand.New(rand.NewPCG(seed, 1)), behavior: k, perSecond: 28, duration: 14 * time.Second}
				// when its requests come until the deadline,
				d.run()
				// then it gets no more of them than it may, whatever becomes of it,
				if maxRequests := bounds.Share*float64(d.total) + bounds.Slack; float64(d.target) > maxRequests {
					t.Errorf("run %d: the target got %d of %d requests, %s at %v", seed, d.target, d.total, d.state, d.endedAt)
				}
				if d.fiftiethBadAt > 0 && d.lastRequestAt > d.fiftiethBadAt+rollbackTimeout {
					t.Errorf("run %d: the target got a request %v after its 50th bad answer", seed, d.lastRequestAt-d.fiftiethBadAt)
				}
				if d.state != rollout.Reverted {
					missed++
				}
			}
			// and it is reverted.
			if missed > days/100 {
				t.Errorf("%d of %d bad versions weren't reverted", missed, days)
			}
		})
	}
}

func TestAnalysis_GoodVersions_FinishedByDeadline(t *testing.T) {
	const days = 100
	for _, perSecond := range []float64{0.05, 0.5, 5, 28, 100} {
		for _, usual := range []float64{0, 0.02} {
			t.Run(fmt.Sprint(perSecond, " a second, ", usual, " fail"), func(t *testing.T) {
				missed := 0
				for seed := range uint64(days) {
					// Given an order for a version that is as good as the one in service,
					d := &simulatedRollout{random: rand.New(rand.NewPCG(seed, 2)), behavior: behavior{isGood: true, baselineBadShare: usual, routing: []float64{0.75, 0.25}},
						perSecond: perSecond, duration: 14 * time.Second}
					// when its requests come until the deadline,
					d.run()
					// then it is finished.
					if d.state == rollout.Reverted || d.state == rollout.InService && perSecond > 1 {
						missed++
					}
				}
				if missed > days/20 {
					t.Errorf("%d of %d good versions weren't finished", missed, days)
				}
			})
		}
	}
}

func TestAnalysis_NoRequests_FinishedByDeadline(t *testing.T) {
	// Given an order for a service that nobody calls,
	roll := rollout.Rollout{Proposal: rollout.Proposal{OverMs: 10_000}}
	// when its deadline is near,
	got := rollout.NewAnalysis().Evaluate(roll, 9800*time.Millisecond, rollout.StatsByRoute{}, rollout.StatsByRoute{})
	// then it is finished.
	if got != rollout.Finished {
		t.Errorf("the order is %s", got)
	}
}

func TestAnalysis_NoAnswers_Reverted(t *testing.T) {
	// Given a target that has got requests and has answered none until its deadline is near,
	roll := rollout.Rollout{Proposal: rollout.Proposal{OverMs: 10_000}}
	target := rollout.StatsByRoute{"r": {Sent: 12}}
	baseline := rollout.StatsByRoute{"r": {Sent: 100, Good: 99}}
	// when it is evaluated,
	got := rollout.NewAnalysis().Evaluate(roll, 9800*time.Millisecond, target, baseline)
	// then it is reverted.
	if got != rollout.Reverted {
		t.Errorf("the order is %s", got)
	}
}

func TestAnalysis_OlderReport_Ignored(t *testing.T) {
	// Given an analysis that has seen two bad answers,
	roll := rollout.Rollout{Proposal: rollout.Proposal{OverMs: 10_000}}
	baseline := rollout.StatsByRoute{"r": {Sent: 100, Good: 99}}
	newer, older := rollout.StatsByRoute{"r": {Sent: 4, Good: 2, Bad: 2}}, rollout.StatsByRoute{"r": {Sent: 2, Good: 1, Bad: 1}}
	analysis := rollout.NewAnalysis()
	// when what was seen before comes once more, and then what was seen last, again and again,
	for range 5 {
		analysis.Evaluate(roll, time.Second, newer, baseline)
		analysis.Evaluate(roll, time.Second, older, baseline)
	}
	// then the order stays open.
	if got := analysis.Evaluate(roll, time.Second, newer, baseline); got != rollout.InService {
		t.Errorf("the order is %s", got)
	}
}
