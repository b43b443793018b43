package upstream

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Endpoint is the destination of a request.
type Endpoint struct {
	ID             string // connections are pooled by it
	Address        string // host:port
	MaxConnections int    // largest number of connections from this process; 0: unlimited
	Permit         Permit // nil: the request is always permitted
}

// Permit is checked once there is a connection, right before the request is written: the endpoint may have been taken out of use
// while the connection was being established.
type Permit interface {
	// Granted reports whether the request may still be sent to the endpoint.
	Granted() bool
}

// endpointConns holds the connections to one endpoint.
type endpointConns struct {
	id    string
	idle  []*connection // in order of release, the latest last
	total int           // idle, in use and being established: at most the endpoint's MaxConnections
}

// Pool pools the connections to endpoints. It is safe for concurrent use.
type Pool struct {
	options Options
	dial    dialFunc

	mutex         sync.Mutex
	endpoints     map[string]*endpointConns
	inUse         map[*connection]struct{}
	idle          int // connections of all endpoints
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

// acquire returns an idle connection to the endpoint on which the request may be sent, or a new one.
func (p *Pool) acquire(ctx context.Context, endpoint Endpoint, request *Request) (*connection, *Error) {
	for {
		idle, reserved, failure := p.takeIdleOrReserve(endpoint, request)
		if failure != nil {
			return nil, failure
		}
		if reserved != nil {
			return p.connect(ctx, endpoint, reserved)
		}
		if request.mayUse(idle) && idle.reusable(p.options.Now()) {
			return idle, nil
		}
		p.discard(idle)
	}
}

// takeIdleOrReserve takes, of the idle connections on which the request may be sent, the one that was released last. If there is none,
// it reserves a slot for a new one. If the endpoint has no free slot, it takes an idle connection on which the request may not be sent,
// so that the caller can discard it to free one.
func (p *Pool) takeIdleOrReserve(endpoint Endpoint, request *Request) (idle *connection, reserved *endpointConns, failure *Error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, &Error{Kind: NeverSent, Reason: PoolClosed}
	}
	conns := p.endpoints[endpoint.ID]
	if conns == nil {
		conns = &endpointConns{id: endpoint.ID}
		p.endpoints[endpoint.ID] = conns
	}
	full := endpoint.MaxConnections > 0 && conns.total >= endpoint.MaxConnections
	position := conns.lastIdleFor(request)
	if position < 0 && full {
		position = len(conns.idle) - 1
	}
	if position >= 0 {
		idle = conns.idle[position]
		conns.idle = slices.Delete(conns.idle, position, position+1)
		p.idle--
		p.inUse[idle] = struct{}{}
		return idle, nil, nil
	}
	if full {
		return nil, nil, &Error{Kind: NeverSent, Reason: PoolExhausted}
	}
	conns.total++
	return nil, conns, nil
}

// lastIdleFor returns the position of the idle connection that was released last among those on which the request may be sent; -1: there
// is none.
func (e *endpointConns) lastIdleFor(request *Request) int {
	for position := len(e.idle) - 1; position >= 0; position-- {
		if request.mayUse(e.idle[position]) {
			return position
		}
	}
	return -1
}

// connect establishes a new connection in a reserved slot. If that fails, it releases the slot.
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

// releaseSlot frees one slot of an endpoint, and removes the endpoint from the pool if it was the last one in use. The caller holds
// the mutex.
func (p *Pool) releaseSlot(e *endpointConns) {
	e.total--
	if e.total == 0 && p.endpoints[e.id] == e {
		delete(p.endpoints, e.id)
	}
}

// release puts a connection back into the pool after a complete response, to be reused within the idle timeout. If there are MaxIdle others,
// the one that has been idle for the longest time is closed.
func (p *Pool) release(c *connection, idleTimeout time.Duration) {
	now := p.options.Now()
	c.idleSince, c.probedAt, c.idleUntil = now, now, now.Add(idleTimeout)
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		p.discard(c)
		return
	}
	var evicted *connection
	if p.options.MaxIdle > 0 && p.idle >= p.options.MaxIdle {
		evicted = p.removeOldestIdle()
	}
	delete(p.inUse, c)
	c.endpoint.idle = append(c.endpoint.idle, c)
	p.idle++
	p.scheduleReap()
	p.mutex.Unlock()
	if evicted != nil {
		evicted.socket.Close()
	}
}

// removeOldestIdle removes the connection that has been idle for the longest time and frees its slot. There must be an idle connection. The
// caller holds the mutex.
func (p *Pool) removeOldestIdle() *connection {
	var oldest *connection
	for _, conns := range p.endpoints {
		if len(conns.idle) > 0 && (oldest == nil || conns.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = conns.idle[0]
		}
	}
	conns := oldest.endpoint
	conns.idle = slices.Delete(conns.idle, 0, 1)
	p.idle--
	p.releaseSlot(conns)
	return oldest
}

// discard closes a connection that was in use and frees its slot.
func (p *Pool) discard(c *connection) {
	c.socket.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, known := p.inUse[c]; known {
		delete(p.inUse, c)
		p.releaseSlot(c.endpoint)
	}
}

// Close closes all connections, including those in use. Later requests fail with PoolClosed.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, conns := range p.endpoints {
		for _, c := range conns.idle {
			c.socket.Close()
		}
		conns.total -= len(conns.idle)
		p.idle -= len(conns.idle)
		conns.idle = nil
	}
	for c := range p.inUse {
		c.socket.Close()
	}
	if p.reaper != nil {
		p.reaper.Stop()
	}
}

// Connections returns how many connections to an endpoint are in use or being established, and how many are idle.
func (p *Pool) Connections(endpointID string) (inUse, idle int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := p.endpoints[endpointID]
	if conns == nil {
		return 0, 0
	}
	return conns.total - len(conns.idle), len(conns.idle)
}
