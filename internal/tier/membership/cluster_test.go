package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mastusher/internal/virtualtime"
)

// cluster is a set of hosts in virtual time, connected by a simulated network.
type cluster struct {
	loop      virtualtime.Loop
	random    *rand.Rand
	hosts     []*host
	byAddress map[string]*host

	loss      float64 // fraction of datagrams that are lost
	duplicate float64
	shortest  time.Duration // minimum one-way delay
	longest   time.Duration
	blocked   func(from, to *host) bool // reports whether one host cannot send to the other
	measure   bool                      // encode each message and count its bytes

	tombstoneTimeout time.Duration
	largest          int // size of the largest datagram in bytes
	calls            int
	callBytes        int
	routes           []replyRoute
}

// newCluster returns a cluster of size hosts that are down. The first three are controllers and seeds.
func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: map[string]*host{},
		loss:      0.02,
		shortest:  500 * time.Microsecond,
		longest:   5 * time.Millisecond,
		blocked:   func(_, _ *host) bool { return false },
	}
	for i := range size {
		c.addHost(i)
	}
	return c
}

func (c *cluster) addHost(i int) *host {
	role, class := Agent, "edge"
	if i < 3 {
		role, class = Controller, "core"
	} else if i < 7 {
		role, class = Store, "storage"
	}
	machine := fmt.Sprintf("%s-muscat-hall-%c-%d", class, 'a'+i%4, i)
	added := &host{member: Member{
		Name:    machine + "/" + string(role),
		ID:      fmt.Sprintf("%016x", c.random.Uint64()),
		Role:    role,
		Zone:    fmt.Sprintf("muscat-hall-%c", 'a'+i%4),
		Address: fmt.Sprintf("10.%d.%d.%d:7380", i%4, i/250, i%250),
	}}
	if role == Controller {
		added.member.Control = fmt.Sprintf("10.%d.0.%d:8144", i%4, i)
	}
	for s := range 3 {
		added.seeds = append(added.seeds, fmt.Sprintf("10.%d.0.%d:7380", s, s))
	}
	c.hosts = append(c.hosts, added)
	c.byAddress[added.member.Address] = added
	return added
}

// epochMs is the Unix time at the start of virtual time, in ms.
const epochMs = 1_764_651_362_000

// start starts the process of a host; its incarnation is the current time.
func (c *cluster) start(h *host) {
	h.starts++
	h.member.Incarnation = uint64(epochMs + c.loop.Now().Milliseconds())
	h.node = New(Options{
		Self:             h.member,
		Seeds:            h.seeds,
		TombstoneTimeout: c.tombstoneTimeout,
		Seed:             c.random.Uint64(),
	})
	h.frozen = false
	h.pending = Input{}
	c.step(h, Input{})
}

// startAll starts all hosts within 0.3 s in random order.
func (c *cluster) startAll() {
	for _, h := range c.hosts {
		c.after(time.Duration(c.random.Int64N(int64(300*time.Millisecond))), func() { c.start(h) })
	}
}

func (c *cluster) kill(h *host) {
	h.node = nil
	h.version++
}

func (c *cluster) freeze(h *host, duration time.Duration) {
	h.frozen = true
	c.after(duration, func() {
		if !h.frozen || h.node == nil {
			return
		}
		h.frozen = false
		pending := h.pending
		h.pending = Input{}
		c.step(h, Input{}) // the timer fires before the process reads what has arrived
		c.step(h, pending)
	})
}

func (c *cluster) after(delay time.Duration, run func()) { c.loop.After(delay, run) }

func (c *cluster) runFor(duration time.Duration) { c.loop.RunFor(duration) }

// runUntil runs until the condition holds, checking every 100 ms, and returns the elapsed time and whether the condition holds.
func (c *cluster) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	started := c.loop.Now()
	for c.loop.Now()-started < limit {
		if condition() {
			return c.loop.Now() - started, true
		}
		c.runFor(100 * time.Millisecond)
	}
	return c.loop.Now() - started, condition()
}

// runUntilProbing runs until a host has a pending probe.
func (c *cluster) runUntilProbing(h *host) {
	for len(h.node.prober.pending) == 0 {
		c.loop.Step()
	}
}

// deliver steps a host with an input, later if the host is slow or frozen.
func (c *cluster) deliver(to *host, input Input) {
	if to.lag > 0 {
		starts := to.starts
		c.after(to.lag, func() {
			if to.starts == starts {
				c.stepUnlessFrozen(to, input)
			}
		})
		return
	}
	c.stepUnlessFrozen(to, input)
}

func (c *cluster) stepUnlessFrozen(to *host, input Input) {
	if to.frozen {
		to.pending.Datagrams = append(to.pending.Datagrams, input.Datagrams...)
		to.pending.Arrivals = append(to.pending.Arrivals, input.Arrivals...)
		to.pending.Results = append(to.pending.Results, input.Results...)
		return
	}
	if to.node != nil {
		c.step(to, input)
	}
}

func (c *cluster) step(stepped *host, input Input) {
	effects := stepped.node.Step(c.loop.Now(), input)
	stepped.steps++
	for _, change := range effects.Events {
		stepped.events = append(stepped.events, timedEvent{c.loop.Now(), change})
	}
	for _, datagram := range effects.Datagrams {
		c.sendDatagram(stepped, datagram)
	}
	for _, call := range effects.Calls {
		c.call(stepped, call)
	}
	for _, reply := range effects.Replies {
		c.sendReply(stepped, reply)
	}
	stepped.version++
	version := stepped.version
	if effects.NextWake == never {
		return
	}
	if effects.NextWake > c.loop.Now() {
		stepped.immediateSteps = 0
	}
	stepped.immediateSteps++
	if stepped.immediateSteps > maxImmediateSteps {
		panic(stepped.member.Name + " asked for an immediate wake-up in too many consecutive steps")
	}
	c.after(effects.NextWake-c.loop.Now()+stepped.lag, func() {
		if stepped.version == version && stepped.node != nil && !stepped.frozen {
			c.step(stepped, Input{})
		}
	})
}
