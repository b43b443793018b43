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

// Permit is checked once there is a connection, right before a request is written to it: the endpoint may have been withdrawn while
// the connection was made.
type Permit interface {
	// Granted reports whether the endpoint may still get the request.
	Granted() bool
}

// endpointConns holds the connections to one endpoint.
type endpointConns struct {
	id    string
	idle  []*connection // the last one returned is at the end
	total int           // idle, in use and being made: never above the endpoint's MaxConnections
}

// Pool pools the connections to endpoints. It is safe for concurrent use.
type Pool struct {
	options Options
	dial    dialFunc

	mutex         sync.Mutex
	endpoints     map[string]*endpointConns
	inUse         map[*connection]struct{}
	reaper        *time.Timer
	reapScheduled bool
	closed        bool
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	options = options.withDefaults()
	return &Pool{
		options:   options,
		dial:      newDialer(options),
		endpoints: make(map[string]*endpointConns),
		inUse:     make(map[*connection]struct{}),
	}
}

// acquire returns an idle connection to the endpoint, or a new one. A fresh one must not have carried another request.
func (p *Pool) acquire(ctx context.Context, endpoint Endpoint, fresh bool) (*connection, *Error) {
	for {
		idle, reserved, failure := p.takeIdleOrReserve(endpoint, fresh)
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

// takeIdleOrReserve takes the idle connection that was used last. If there is none, it reserves the slot of a new one. For a fresh
// connection it takes an idle one, which is to make room, only where the endpoint has no more slots.
func (p *Pool) takeIdleOrReserve(endpoint Endpoint, fresh bool) (idle *connection, reserved *endpointConns, failure *Error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, &Error{Kind: NeverSent, Reason: PoolClosed}
	}
	h := p.endpoints[endpoint.ID]
	if h == nil {
		h = &endpointConns{id: endpoint.ID}
		p.endpoints[endpoint.ID] = h
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

// connect makes a new connection in the slot reserved for it.
func (p *Pool) connect(ctx context.Context, endpoint Endpoint, reserved *endpointConns) (*connection, *Error) {
	socket, err := p.dial(ctx, endpoint.Address)
	if err != nil {
		p.mutex.Lock()
		p.releaseSlot(reserved)
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

// releaseSlot gives up one slot of an endpoint. The caller holds the mutex.
func (p *Pool) releaseSlot(e *endpointConns) {
	e.total--
	if e.total == 0 && p.endpoints[e.id] == e {
		delete(p.endpoints, e.id)
	}
}

// release takes back a connection whose response was complete, to be reused within the idle timeout.
func (p *Pool) release(c *connection, idleTimeout time.Duration) {
	c.idleUntil = p.options.Now().Add(idleTimeout)
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		p.discard(c)
		return
	}
	delete(p.inUse, c)
	c.endpoint.idle = append(c.endpoint.idle, c)
	p.scheduleReap()
	p.mutex.Unlock()
}

// discard closes a connection that was in use.
func (p *Pool) discard(c *connection) {
	c.socket.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, known := p.inUse[c]; known {
		delete(p.inUse, c)
		p.releaseSlot(c.endpoint)
	}
}

// Close closes every connection, those in use too.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, h := range p.endpoints {
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

// Connections returns how many connections to an endpoint are in use or being made, and how many are idle.
func (p *Pool) Connections(endpointID string) (inUse, idle int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.endpoints[endpointID]
	if h == nil {
		return 0, 0
	}
	return h.total - len(h.idle), len(h.idle)
}
