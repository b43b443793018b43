package upstream

import "time"

// scheduleReap starts the reaper's timer unless it is running. The caller holds the mutex.
func (p *Pool) scheduleReap() {
	if p.reapScheduled || p.closed {
		return
	}
	p.reapScheduled = true
	if p.reaper == nil {
		p.reaper = time.AfterFunc(reapInterval, p.reap)
		return
	}
	p.reaper.Reset(reapInterval)
}

// probeInterval is the time after which an idle connection is checked again for an endpoint that has closed it or sends on it.
const probeInterval = time.Second

// expired reports whether an idle connection is to be closed: its time is over, or a check that was due has found that it can't be reused.
func (c *connection) expired(now time.Time) bool {
	if now.Sub(c.probedAt) < probeInterval {
		return !now.Before(c.idleUntil)
	}
	c.probedAt = now
	return !c.reusable(now)
}

// reap closes the idle connections that have expired, and schedules the next run if other idle connections remain.
func (p *Pool) reap() {
	now := p.options.Now()
	var expired []*connection
	p.mutex.Lock()
	p.reapScheduled = false
	remaining := false
	for _, e := range p.endpoints {
		expired = p.collectExpired(e, now, expired)
		remaining = remaining || len(e.idle) > 0
	}
	if remaining {
		p.scheduleReap()
	}
	p.mutex.Unlock()
	for _, c := range expired {
		c.socket.Close()
	}
}

// collectExpired removes the expired idle connections of an endpoint and returns expired with them appended. The caller holds the
// mutex.
func (p *Pool) collectExpired(e *endpointConns, now time.Time, expired []*connection) []*connection {
	remaining := e.idle[:0]
	for _, c := range e.idle {
		if !c.expired(now) {
			remaining = append(remaining, c)
			continue
		}
		expired = append(expired, c)
		p.idle--
		p.releaseSlot(e)
	}
	clear(e.idle[len(remaining):])
	e.idle = remaining
	return expired
}
