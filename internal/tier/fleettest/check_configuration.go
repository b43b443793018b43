package fleettest

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

// never is a time later than any run.
const never = time.Duration(1<<63 - 1)

// registerCheck checks that the configuration behaves as a single register. What operators and clients observed determines the
// sequence of configurations that were in force, and that sequence determines what each call may have observed.
type registerCheck struct {
	report  func(rule, format string, arguments ...any)
	orders  map[Content]*contentOrders
	inForce map[Content]bool
	chain   []Content       // configurations that were in force, the oldest first
	rank    map[Content]int // index in the chain
}

// contentOrders holds all orders of one configuration.
type contentOrders struct {
	base      uint64
	started   time.Duration // of the first order
	firstSeen time.Duration // end of the first acknowledgement or read; never: none
	acks      []span
	conflicts []span
}

// span is the time from the start of a call to its end.
type span struct{ started, ended time.Duration }

// checkConfiguration reports every observation of the configuration that a single register can't explain.
func checkConfiguration(h *history, report func(rule, format string, arguments ...any)) {
	c := &registerCheck{report: report, orders: map[Content]*contentOrders{}, inForce: map[Content]bool{}, rank: map[Content]int{}}
	c.collect(h)
	if !c.sortChain() {
		return
	}
	c.checkTimes(h)
	c.checkConflicts()
	c.checkProxies(h)
}

// collect gathers the orders by their content, and the configurations that were observed in force.
func (c *registerCheck) collect(h *history) {
	for _, o := range h.orders {
		known := c.orders[o.Content]
		if known == nil {
			known = &contentOrders{base: o.Base, started: o.Started, firstSeen: never}
			c.orders[o.Content] = known
		}
		switch {
		case o.Ended == 0:
		case o.Status == http.StatusOK:
			known.acks = append(known.acks, span{o.Started, o.Ended})
			c.observe(o.Content, o.Ended)
		case o.Status == http.StatusPreconditionFailed:
			known.conflicts = append(known.conflicts, span{o.Started, o.Ended})
		default:
			c.report("CONFIG", "a valid order %v on %d got status %d, want 200 or 412", o.Content, o.Base, o.Status)
		}
	}
	for _, read := range h.reads {
		c.observe(read.Content, read.Ended)
	}
	for _, seen := range h.versions {
		c.observe(seen.Content, seen.Ended)
	}
}

// observe records that a configuration was in force.
func (c *registerCheck) observe(content Content, at time.Duration) {
	known := c.orders[content]
	if known == nil {
		c.report("CONFIG", "%v is in force, but nobody sent it", content)
		return
	}
	c.inForce[content] = true
	known.firstSeen = min(known.firstSeen, at)
}

// sortChain builds the chain of configurations that were in force. It returns false if they don't form a chain.
func (c *registerCheck) sortChain() bool {
	c.addImplied()
	for content := range c.inForce {
		c.chain = append(c.chain, content)
	}
	slices.SortFunc(c.chain, func(a, b Content) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Label, b.Label))
	})
	base := uint64(0)
	for i, content := range c.chain {
		if c.orders[content].base != base {
			c.report("CONFIG", "%v has the base %d, but %d was in force before it: %v", content, c.orders[content].base, base, c.chain)
			return false
		}
		base = content.Number
		c.rank[content] = i
	}
	return true
}

// addImplied adds configurations that nobody observed, but that are the base of one that was in force.
func (c *registerCheck) addImplied() {
	for changed := true; changed; {
		changed = false
		for content := range c.inForce {
			base := c.orders[content].base
			if base == 0 || c.isInForce(base) {
				continue
			}
			var candidates []Content
			for other := range c.orders {
				if other.Number == base {
					candidates = append(candidates, other)
				}
			}
			if len(candidates) == 0 {
				c.report("CONFIG", "%v has the base %d, which nobody sent", content, base)
				return
			}
			slices.SortFunc(candidates, func(a, b Content) int { return cmp.Compare(a.Label, b.Label) })
			c.inForce[candidates[0]] = true
			changed = true
			break
		}
	}
}

// isInForce reports whether a configuration with the number was in force.
func (c *registerCheck) isInForce(number uint64) bool {
	for content := range c.inForce {
		if content.Number == number {
			return true
		}
	}
	return false
}

// observation is a call whose response shows that a configuration with this rank or a higher one was in force.
type observation struct {
	span
	rank int
	kind string // "acknowledged" or "read"
}

// checkTimes reports stale reads, which returned an older configuration than was observed before they started, and configurations
// that were observed before they were sent.
func (c *registerCheck) checkTimes(h *history) {
	var seen []observation
	for content := range c.inForce {
		known := c.orders[content]
		if known.firstSeen < known.started {
			c.report("CONFIG", "%v was seen before it was sent", content)
		}
		for _, ack := range known.acks {
			seen = append(seen, observation{ack, c.rank[content], "acknowledged"})
		}
	}
	first := len(seen)
	for _, read := range h.reads {
		seen = append(seen, observation{span{read.Started, read.Ended}, c.rank[read.Content], "read"})
	}
	for _, read := range seen[first:] {
		for _, earlier := range seen {
			if earlier.ended < read.started && earlier.rank > read.rank {
				c.report("CONFIG", "%v was read at %v-%v, though %v was %s by %v", c.chain[read.rank], read.started, read.ended,
					c.chain[earlier.rank], earlier.kind, earlier.ended)
				break
			}
		}
	}
}

// checkConflicts reports refusals of orders that were accepted, and of orders whose base was in force during the entire call.
func (c *registerCheck) checkConflicts() {
	for content, known := range c.orders {
		for _, conflict := range known.conflicts {
			if c.inForce[content] {
				c.report("CONFIG", "%v was refused at %v, but it was in force", content, conflict.ended)
				continue
			}
			if c.baseInForce(known.base, conflict) {
				c.report("CONFIG", "%v on %d was refused at %v-%v, but %d was in force during the entire call", content, known.base,
					conflict.started, conflict.ended, known.base)
			}
		}
	}
}

// baseInForce reports whether a version was certainly in force during an entire call.
func (c *registerCheck) baseInForce(base uint64, during span) bool {
	inForce := base == 0
	for i, content := range c.chain {
		if content.Number == base {
			inForce = c.orders[content].firstSeen < during.started
		}
		if c.orders[content].base == base {
			return inForce && c.orders[c.chain[i]].started > during.ended
		}
	}
	return inForce
}

// checkProxies reports proxies that went back to an older configuration within one incarnation.
func (c *registerCheck) checkProxies(h *history) {
	type incarnation struct {
		proxy  string
		number int
	}
	last := map[incarnation][]versionSeen{}
	for _, seen := range h.versions {
		key := incarnation{seen.Proxy, seen.Incarnation}
		for _, earlier := range last[key] {
			if earlier.Ended <= seen.Started && c.rank[earlier.Content] > c.rank[seen.Content] {
				c.report("CONFIG", "proxy %s went back from %v to %v at %v", seen.Proxy, earlier.Content, seen.Content, seen.Ended)
				break
			}
		}
		if newest := last[key]; len(newest) == 0 || c.rank[newest[len(newest)-1].Content] < c.rank[seen.Content] {
			last[key] = append(newest, seen)
		}
	}
}
