package gossip

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"mastusher/internal/tier/view"
	"mastusher/internal/virtualtime"
)

// cluster is a set of hosts in virtual time, connected by a simulated network.
type cluster struct {
	loop    virtualtime.Loop
	random  *rand.Rand
	hosts   []*host
	byName  map[string]*host
	options Options

	loss      float64                   // fraction of datagrams that are lost
	blocked   func(from, to *host) bool // reports whether one host cannot send to the other
	violation error                     // the first violation of the protocol

	messages int
	bytes    int
	fetches  int
}

// host is one member.
type host struct {
	address        string
	gossiper       *Gossiper // nil while the host is down
	starts         int
	version        uint64                         // of the wake-up timer; timers of older versions are ignored
	immediateSteps int                            // consecutive steps that asked for an immediate wake-up
	hangs          bool                           // accepts calls and never answers
	fetching       map[view.Section]time.Duration // start of the pending fetch
	reported       map[view.Section]view.Stamp
	reportedAt     map[view.Section]time.Duration
}

// newCluster starts size hosts that know each other.
func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		random:  rand.New(rand.NewPCG(seed, 1)),
		byName:  map[string]*host{},
		loss:    0.02,
		blocked: func(_, _ *host) bool { return false },
	}
	for i := range size {
		added := &host{address: fmt.Sprintf("10.0.%d.%d:7380", i/250, i%250)}
		c.hosts = append(c.hosts, added)
		c.byName[added.address] = added
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

// start starts a host with an empty store.
func (c *cluster) start(h *host) {
	options := c.options
	options.Seed = c.random.Uint64()
	h.starts++
	h.gossiper = New(options, NewStore())
	h.hangs = false
	h.fetching = map[view.Section]time.Duration{}
	h.reported = map[view.Section]view.Stamp{}
	h.reportedAt = map[view.Section]time.Duration{}
	peers := make([]string, 0, len(c.hosts))
	for _, other := range c.hosts {
		if other != h {
			peers = append(peers, other.address)
		}
	}
	c.step(h, Input{Peers: peers})
}

func (c *cluster) kill(h *host) {
	h.gossiper = nil
	h.version++
}

func (c *cluster) after(delay time.Duration, run func()) { c.loop.After(delay, run) }

func (c *cluster) runFor(duration time.Duration) { c.loop.RunFor(duration) }

func (c *cluster) step(h *host, input Input) {
	effects := h.gossiper.Step(c.loop.Now(), input)
	for _, update := range effects.Updated {
		c.checkReport(h, update)
	}
	for _, datagram := range effects.Datagrams {
		c.send(h, datagram)
	}
	for _, fetch := range effects.Fetches {
		c.checkFetch(h, fetch)
		c.fetch(h, fetch)
	}
	h.version++
	version := h.version
	if effects.NextWake == never || c.isSpinning(h, effects.NextWake) {
		return
	}
	c.after(effects.NextWake-c.loop.Now(), func() {
		if h.version == version && h.gossiper != nil {
			c.step(h, Input{})
		}
	})
}

// isSpinning reports whether a host keeps asking for an immediate wake-up.
func (c *cluster) isSpinning(h *host, wake time.Duration) bool {
	const maxImmediateSteps = 100
	if wake > c.loop.Now() {
		h.immediateSteps = 0
		return false
	}
	h.immediateSteps++
	if h.immediateSteps < maxImmediateSteps {
		return false
	}
	c.recordViolation("%s asked for an immediate wake-up in too many consecutive steps", h.address)
	return true
}

// checkReport checks that an update is newer than the last one that the host reported for the section.
func (c *cluster) checkReport(h *host, update view.Update) {
	last, found := h.reported[update.Section]
	if found && !last.Less(update.Stamp) {
		c.recordViolation("%s reported %v of %s after %v", h.address, update.Stamp, update.Section, last)
	}
	h.reported[update.Section] = update.Stamp
	h.reportedAt[update.Section] = c.loop.Now()
}

// checkFetch checks that a host fetches a section only once at a time, unless the last fetch exceeded its timeout.
func (c *cluster) checkFetch(h *host, fetch Fetch) {
	for section := range fetch.Requested {
		since, found := h.fetching[section]
		if found && c.loop.Now()-since < h.gossiper.options.FetchTimeout {
			c.recordViolation("%s fetches %s while another fetch of it is pending", h.address, section)
		}
		h.fetching[section] = c.loop.Now()
	}
}

func (c *cluster) recordViolation(format string, values ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, values...)
	}
}

func (c *cluster) delay() time.Duration {
	return 500*time.Microsecond + time.Duration(c.random.Int64N(int64(4500*time.Microsecond)))
}

func (c *cluster) send(from *host, datagram Datagram) {
	encoded, err := json.Marshal(datagram.Message)
	if err != nil {
		panic(err)
	}
	c.messages++
	c.bytes += len(encoded)
	to := c.byName[datagram.Address]
	if c.random.Float64() < c.loss {
		return
	}
	c.after(c.delay(), func() {
		if to.gossiper != nil && !c.blocked(from, to) {
			c.step(to, Input{Datagrams: []Datagram{{from.address, datagram.Message}}})
		}
	})
}

// fetch requests updates over a new connection, with four one-way delays: two for the handshake, one for the request and one for
// the response.
func (c *cluster) fetch(from *host, fetch Fetch) {
	c.fetches++
	starts := from.starts
	finish := func(after time.Duration, updates []view.Update) {
		c.after(after, func() {
			if from.gossiper == nil || from.starts != starts {
				return
			}
			for section := range fetch.Requested {
				delete(from.fetching, section)
			}
			c.step(from, Input{Fetched: []FetchResult{{Token: fetch.Token, Updates: updates}}})
		})
	}
	to := c.byName[fetch.Address]
	c.after(c.delay()+c.delay()+c.delay(), func() {
		switch {
		case to.hangs && to.gossiper != nil || c.blocked(from, to) || c.blocked(to, from):
			const hang = 5 * time.Second
			finish(hang, nil)
		case to.gossiper == nil:
			finish(c.delay(), nil)
		default:
			finish(c.delay(), to.gossiper.store.AtLeast(fetch.Requested))
		}
	})
}

// write makes a host publish a new update.
func (c *cluster) write(h *host, section view.Section, epoch, sequence uint64) view.Update {
	update := view.Update{
		Section: section,
		Stamp:   view.Stamp{Term: epoch, Sequence: sequence},
		Body:    json.RawMessage(fmt.Sprintf(`{"written":"%d.%d"}`, epoch, sequence)),
	}
	c.step(h, Input{Updates: []view.Update{update}})
	return update
}

// countReached counts the running hosts that have the given stamp of a section or a newer one, and all running hosts.
func (c *cluster) countReached(section view.Section, stamp view.Stamp) (reached, running int) {
	for _, h := range c.hosts {
		if h.gossiper == nil {
			continue
		}
		running++
		if current, found := h.gossiper.store.Get(section); found && !current.Stamp.Less(stamp) {
			reached++
		}
	}
	return reached, running
}

// expectAll runs until all running hosts have an update or a newer one, for at most the limit.
func (c *cluster) expectAll(update view.Update, limit time.Duration) error {
	end := c.loop.Now() + limit
	for {
		reached, running := c.countReached(update.Section, update.Stamp)
		if reached == running {
			return c.violation
		}
		if c.loop.Now() >= end {
			return fmt.Errorf("%d of %d hosts have section %s with stamp %v after %v, want all", reached, running, update.Section, update.Stamp, limit)
		}
		c.runFor(20 * time.Millisecond)
	}
}
