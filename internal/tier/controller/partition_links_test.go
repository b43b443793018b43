package controller

import (
	"time"

	"mastusher/internal/tier/group"
)

// link is one direction between two machines.
type link struct{ from, to int }

func (c *core) deliver(w link, envelope group.Envelope) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.blocked[w] {
		c.delayed[w] = append(c.delayed[w], envelope)
		if len(c.delayed[w]) > maxDelayedMessages {
			c.delayed[w] = c.delayed[w][1:]
		}
		return
	}
	if c.random.Float64() < c.kind.lost {
		return
	}
	delay := coreLatency + time.Duration(c.random.Int64N(int64(coreLatency)))
	time.AfterFunc(delay, func() {
		to := c.machines[w.to]
		to.waitWhileFrozen()
		to.controller.Group().Deliver(envelope.Message)
		to.wakeUp()
	})
}

// setBlocked blocks or unblocks links. What a block has delayed arrives after its end.
func (c *core) setBlocked(blocked bool, ways ...link) {
	for _, w := range ways {
		c.mutex.Lock()
		c.blocked[w] = blocked
		delayed := c.delayed[w]
		if !blocked {
			delete(c.delayed, w)
		}
		c.mutex.Unlock()
		for _, envelope := range delayed {
			if !blocked {
				c.deliver(w, envelope)
			}
		}
	}
	c.updateReachability()
}

// freeze stops a machine, and thaw lets it go on.
func (c *core) freeze(number int) {
	c.mutex.Lock()
	c.machines[number].thawed = make(chan struct{})
	c.mutex.Unlock()
	c.updateReachability()
}

func (c *core) thaw(number int) {
	c.mutex.Lock()
	close(c.machines[number].thawed)
	c.mutex.Unlock()
	c.updateReachability()
}

// updateReachability notes who is in whose reach, directly or through others.
func (c *core) updateReachability() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for from := range c.machines {
		reached := c.reachedFrom(from)
		for to := range c.machines {
			w := link{from, to}
			_, unseen := c.unreachableSince[w]
			switch {
			case !reached[to] && !unseen:
				c.unreachableSince[w] = now
				delete(c.reachableAt, w)
			case reached[to] && unseen && c.reachableAt[w].IsZero():
				c.reachableAt[w] = now.Add(rejoinTime)
			}
		}
	}
}

func (c *core) reachedFrom(from int) map[int]bool {
	reached := map[int]bool{from: true}
	for grown := true; grown; {
		grown = false
		for a := range c.machines {
			for b := range c.machines {
				if reached[a] && !reached[b] && !c.blocked[link{a, b}] && !c.blocked[link{b, a}] && c.isRunning(a) && c.isRunning(b) {
					reached[b], grown = true, true
				}
			}
		}
	}
	return reached
}

func (c *core) isRunning(number int) bool {
	select {
	case <-c.machines[number].thawed:
		return true
	default:
		return false
	}
}

// isDead tells whether membership of one machine takes another for dead. The caller holds the mutex.
func (c *core) isDead(w link) bool {
	since, unseen := c.unreachableSince[w]
	back := c.reachableAt[w]
	return unseen && time.Since(since) > failureDetectionTime && (back.IsZero() || time.Now().Before(back))
}
