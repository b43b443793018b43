package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/tier/model"
)

// The simulation plays plain calls and streams in virtual time. Its endpoints follow the words of the protocol: they
// differ in speed, work on so many requests at once, let a few more wait, refuse the rest, and tell their load.

// simulation is a clock with what is due.
type simulation struct {
	now    time.Duration
	due    dueList
	serial uint64
	random *rand.Rand
	coming *rand.Rand // the requests are the same whatever serves them
}

type dueEvent struct {
	at     time.Duration
	serial uint64
	do     func()
}

type dueList []dueEvent

func (d dueList) Len() int { return len(d) }
func (d dueList) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].serial < d[j].serial
}
func (d dueList) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dueList) Push(x any)   { *d = append(*d, x.(dueEvent)) }
func (d *dueList) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 0)), coming: rand.New(rand.NewPCG(seed, 2))}
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.serial++
	heap.Push(&sim.due, dueEvent{at: sim.now + max(0, d), serial: sim.serial, do: do})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.due) > 0 && sim.due[0].at <= until {
		e := heap.Pop(&sim.due).(dueEvent)
		sim.now = e.at
		e.do()
	}
}

// arrivals calls do at random moments, so many a second.
func (sim *simulation) arrivals(rate float64, until time.Duration, do func()) {
	sim.after(seconds(sim.coming.ExpFloat64()/rate), func() {
		if sim.now < until {
			do()
			sim.arrivals(rate, until, do)
		}
	})
}

// policy is a way to choose among endpoints at one relay.
type policy interface {
	// choose returns an endpoint and a time-out, or -1 and the time after which to come back.
	choose(now time.Duration, r Request) (endpoint int, timeout time.Duration, attempt *Attempt)
	sent(now time.Duration, endpoint int, a *Attempt)
	first(now time.Duration, endpoint int, a *Attempt, told Load)
	done(now time.Duration, endpoint int, a *Attempt, o Outcome)
}

// scheduled is the scheduler as a policy.
type scheduled struct {
	s       *Balancer
	numbers map[string]int
}

func newScheduled(list []model.Endpoint, zone string, seed uint64) *scheduled {
	p := &scheduled{s: New(Options{Zone: zone, Seed: seed}), numbers: map[string]int{}}
	p.s.SetEndpoints(0, list)
	for i, e := range list {
		p.numbers[e.ID] = i
	}
	return p
}

func (p *scheduled) choose(now time.Duration, r Request) (int, time.Duration, *Attempt) {
	d := p.s.Select(now, r)
	if d.Endpoint == nil {
		return -1, max(d.Rejection.RetryAfter, retryLeast), nil
	}
	return p.numbers[d.Endpoint.ID], d.Timeout, &d.Attempt
}

func (p *scheduled) sent(now time.Duration, _ int, a *Attempt) { p.s.Sent(now, a) }
func (p *scheduled) first(now time.Duration, _ int, a *Attempt, told Load) {
	p.s.FirstEvent(now, a, told)
}
func (p *scheduled) done(now time.Duration, _ int, a *Attempt, o Outcome) { p.s.Done(now, a, o) }

// simple chooses at random, or the endpoint with the least load told and own calls.
type simple struct {
	random *rand.Rand
	least  bool
	list   []model.Endpoint
	own    []int
	told   []float64
}

func newSimple(list []model.Endpoint, least bool, seed uint64) *simple {
	return &simple{random: rand.New(rand.NewPCG(seed, 1)), least: least, list: list, own: make([]int, len(list)),
		told: make([]float64, len(list))}
}

func (p *simple) choose(_ time.Duration, r Request) (int, time.Duration, *Attempt) {
	best, bestLoad := -1, math.Inf(1)
	for range 20 {
		if i := p.random.IntN(len(p.list)); !slices.Contains(r.Excluded, p.list[i].ID) {
			best = i
			break
		}
	}
	if !p.least {
		return best, r.TimeLeft, nil
	}
	for i := range p.list {
		load := float64(p.own[i]) + p.told[i] + 0.01*p.random.Float64()
		if load < bestLoad && !slices.Contains(r.Excluded, p.list[i].ID) {
			best, bestLoad = i, load
		}
	}
	return best, r.TimeLeft, nil
}

func (p *simple) sent(_ time.Duration, i int, _ *Attempt) { p.own[i]++ }
func (p *simple) first(_ time.Duration, i int, _ *Attempt, told Load) {
	p.told[i] = float64(told.Running + told.Queued - p.own[i])
}
func (p *simple) done(_ time.Duration, i int, _ *Attempt, o Outcome) {
	p.own[i]--
	if o.Load.Capacity > 0 {
		p.told[i] = max(0, float64(o.Load.Running+o.Load.Queued-p.own[i]))
	}
}

// tally is how the requests of one run fared.
type tally struct {
	asked, inTime, served, refused, sends int
	outcomes                              [Misdirected + 1]int
	byRank                                [3]int // in time
	times                                 []float64
}

func (t *tally) String() string {
	slices.Sort(t.times)
	mean, p95 := meanOf(t.times), 0.0
	if len(t.times) > 0 {
		p95 = t.times[len(t.times)*95/100]
	}
	return fmt.Sprintf("in time %.3f, served %.3f, mean %4.0f ms, p95 %4.0f ms, %.2f sends each (%d turned away, %d reset, %d cut), %d refused, in time by rank %d",
		t.share(t.inTime), t.share(t.served), 1000*mean, 1000*p95, float64(t.sends)/float64(max(1, t.asked)),
		t.outcomes[NotRun], t.outcomes[IncompleteResponse], t.outcomes[TimedOut], t.refused, t.byRank)
}

func (t *tally) share(n int) float64 { return float64(n) / float64(max(1, t.asked)) }

func meanOf(values []float64) float64 {
	sum := 0.0
	for _, x := range values {
		sum += x
	}
	return sum / float64(max(1, len(values)))
}
