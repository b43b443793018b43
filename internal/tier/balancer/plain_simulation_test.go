package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"mastusher/internal/tier/model"
)

// server is a plain endpoint.
type server struct {
	sim     *simulation
	speed   float64 // x the work
	slots   int
	queue   int
	running int
	waiting []func()
	down    func(now time.Duration) bool
}

// serve works for so long and then answers.
func (v *server) serve(work time.Duration, answer func(Outcome)) {
	switch {
	case v.down != nil && v.down(v.sim.now):
		v.sim.after(time.Millisecond, func() { answer(Outcome{Kind: IncompleteResponse}) })
	case v.running < v.slots:
		v.begin(work, answer)
	case len(v.waiting) < v.queue:
		v.waiting = append(v.waiting, func() { v.begin(work, answer) })
	default:
		o := Outcome{Kind: NotRun, Load: v.load()}
		v.sim.after(2*time.Millisecond, func() { answer(o) })
	}
}

func (v *server) load() Load {
	return Load{Running: v.running, Queued: len(v.waiting), Capacity: v.slots}
}

func (v *server) begin(work time.Duration, answer func(Outcome)) {
	v.running++
	slower := 1.0
	if v.running*4 > v.slots*3 {
		slower = 1.3
	}
	took := float64(work) * v.speed * slower * (0.8 + 0.4*v.sim.random.Float64())
	if v.sim.random.Float64() < 0.02 {
		took *= 6 // a pause
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

// plainKind is one kind of plain request.
type plainKind struct {
	route     Route
	retryable bool
	work, aim time.Duration
	deadline  time.Duration
	share     float64
}

var plainKinds = []plainKind{
	{Route{Name: "alerts", Kind: model.Retryable, MaxAttempts: 3}, true, 78 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 0.4},
	{Route{Name: "archive", Kind: model.AtMostOnce, Priority: 2, MaxAttempts: 3}, false, 312 * time.Millisecond, 1200 * time.Millisecond, 6 * time.Second, 0.3},
	{Route{Name: "desks", Kind: model.AtMostOnce, Priority: 1, MaxAttempts: 3}, false, 208 * time.Millisecond, 800 * time.Millisecond, 4 * time.Second, 0.3},
}

// plainRelay is one proxy. Requests that a scheduler refuses as Saturated wait in its queue.
type plainRelay struct {
	policy  policy
	queue   *Queue // nil: nothing waits
	waiting map[uint64]*plainClient
}

// freed lets the most urgent waiter try again.
func (r *plainRelay) freed() {
	if r.queue == nil {
		return
	}
	if w, ok := r.queue.Pop(); ok {
		r.waiting[w.ID].try()
	}
}

// expire refuses those that have waited for too long.
func (r *plainRelay) expire(now time.Duration) {
	for w, ok := r.queue.PopExpired(now); ok; w, ok = r.queue.PopExpired(now) {
		r.leave(w.ID)
	}
}

// leave gives a waiter its refusal.
func (r *plainRelay) leave(id uint64) {
	c := r.waiting[id]
	delete(r.waiting, id)
	c.turnedAway(retryLeast)
}

// plainWorld is what plain calls meet.
type plainWorld struct {
	sim     *simulation
	list    []model.Endpoint
	servers []*server
	relays  []*plainRelay
	tally   *tally
	serial  uint64
}

// playPlain plays plain calls of nine relays to 28 endpoints of six slots, at that part of what these can do.
func playPlain(seed uint64, usage float64, outage, queues bool, relay func(list []model.Endpoint, i int) policy) *tally {
	const endpoints, slots, relays, length = 28, 6, 9, 11 * time.Second
	w := &plainWorld{sim: newSimulation(seed), list: fleetOf("feeds", endpoints, slots), tally: &tally{}}
	power := 0.0
	for i := range endpoints {
		v := &server{sim: w.sim, speed: math.Exp(0.4 * w.sim.random.NormFloat64()), slots: slots, queue: 4}
		if power += slots / v.speed; outage && i%7 == 3 {
			v.down = func(now time.Duration) bool { return now > 5*time.Second && now < 9*time.Second }
		}
		w.servers = append(w.servers, v)
	}
	for i := range relays {
		r := &plainRelay{policy: relay(w.list, i), waiting: map[uint64]*plainClient{}}
		if queues {
			r.queue = NewQueue(200)
		}
		w.relays = append(w.relays, r)
	}
	work := 0.0
	for _, k := range plainKinds {
		work += k.share * k.work.Seconds() * 1.1
	}
	w.sim.arrivals(usage*power/work, length, w.arrive)
	w.sim.run(length + 6*time.Second)
	return w.tally
}

func (w *plainWorld) arrive() {
	at, k := w.sim.coming.Float64(), 0
	for at > plainKinds[k].share && k < len(plainKinds)-1 {
		at -= plainKinds[k].share
		k++
	}
	w.serial++
	c := &plainClient{world: w, id: w.serial, kind: &plainKinds[k], begun: w.sim.now, comesBack: 1,
		relay: w.relays[w.sim.coming.IntN(len(w.relays))]}
	if w.sim.now > 3*time.Second { // what is learnt counts, not the learning
		w.tally.asked++
		c.counts = true
	}
	c.try()
}

// plainClient is one request on its way through a relay.
type plainClient struct {
	world     *plainWorld
	id        uint64
	kind      *plainKind
	relay     *plainRelay
	begun     time.Duration
	waitsTill time.Duration // bound of its wait in the queue; 0: it hasn't waited
	comesBack int           // times that the client comes again after a refusal
	tries     int
	ran       bool
	restarted bool
	counts    bool
	excluded  []string
}

func (c *plainClient) left() time.Duration { return c.kind.deadline - (c.world.sim.now - c.begun) }

func (c *plainClient) try() {
	delete(c.relay.waiting, c.id)
	r := Request{Service: "feeds", Route: c.kind.route, Retryable: c.kind.retryable, TimeLeft: c.left(), AttemptsUsed: c.tries,
		MayHaveRun: c.ran, AfterTimeout: c.restarted, Excluded: c.excluded}
	if r.TimeLeft <= 0 || c.ran && (c.tries >= 3 || !c.kind.retryable) {
		return
	}
	if c.tries >= 3 {
		c.turnedAway(100 * time.Millisecond)
		return
	}
	now := c.world.sim.now
	i, timeout, a := c.relay.policy.choose(now, r)
	if i < 0 {
		c.wait(timeout)
		return
	}
	if c.counts {
		c.world.tally.sends++
	}
	c.tries++
	c.relay.policy.sent(now, i, a)
	over := false
	end := func(o Outcome) {
		if over {
			return
		}
		over, o.Elapsed = true, c.world.sim.now-now
		c.relay.policy.done(c.world.sim.now, i, a, o)
		c.ended(i, o)
		c.relay.freed()
	}
	c.world.servers[i].serve(c.kind.work, end)
	c.world.sim.after(timeout, func() { end(Outcome{Kind: TimedOut}) })
}

// wait joins the relay's queue, if there is one.
func (c *plainClient) wait(comeBack time.Duration) {
	now, queue := c.world.sim.now, c.relay.queue
	if queue == nil || c.ran {
		c.turnedAway(comeBack)
		return
	}
	w := NewQueuedRequest(c.id, c.kind.route.Priority, now, c.kind.aim, c.left())
	if c.waitsTill > 0 {
		w.ExpiresAt = c.waitsTill
	}
	if c.waitsTill = w.ExpiresAt; w.ExpiresAt <= now {
		c.turnedAway(comeBack)
		return
	}
	c.relay.waiting[c.id] = c
	if refused, full := queue.Push(w); full {
		c.relay.leave(refused.ID)
	}
	relay := c.relay
	c.world.sim.after(w.ExpiresAt-now, func() { relay.expire(c.world.sim.now) })
}

// turnedAway ends the try with a promise; the client comes back if it has the time.
func (c *plainClient) turnedAway(after time.Duration) {
	if c.counts {
		c.world.tally.refused++
	}
	if c.ran || c.comesBack == 0 || after > c.left()/3 {
		return
	}
	c.comesBack--
	c.tries, c.excluded, c.waitsTill = 0, nil, 0
	c.relay = c.world.relays[c.world.sim.coming.IntN(len(c.world.relays))]
	c.world.sim.after(after, c.try)
}

func (c *plainClient) ended(i int, o Outcome) {
	t := c.world.tally
	if c.counts {
		t.outcomes[o.Kind]++
	}
	if o.Kind != Success {
		c.excluded = append(c.excluded, c.world.list[i].ID)
		c.ran = c.ran || o.Kind != NotRun
		c.restarted = o.Kind == TimedOut
		c.try()
		return
	}
	took := c.world.sim.now - c.begun
	if !c.counts || took > c.kind.deadline {
		return
	}
	t.served++
	t.times = append(t.times, took.Seconds())
	if took <= c.kind.aim {
		t.inTime++
		t.byRank[c.kind.route.Priority]++
	}
}

func TestSimulatedPlainCalls(t *testing.T) {
	tests := []struct {
		usage  float64 // of what the endpoints can do
		outage bool
	}{{0.4, true}, {0.7, true}, {1.1, false}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("usage=%v/outage=%v", test.usage, test.outage), func(t *testing.T) {
			t.Parallel()
			play := func(queues bool, relay func(list []model.Endpoint, i int) policy) *tally {
				return playPlain(1, test.usage, test.outage, queues, relay)
			}
			random := play(false, func(l []model.Endpoint, i int) policy { return newSimple(l, false, uint64(i)) })
			least := play(false, func(l []model.Endpoint, i int) policy { return newSimple(l, true, uint64(i)) })
			direct, ours := play(false, scheduledRelay), play(true, scheduledRelay)
			t.Logf("random:     %v", random)
			t.Logf("least load: %v", least)
			t.Logf("scheduler:  %v", direct)
			t.Logf("with queue: %v", ours)
			if share := ours.share(ours.inTime); share < random.share(random.inTime) || share < least.share(least.inTime) {
				t.Error("fewer requests are in time than with a simple choice")
			}
		})
	}
}

func scheduledRelay(list []model.Endpoint, i int) policy {
	return newScheduled(list, fmt.Sprintf("z%d", i%4), uint64(i))
}
