package controller

import (
	"time"

	"mastusher/internal/tier/group"
)

// link is one direction between two machines, by their numbers.
type link struct{ from, to int }

func (c *partitionedCluster) deliver(l link, envelope group.Envelope) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.blocked[l] {
		c.delayed[l] = append(c.delayed[l], envelope)
		if len(c.delayed[l]) > maxDelayedMessages {
			c.delayed[l] = c.delayed[l][1:]
		}
		return
	}
	if c.random.Float64() < c.kind.lost {
		return
	}
	delay := linkLatency + time.Duration(c.random.Int64N(int64(linkLatency)))
	time.AfterFunc(delay, func() {
		to := c.machines[l.to]
		to.waitWhileFrozen()
		to.controller.Group().Deliver(envelope.Message)
		to.wakeUp()
	})
}

// setBlocked blocks or unblocks links. Unblocking a link delivers the messages that it has delayed.
func (c *partitionedCluster) setBlocked(blocked bool, links ...link) {
	for _, l := range links {
		c.mutex.Lock()
		c.blocked[l] = blocked
		delayed := c.delayed[l]
		if !blocked {
			delete(c.delayed, l)
		}
		c.mutex.Unlock()
		for _, envelope := range delayed {
			if !blocked {
				c.deliver(l, envelope)
			}
		}
	}
	c.updateReachability()
}

// freeze stops a machine until thaw.
func (c *partitionedCluster) freeze(number int) {
	c.mutex.Lock()
	c.machines[number].thawed = make(chan struct{})
	c.mutex.Unlock()
	c.updateReachability()
}

func (c *partitionedCluster) thaw(number int) {
	c.mutex.Lock()
	close(c.machines[number].thawed)
	c.mutex.Unlock()
	c.updateReachability()
}

// updateReachability records which machines reach each other, directly or through others.
func (c *partitionedCluster) updateReachability() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for from := range c.machines {
		reached := c.reachedFrom(from)
		for to := range c.machines {
			l := link{from, to}
			_, unreachable := c.unreachableSince[l]
			switch {
			case !reached[to] && !unreachable:
				c.unreachableSince[l] = now
				delete(c.reachableAt, l)
			case reached[to] && unreachable && c.reachableAt[l].IsZero():
				c.reachableAt[l] = now.Add(rejoinTime)
			}
		}
	}
}

func (c *partitionedCluster) reachedFrom(from int) map[int]bool {
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

func (c *partitionedCluster) isRunning(number int) bool {
	select {
	case <-c.machines[number].thawed:
		return true
	default:
		return false
	}
}

// isDead reports whether one machine's membership considers another one dead. The caller must hold mutex.
func (c *partitionedCluster) isDead(l link) bool {
	since, unreachable := c.unreachableSince[l]
	back := c.reachableAt[l]
	return unreachable && time.Since(since) > failureDetectionTime && (back.IsZero() || time.Now().Before(back))
}
