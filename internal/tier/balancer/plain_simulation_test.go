package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"mastusher/internal/tier/model"
)

// server simulates an endpoint for plain calls.
type server struct {
	sim        *simulation
	timeFactor float64 // a call takes this multiple of its work
	capacity   int
	queueLimit int
	running    int
	waiting    []func()
	down       func(now time.Duration) bool
}

// serve answers a call after the given work, queues it, or rejects it.
func (v *server) serve(work time.Duration, answer func(Outcome)) {
	switch {
	case v.down != nil && v.down(v.sim.now):
		v.sim.after(time.Millisecond, func() { answer(Outcome{Kind: IncompleteResponse}) })
	case v.running < v.capacity:
		v.begin(work, answer)
	case len(v.waiting) < v.queueLimit:
		v.waiting = append(v.waiting, func() { v.begin(work, answer) })
	default:
		o := Outcome{Kind: NotRun, Load: v.load()}
		v.sim.after(2*time.Millisecond, func() { answer(o) })
	}
}

func (v *server) load() Load {
	return Load{Running: v.running, Queued: len(v.waiting), Capacity: v.capacity}
}

func (v *server) begin(work time.Duration, answer func(Outcome)) {
	v.running++
	slower := 1.0
	if v.running*4 > v.capacity*3 {
		slower = 1.3
	}
	took := float64(work) * v.timeFactor * slower * (0.8 + 0.4*v.sim.random.Float64())
	if v.sim.random.Float64() < 0.02 {
		took *= 6 // an outlier, as by a pause of the process
	}
	v.sim.after(time.Duration(took), func() {
		o := Outcome{Kind: Success, Load: v.load()}
		v.running--
		if len(v.waiting) > 0 {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			next()
		}
		v.sim.after(2*time.Millisecond, func() { answer(o) })
	})
}

// plainRequestKind describes the plain requests of one route.
type plainRequestKind struct {
	route               Route
	retryable           bool
	work, latencyTarget time.Duration
	deadline            time.Duration
	share               float64 // of all requests
}

var plainRequestKinds = []plainRequestKind{
	{Route{Name: "alerts", Kind: model.Retryable, MaxAttempts: 3}, true, 78 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 0.4},
	{Route{Name: "archive", Kind: model.AtMostOnce, Priority: 2, MaxAttempts: 3}, false, 312 * time.Millisecond, 1200 * time.Millisecond, 6 * time.Second, 0.3},
	{Route{Name: "desks", Kind: model.AtMostOnce, Priority: 1, MaxAttempts: 3}, false, 208 * time.Millisecond, 800 * time.Millisecond, 4 * time.Second, 0.3},
}

// simulatedProxy is a proxy. With a queue, a request that the policy rejects is queued unless it may have run.
type simulatedProxy struct {
	policy  selectionPolicy
	queue   *Queue // nil: requests are rejected at once
	waiting map[uint64]*simulatedClient
}

// retryNextQueued retries the most urgent queued request after another request's attempt has ended.
func (p *simulatedProxy) retryNextQueued() {
	if p.queue == nil {
		return
	}
	if queued, ok := p.queue.Pop(); ok {
		p.waiting[queued.ID].attempt()
	}
}

// expire rejects the queued requests that have expired.
func (p *simulatedProxy) expire(now time.Duration) {
	for queued, ok := p.queue.PopExpired(now); ok; queued, ok = p.queue.PopExpired(now) {
		p.rejectQueued(queued.ID)
	}
}

// rejectQueued rejects a request that was queued.
func (p *simulatedProxy) rejectQueued(id uint64) {
	c := p.waiting[id]
	delete(p.waiting, id)
	c.rejected(minRetryAfter)
}

// plainSimulation simulates plain calls through several proxies to several endpoints.
type plainSimulation struct {
	clock   *simulation
	list    []model.Endpoint
	servers []*server
	proxies []*simulatedProxy
	stats   *callStats
	serial  uint64
}

// simulatePlainCalls simulates plain calls of nine proxies to 28 endpoints of capacity 6, at the given utilization of these.
func simulatePlainCalls(seed uint64, utilization float64, outage, queues bool, newPolicy func(list []model.Endpoint, i int) selectionPolicy) *callStats {
	const endpoints, capacity, proxies, length = 28, 6, 9, 11 * time.Second
	w := &plainSimulation{clock: newSimulation(seed), list: endpointsOf("feeds", endpoints, capacity), stats: &callStats{}}
	totalSpeed := 0.0
	for i := range endpoints {
		v := &server{sim: w.clock, timeFactor: math.Exp(0.4 * w.clock.random.NormFloat64()), capacity: capacity, queueLimit: 4}
		if totalSpeed += capacity / v.timeFactor; outage && i%7 == 3 {
			v.down = func(now time.Duration) bool { return now > 5*time.Second && now < 9*time.Second }
		}
		w.servers = append(w.servers, v)
	}
	for i := range proxies {
		p := &simulatedProxy{policy: newPolicy(w.list, i), waiting: map[uint64]*simulatedClient{}}
		if queues {
			p.queue = NewQueue(200)
		}
		w.proxies = append(w.proxies, p)
	}
	work := 0.0
	for _, k := range plainRequestKinds {
		work += k.share * k.work.Seconds() * 1.1
	}
	w.clock.arrivals(utilization*totalSpeed/work, length, w.arrive)
	w.clock.run(length + 6*time.Second)
	return w.stats
}

func (w *plainSimulation) arrive() {
	remaining, k := w.clock.arrivalRandom.Float64(), 0
	for remaining > plainRequestKinds[k].share && k < len(plainRequestKinds)-1 {
		remaining -= plainRequestKinds[k].share
		k++
	}
	w.serial++
	c := &simulatedClient{simulation: w, id: w.serial, kind: &plainRequestKinds[k], startedAt: w.clock.now, resubmissionsLeft: 1,
		proxy: w.proxies[w.clock.arrivalRandom.IntN(len(w.proxies))]}
	if w.clock.now > 3*time.Second { // earlier requests only fill the tables
		w.stats.requests++
		c.measured = true
	}
	c.attempt()
}

// simulatedClient is a client that sends one request, and sends it again if it is rejected.
type simulatedClient struct {
	simulation        *plainSimulation
	id                uint64
	kind              *plainRequestKind
	proxy             *simulatedProxy
	startedAt         time.Duration
	queuedUntil       time.Duration // expiry of the request in the queue; 0: it hasn't been queued
	resubmissionsLeft int           // times that the client may still send the request again after a rejection
	attempts          int
	mayHaveRun        bool
	afterTimeout      bool
	measured          bool // counted in the stats
	excluded          []string
}

func (c *simulatedClient) timeLeft() time.Duration {
	return c.kind.deadline - (c.simulation.clock.now - c.startedAt)
}

func (c *simulatedClient) attempt() {
	delete(c.proxy.waiting, c.id)
	r := Request{Service: "feeds", Route: c.kind.route, Retryable: c.kind.retryable, TimeLeft: c.timeLeft(), AttemptsUsed: c.attempts,
		MayHaveRun: c.mayHaveRun, AfterTimeout: c.afterTimeout, Excluded: c.excluded}
	if r.TimeLeft <= 0 || c.mayHaveRun && (c.attempts >= 3 || !c.kind.retryable) {
		return
	}
	if c.attempts >= 3 {
		c.rejected(100 * time.Millisecond)
		return
	}
	now := c.simulation.clock.now
	i, timeout, a := c.proxy.policy.selectEndpoint(now, r)
	if i < 0 {
		c.enqueue(timeout)
		return
	}
	if c.measured {
		c.simulation.stats.attempts++
	}
	c.attempts++
	c.proxy.policy.sent(now, i, a)
	over := false
	end := func(o Outcome) {
		if over {
			return
		}
		over, o.Elapsed = true, c.simulation.clock.now-now
		c.proxy.policy.done(c.simulation.clock.now, i, a, o)
		c.handleOutcome(i, o)
		c.proxy.retryNextQueued()
	}
	c.simulation.servers[i].serve(c.kind.work, end)
	c.simulation.clock.after(timeout, func() { end(Outcome{Kind: TimedOut}) })
}

// enqueue queues the request at the proxy, or rejects it if that has no queue.
func (c *simulatedClient) enqueue(retryAfter time.Duration) {
	now, queue := c.simulation.clock.now, c.proxy.queue
	if queue == nil || c.mayHaveRun {
		c.rejected(retryAfter)
		return
	}
	queued := NewQueuedRequest(c.id, c.kind.route.Priority, now, c.kind.latencyTarget, c.timeLeft())
	if c.queuedUntil > 0 {
		queued.ExpiresAt = c.queuedUntil
	}
	if c.queuedUntil = queued.ExpiresAt; queued.ExpiresAt <= now {
		c.rejected(retryAfter)
		return
	}
	c.proxy.waiting[c.id] = c
	if rejected, hasRejected := queue.Push(queued); hasRejected {
		c.proxy.rejectQueued(rejected.ID)
	}
	proxy := c.proxy
	c.simulation.clock.after(queued.ExpiresAt-now, func() { proxy.expire(c.simulation.clock.now) })
}

// rejected handles a rejection: the client sends the request again after the given time, to any proxy, if it has the time.
func (c *simulatedClient) rejected(after time.Duration) {
	if c.measured {
		c.simulation.stats.rejected++
	}
	if c.mayHaveRun || c.resubmissionsLeft == 0 || after > c.timeLeft()/3 {
		return
	}
	c.resubmissionsLeft--
	c.attempts, c.excluded, c.queuedUntil = 0, nil, 0
	c.proxy = c.simulation.proxies[c.simulation.clock.arrivalRandom.IntN(len(c.simulation.proxies))]
	c.simulation.clock.after(after, c.attempt)
}

func (c *simulatedClient) handleOutcome(i int, o Outcome) {
	t := c.simulation.stats
	if c.measured {
		t.outcomes[o.Kind]++
	}
	if o.Kind != Success {
		c.excluded = append(c.excluded, c.simulation.list[i].ID)
		c.mayHaveRun = c.mayHaveRun || o.Kind != NotRun
		c.afterTimeout = o.Kind == TimedOut
		c.attempt()
		return
	}
	took := c.simulation.clock.now - c.startedAt
	if !c.measured || took > c.kind.deadline {
		return
	}
	t.served++
	t.times = append(t.times, took.Seconds())
	if took <= c.kind.latencyTarget {
		t.onTime++
		t.onTimeByPriority[c.kind.route.Priority]++
	}
}

func TestSimulation_PlainCalls_BeatBaselines(t *testing.T) {
	tests := []struct {
		utilization float64 // of the endpoints
		outage      bool
	}{{0.4, true}, {0.7, true}, {1.1, false}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("utilization=%v/outage=%v", test.utilization, test.outage), func(t *testing.T) {
			t.Parallel()
			simulate := func(queues bool, newPolicy func(list []model.Endpoint, i int) selectionPolicy) *callStats {
				return simulatePlainCalls(1, test.utilization, test.outage, queues, newPolicy)
			}
			random := simulate(false, func(l []model.Endpoint, i int) selectionPolicy { return newBaselinePolicy(l, false, uint64(i)) })
			leastLoad := simulate(false, func(l []model.Endpoint, i int) selectionPolicy { return newBaselinePolicy(l, true, uint64(i)) })
			direct, ours := simulate(false, balancedProxyPolicy), simulate(true, balancedProxyPolicy)
			t.Logf("random:     %v", random)
			t.Logf("least load: %v", leastLoad)
			t.Logf("balancer:   %v", direct)
			t.Logf("with queue: %v", ours)
			if share := ours.share(ours.onTime); share < random.share(random.onTime) || share < leastLoad.share(leastLoad.onTime) {
				t.Error("fewer requests meet their latency target than with a baseline policy")
			}
		})
	}
}

func balancedProxyPolicy(list []model.Endpoint, i int) selectionPolicy {
	return newBalancedPolicy(list, fmt.Sprintf("z%d", i%4), uint64(i))
}
