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

// The simulations run plain calls and streams in virtual time. The endpoints differ in speed and report their load as the
// protocol specifies. They process requests up to their capacity and queue the rest; those for plain calls reject requests
// when the queue is full.

// simulation is a virtual clock with a queue of timed events.
type simulation struct {
	now           time.Duration
	events        eventHeap
	serial        uint64
	random        *rand.Rand
	arrivalRandom *rand.Rand // separate, so that all policies get the same requests
}

type simulatedEvent struct {
	at     time.Duration
	serial uint64
	run    func()
}

type eventHeap []simulatedEvent

func (d eventHeap) Len() int { return len(d) }
func (d eventHeap) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].serial < d[j].serial
}
func (d eventHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventHeap) Push(x any)   { *d = append(*d, x.(simulatedEvent)) }
func (d *eventHeap) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 0)), arrivalRandom: rand.New(rand.NewPCG(seed, 2))}
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.serial++
	heap.Push(&sim.events, simulatedEvent{at: sim.now + max(0, d), serial: sim.serial, run: do})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		e := heap.Pop(&sim.events).(simulatedEvent)
		sim.now = e.at
		e.run()
	}
}

// arrivals calls do at random times (a Poisson process) with the given rate per second.
func (sim *simulation) arrivals(rate float64, until time.Duration, do func()) {
	sim.after(seconds(sim.arrivalRandom.ExpFloat64()/rate), func() {
		if sim.now < until {
			do()
			sim.arrivals(rate, until, do)
		}
	})
}

// selectionPolicy is the way in which one proxy selects endpoints.
type selectionPolicy interface {
	// selectEndpoint returns the index of an endpoint and a timeout, or -1 and the time after which to retry.
	selectEndpoint(now time.Duration, r Request) (endpoint int, timeout time.Duration, attempt *Attempt)
	sent(now time.Duration, endpoint int, a *Attempt)
	firstEvent(now time.Duration, endpoint int, a *Attempt, report Load)
	done(now time.Duration, endpoint int, a *Attempt, o Outcome)
}

// balancedPolicy selects endpoints by a Balancer.
type balancedPolicy struct {
	balancer *Balancer
	indexes  map[string]int
}

func newBalancedPolicy(list []model.Endpoint, zone string, seed uint64) *balancedPolicy {
	p := &balancedPolicy{balancer: New(Options{Zone: zone, Seed: seed}), indexes: map[string]int{}}
	p.balancer.SetEndpoints(0, list)
	for i, e := range list {
		p.indexes[e.ID] = i
	}
	return p
}

func (p *balancedPolicy) selectEndpoint(now time.Duration, r Request) (int, time.Duration, *Attempt) {
	d := p.balancer.Select(now, r)
	if d.Endpoint == nil {
		return -1, max(d.Rejection.RetryAfter, minRetryAfter), nil
	}
	return p.indexes[d.Endpoint.ID], d.Timeout, &d.Attempt
}

func (p *balancedPolicy) sent(now time.Duration, _ int, a *Attempt) { p.balancer.Sent(now, a) }
func (p *balancedPolicy) firstEvent(now time.Duration, _ int, a *Attempt, report Load) {
	p.balancer.FirstEvent(now, a, report)
}
func (p *balancedPolicy) done(now time.Duration, _ int, a *Attempt, o Outcome) {
	p.balancer.Done(now, a, o)
}

// baselinePolicy selects a random endpoint, or the one with the lowest sum of its reported load and the proxy's own calls.
type baselinePolicy struct {
	random       *rand.Rand
	leastLoaded  bool
	list         []model.Endpoint
	ownInFlight  []int
	reportedLoad []float64
}

func newBaselinePolicy(list []model.Endpoint, leastLoad bool, seed uint64) *baselinePolicy {
	return &baselinePolicy{random: rand.New(rand.NewPCG(seed, 1)), leastLoaded: leastLoad, list: list, ownInFlight: make([]int, len(list)),
		reportedLoad: make([]float64, len(list))}
}

func (p *baselinePolicy) selectEndpoint(_ time.Duration, r Request) (int, time.Duration, *Attempt) {
	best, bestLoad := -1, math.Inf(1)
	for range 20 {
		if i := p.random.IntN(len(p.list)); !slices.Contains(r.Excluded, p.list[i].ID) {
			best = i
			break
		}
	}
	if !p.leastLoaded {
		return best, r.TimeLeft, nil
	}
	for i := range p.list {
		load := float64(p.ownInFlight[i]) + p.reportedLoad[i] + 0.01*p.random.Float64()
		if load < bestLoad && !slices.Contains(r.Excluded, p.list[i].ID) {
			best, bestLoad = i, load
		}
	}
	return best, r.TimeLeft, nil
}

func (p *baselinePolicy) sent(_ time.Duration, i int, _ *Attempt) { p.ownInFlight[i]++ }
func (p *baselinePolicy) firstEvent(_ time.Duration, i int, _ *Attempt, report Load) {
	p.reportedLoad[i] = float64(report.Running + report.Queued - p.ownInFlight[i])
}
func (p *baselinePolicy) done(_ time.Duration, i int, _ *Attempt, o Outcome) {
	p.ownInFlight[i]--
	if o.Load.Capacity > 0 {
		p.reportedLoad[i] = max(0, float64(o.Load.Running+o.Load.Queued-p.ownInFlight[i]))
	}
}

// callStats counts the requests of one run and how they ended.
type callStats struct {
	requests, onTime, served, rejected, attempts int
	outcomes                                     [Misdirected + 1]int
	onTimeByPriority                             [3]int    // within the latency target
	times                                        []float64 // of the served requests, in seconds
}

func (t *callStats) String() string {
	slices.Sort(t.times)
	mean, p95 := meanOf(t.times), 0.0
	if len(t.times) > 0 {
		p95 = t.times[len(t.times)*95/100]
	}
	return fmt.Sprintf("on time %.3f, served %.3f, mean %4.0f ms, p95 %4.0f ms, %.2f attempts each (%d rejected by endpoints, %d incomplete, %d timed out), %d rejected, on time by priority %d",
		t.share(t.onTime), t.share(t.served), 1000*mean, 1000*p95, float64(t.attempts)/float64(max(1, t.requests)),
		t.outcomes[NotRun], t.outcomes[IncompleteResponse], t.outcomes[TimedOut], t.rejected, t.onTimeByPriority)
}

func (t *callStats) share(n int) float64 { return float64(n) / float64(max(1, t.requests)) }

func meanOf(values []float64) float64 {
	sum := 0.0
	for _, x := range values {
		sum += x
	}
	return sum / float64(max(1, len(values)))
}
