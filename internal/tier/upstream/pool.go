// Package upstream sends requests to endpoints over HTTP/1.1 connections of its own keeping. A connection belongs to one
// endpoint by its ID, never by its address, and carries one request at a time. A request is written at most once: nothing
// here repeats it, and errors tell whether any of its bytes were sent. Answers are parsed by net/http; its Transport, which
// pools by address and repeats requests by itself, is not used.
package upstream

import (
	"context"
	"sync"
	"time"
)

// Endpoint names where a request goes.
type Endpoint struct {
	ID             string
	Address        string
	MaxConnections int    // that this process may have to it; 0: no bound
	Permit         Permit // nil: it may get the request in any case
}

// Permit is asked once there is a connection, right before a request is written to it.
type Permit interface {
	// Granted tells whether the endpoint may still get the request.
	Granted() bool
}

// host holds the connections to one endpoint.
type host struct {
	id    string
	idle  []*connection // the last one returned is at the end
	total int           // idle, in use and being made
}

// Pool keeps the connections to endpoints. It is safe for concurrent use.
type Pool struct {
	options Options
	dial    dialFunc

	mutex   sync.Mutex
	hosts   map[string]*host
	inUse   map[*connection]struct{}
	reaper  *time.Timer
	reaping bool
	closed  bool
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	options = options.withDefaults()
	return &Pool{
		options: options,
		dial:    newDialer(options),
		hosts:   make(map[string]*host),
		inUse:   make(map[*connection]struct{}),
	}
}

// acquire returns an idle connection to the endpoint, or a new one. A fresh one carries no other request before.
func (p *Pool) acquire(ctx context.Context, endpoint Endpoint, fresh bool) (*connection, *Error) {
	for {
		idle, reserved, failure := p.takeIdle(endpoint, fresh)
		if failure != nil {
			return nil, failure
		}
		if reserved != nil {
			return p.connect(ctx, endpoint, reserved)
		}
		if !fresh && idle.reusable(p.options.Now()) {
			return idle, nil
		}
		p.discard(idle)
	}
}

// takeIdle takes the idle connection that was used last. If there is none, it reserves the place of a new one. For a fresh
// connection it takes an idle one, which is to make room, only where the endpoint has no more places.
func (p *Pool) takeIdle(endpoint Endpoint, fresh bool) (idle *connection, reserved *host, failure *Error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, &Error{Kind: NeverSent, Reason: PoolClosed}
	}
	h := p.hosts[endpoint.ID]
	if h == nil {
		h = &host{id: endpoint.ID}
		p.hosts[endpoint.ID] = h
	}
	full := endpoint.MaxConnections > 0 && h.total >= endpoint.MaxConnections
	if last := len(h.idle) - 1; last >= 0 && (full || !fresh) {
		idle = h.idle[last]
		h.idle[last] = nil
		h.idle = h.idle[:last]
		p.inUse[idle] = struct{}{}
		return idle, nil, nil
	}
	if full {
		return nil, nil, &Error{Kind: NeverSent, Reason: PoolExhausted}
	}
	h.total++
	return nil, h, nil
}

// connect makes a new connection in the place reserved for it.
func (p *Pool) connect(ctx context.Context, endpoint Endpoint, reserved *host) (*connection, *Error) {
	socket, err := p.dial(ctx, endpoint.Address)
	if err != nil {
		p.mutex.Lock()
		p.leave(reserved)
		p.mutex.Unlock()
		return nil, &Error{Kind: NeverSent, Reason: ConnectFailed, Err: err}
	}
	c := newConnection(reserved, socket)
	p.mutex.Lock()
	closed := p.closed
	p.inUse[c] = struct{}{}
	p.mutex.Unlock()
	if closed {
		p.discard(c)
		return nil, &Error{Kind: NeverSent, Reason: PoolClosed}
	}
	return c, nil
}

// leave gives up one place of a host. The caller holds the mutex.
func (p *Pool) leave(h *host) {
	h.total--
	if h.total == 0 && p.hosts[h.id] == h {
		delete(p.hosts, h.id)
	}
}

// release takes back a connection whose answer came whole, to be used again within the time given.
func (p *Pool) release(c *connection, keep time.Duration) {
	c.idleUntil = p.options.Now().Add(keep)
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		p.discard(c)
		return
	}
	delete(p.inUse, c)
	c.host.idle = append(c.host.idle, c)
	p.armReaper()
	p.mutex.Unlock()
}

// discard closes a connection that was in use.
func (p *Pool) discard(c *connection) {
	c.socket.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, known := p.inUse[c]; known {
		delete(p.inUse, c)
		p.leave(c.host)
	}
}

// Close closes every connection, those in use too.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, h := range p.hosts {
		for _, c := range h.idle {
			c.socket.Close()
		}
		h.total -= len(h.idle)
		h.idle = nil
	}
	for c := range p.inUse {
		c.socket.Close()
	}
	if p.reaper != nil {
		p.reaper.Stop()
	}
}

// Connections tells how many connections to an endpoint are in use or being made, and how many are idle.
func (p *Pool) Connections(endpointID string) (inUse, idle int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.hosts[endpointID]
	if h == nil {
		return 0, 0
	}
	return h.total - len(h.idle), len(h.idle)
}
