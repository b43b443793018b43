package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mastusher/internal/tier/rollout"
)

// The bounds that the orders of these tests keep to.
var bounds = rollout.Bounds{Share: 0.1, Slack: 50}

const (
	proxies  = 9
	boost    = 0.25                   // share at first, as the proxies' schedule has it
	round    = 150 * time.Millisecond // between judgements
	lag      = 600 * time.Millisecond // from an answer until the proxies act on what was judged from it
	usualMs  = 300.0
	rollback = 5 * time.Second
)

// kind is how a version behaves.
type kind struct {
	name    string
	share   float64 // of the answers that are bad
	slow    float64 // they are this many times as slow rather than failures
	from    time.Duration
	route   int // only this one's answers; -1: all
	isGood  bool
	usual   float64 // share of bad answers of the version in service
	routing []float64
	missed  float64 // share of days on which it may be missed; 0: one in a hundred
}

// day is one order that is played.
type day struct {
	random        *rand.Rand
	kind          kind
	perSecond     float64
	term          time.Duration
	total, target int // requests until the term
	badAnswers    int
	fiftieth      time.Duration
	last          time.Duration // when the target got its last request
	state         rollout.State
	endedAt       time.Duration
}

// play lets requests come by chance, sends the target its part of them, and has it judged.
func (d *day) play() {
	roll := rollout.Rollout{Proposal: rollout.Proposal{OverMs: d.term.Milliseconds()}.WithBounds(bounds, proxies), State: rollout.InService}
	target, baseline := rollout.StatsByRoute{}, rollout.StatsByRoute{}
	for range 200 {
		d.answer(baseline, d.route(), false, 0)
	}
	type told struct {
		at               time.Duration
		target, baseline rollout.StatsByRoute
	}
	var reports []told
	judge := rollout.NewAnalysis()
	credit, extra := make([]float64, proxies), make([]float64, proxies)
	for i := range extra {
		extra[i] = roll.InitialAllowance
	}
	d.state = rollout.InService
	next := time.Duration(0)
	for now := time.Duration(0); now < d.term; {
		now += time.Duration(d.random.ExpFloat64() / d.perSecond * float64(time.Second))
		for ; next <= now; next += round {
			reports = append(reports, told{next, copyOf(target), copyOf(baseline)})
			for len(reports) > 1 && reports[1].at+lag <= next {
				reports = reports[1:]
			}
			if d.state == rollout.InService && reports[0].at+lag <= next {
				d.state = judge.Evaluate(roll, next, reports[0].target, reports[0].baseline)
				d.endedAt = next
			}
		}
		d.total++
		proxy, route := d.random.IntN(proxies), d.route()
		toTarget := d.state == rollout.Finished
		if d.state == rollout.InService {
			more := min(max(boost-roll.Share, 0), extra[proxy])
			extra[proxy] -= more
			credit[proxy] += roll.Share + more
			toTarget = credit[proxy] >= 1.25 || credit[proxy] >= 1 && d.random.Float64() < roll.Share
		}
		if !toTarget {
			d.answer(baseline, route, false, now)
			continue
		}
		credit[proxy]--
		d.target++
		d.last = now
		d.answer(target, route, true, now)
	}
}

func (d *day) route() int {
	at := d.random.Float64()
	for i, part := range d.kind.routing {
		if at -= part; at < 0 {
			return i
		}
	}
	return len(d.kind.routing) - 1
}

// answer counts how one request ends.
func (d *day) answer(of rollout.StatsByRoute, route int, isTarget bool, now time.Duration) {
	name := fmt.Sprint("route-", route)
	t := of[name]
	t.Sent++
	bad := d.random.Float64() < d.kind.usual
	took := usualMs * math.Exp(0.4*d.random.NormFloat64())
	if isTarget && !d.kind.isGood && now >= d.kind.from && (d.kind.route < 0 || d.kind.route == route) && d.random.Float64() < d.kind.share {
		bad = bad || d.kind.slow == 0
		took *= max(d.kind.slow, 1)
		if d.badAnswers++; d.badAnswers == 50 {
			d.fiftieth = now
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

func copyOf(evidence rollout.StatsByRoute) rollout.StatsByRoute {
	c := rollout.StatsByRoute{}
	for route, t := range evidence {
		c[route] = t
	}
	return c
}

func TestAnalysis_BadVersions_RevertedInTime(t *testing.T) {
	const days = 100
	even, uneven := []float64{0.5, 0.5}, []float64{0.75, 0.25}
	kinds := []kind{
		{name: "errors", share: 0.3, route: -1, routing: even},
		{name: "errors, half", share: 0.5, route: -1, routing: even},
		{name: "errors beside a service that fails now and then", share: 0.35, route: -1, usual: 0.03, routing: even},
		{name: "slow", share: 0.35, slow: 8, route: -1, routing: even},
		{name: "one class", share: 0.5, route: 1, routing: uneven, missed: 0.03},
		{name: "late", share: 0.4, from: 3 * time.Second, route: -1, routing: even},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			missed := 0
			for seed := range uint64(days) {
				// Given an order for a bad version of a service,
				d := &day{random: rand.New(rand.NewPCG(seed, 1)), kind: k, perSecond: 28, term: 14 * time.Second}
				// when its requests come until the term,
				d.play()
				// then it gets no more of them than it may, whatever becomes of it,
				if most := bounds.Share*float64(d.total) + bounds.Slack; float64(d.target) > most {
					t.Errorf("day %d: the target got %d of %d requests, %s at %v", seed, d.target, d.total, d.state, d.endedAt)
				}
				if d.fiftieth > 0 && d.last > d.fiftieth+rollback {
					t.Errorf("day %d: the target got a request %v after its 50th bad answer", seed, d.last-d.fiftieth)
				}
				if d.state != rollout.Reverted {
					missed++
				}
			}
			// and it is reverted.
			if float64(missed) > days*max(k.missed, 0.01) {
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
					d := &day{random: rand.New(rand.NewPCG(seed, 2)), kind: kind{isGood: true, usual: usual, routing: []float64{0.75, 0.25}},
						perSecond: perSecond, term: 14 * time.Second}
					// when its requests come until the term,
					d.play()
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
	// when its term is near,
	got := rollout.NewAnalysis().Evaluate(roll, 9800*time.Millisecond, rollout.StatsByRoute{}, rollout.StatsByRoute{})
	// then it is finished.
	if got != rollout.Finished {
		t.Errorf("the order is %s", got)
	}
}

func TestAnalysis_NoAnswers_Reverted(t *testing.T) {
	// Given a target that has got requests and has answered none until its term is near,
	roll := rollout.Rollout{Proposal: rollout.Proposal{OverMs: 10_000}}
	target := rollout.StatsByRoute{"r": {Sent: 12}}
	baseline := rollout.StatsByRoute{"r": {Sent: 100, Good: 99}}
	// when it is judged,
	got := rollout.NewAnalysis().Evaluate(roll, 9800*time.Millisecond, target, baseline)
	// then it is reverted.
	if got != rollout.Reverted {
		t.Errorf("the order is %s", got)
	}
}

func TestAnalysis_OlderReport_Ignored(t *testing.T) {
	// Given a trial that has seen two bad answers,
	roll := rollout.Rollout{Proposal: rollout.Proposal{OverMs: 10_000}}
	baseline := rollout.StatsByRoute{"r": {Sent: 100, Good: 99}}
	newer, older := rollout.StatsByRoute{"r": {Sent: 4, Good: 2, Bad: 2}}, rollout.StatsByRoute{"r": {Sent: 2, Good: 1, Bad: 1}}
	trial := rollout.NewAnalysis()
	// when what was seen before comes once more, and then what was seen last, again and again,
	for range 5 {
		trial.Evaluate(roll, time.Second, newer, baseline)
		trial.Evaluate(roll, time.Second, older, baseline)
	}
	// then the order stays open.
	if got := trial.Evaluate(roll, time.Second, newer, baseline); got != rollout.InService {
		t.Errorf("the order is %s", got)
	}
}
