package upstream

import "time"

// armReaper starts the timer that closes idle connections in time. The caller holds the mutex.
func (p *Pool) armReaper() {
	if p.reaping || p.closed {
		return
	}
	p.reaping = true
	if p.reaper == nil {
		p.reaper = time.AfterFunc(reapInterval, p.reap)
		return
	}
	p.reaper.Reset(reapInterval)
}

// reap closes the idle connections whose time is over. It runs on only while there are others.
func (p *Pool) reap() {
	now := p.options.Now()
	var due []*connection
	p.mutex.Lock()
	p.reaping = false
	remaining := false
	for _, h := range p.hosts {
		due = p.takeDue(h, now, due)
		remaining = remaining || len(h.idle) > 0
	}
	if remaining {
		p.armReaper()
	}
	p.mutex.Unlock()
	for _, c := range due {
		c.socket.Close()
	}
}

// takeDue moves the idle connections of a host whose time is over to due. The caller holds the mutex.
func (p *Pool) takeDue(h *host, now time.Time, due []*connection) []*connection {
	kept := h.idle[:0]
	for _, c := range h.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		due = append(due, c)
		p.leave(h)
	}
	clear(h.idle[len(kept):])
	h.idle = kept
	return due
}
