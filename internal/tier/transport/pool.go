package transport

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/tier/network"
)

// Pool keeps one connection for each address, dialled when it is first needed.
type Pool struct {
	limits   limits
	network  network.Network
	meter    Meter
	lastID   atomic.Uint64
	lifetime context.Context // ends with Close
	end      context.CancelFunc

	mutex  sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewPool gives a pool without connections.
func NewPool() *Pool {
	return newPool(defaultLimits())
}

// NewPoolOn is NewPool for a network in place of the system's.
func NewPoolOn(on network.Network) *Pool {
	pool := NewPool()
	pool.network = on
	return pool
}

// Measure has a meter count what goes out on connections that are made from here on; to be called before the first one.
func (p *Pool) Measure(meter Meter) { p.meter = meter }

func newPool(bounds limits) *Pool {
	pool := &Pool{limits: bounds, network: network.System{}, peers: map[string]*peer{}}
	pool.lifetime, pool.end = context.WithCancel(context.Background())
	return pool
}

// Close breaks all connections; calls and streams under way fail.
func (p *Pool) Close() {
	p.end()
	p.mutex.Lock()
	p.closed = true
	peers := p.peers
	p.peers = map[string]*peer{}
	p.mutex.Unlock()
	for _, gone := range peers {
		gone.close()
	}
}

// Forget breaks the connection to an address that is no longer needed.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	gone := p.peers[address]
	delete(p.peers, address)
	p.mutex.Unlock()
	if gone != nil {
		gone.close()
	}
}

func (p *Pool) peer(address string) (*peer, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	known := p.peers[address]
	if known == nil {
		known = &peer{pool: p, address: address}
		p.peers[address] = known
	}
	return known, nil
}

// connection gives the connection to an address; it may still be dialling.
func (p *Pool) connection(address string) (*clientConnection, error) {
	peer, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	return peer.current()
}

// Call sends a request and waits for its answer. Its error is a *RemoteError from the handler, or a *CallError.
func Call[Request, Answer any](ctx context.Context, pool *Pool, address, method string, request Request) (Answer, error) {
	answer := new(Answer)
	err := pool.call(ctx, address, method, request, answer)
	if err != nil {
		var none Answer // answer itself may still be written to
		return none, err
	}
	return *answer, nil
}

func (p *Pool) call(ctx context.Context, address, method string, request, answer any) error {
	mustBeValid(method)
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultCallTimeout)
		defer cancel()
	}
	id := p.lastID.Add(1)
	encoded, err := encodeLine(callLine, id, method, request, p.limits.lineBytes)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
	pending := &pendingCall{id: id, method: method, answer: answer, frame: frame{line: encoded, kind: method}, done: make(chan error, 1)}
	connection, err := p.submit(address, pending)
	if err != nil {
		releaseLine(encoded)
		return &CallError{Address: address, Method: method, Cause: err}
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return connection.abandon(pending, ctx.Err())
	}
}

// submit queues a call. A connection that broke in between is replaced once.
func (p *Pool) submit(address string, pending *pendingCall) (*clientConnection, error) {
	for try := 0; ; try++ {
		connection, err := p.connection(address)
		if err != nil {
			return nil, err
		}
		err = connection.submit(pending)
		if err == nil || err != ErrClosed || try > 0 {
			return connection, err
		}
	}
}

// Notify queues a message that is not answered, and never waits. It may be lost: when the peer can't be reached, when the
// connection breaks, and when the peer does not read, the oldest first. An error means that it was not queued.
func Notify[Notice any](pool *Pool, address, method string, notice Notice) error {
	mustBeValid(method)
	connection, err := pool.connection(address)
	if err != nil {
		return err
	}
	encoded, err := encodeLine(noticeLine, 0, method, notice, pool.limits.lineBytes)
	if err != nil {
		return err
	}
	connection.out.pushNotice(&frame{line: encoded, kind: method})
	return nil
}

// peer is the state of one address: its connection, and the pause after failed dials.
type peer struct {
	pool    *Pool
	address string

	mutex      sync.Mutex
	connection *clientConnection
	failures   int
	retryAt    time.Time
	closed     bool
}

func (p *peer) current() (*clientConnection, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.connection != nil {
		return p.connection, nil
	}
	if p.failures > 0 && time.Now().Before(p.retryAt) {
		return nil, ErrBackoff
	}
	p.connection = newClientConnection(p)
	go p.connection.run()
	return p.connection, nil
}

// lost notes the end of a connection. One that never was of use makes the next dial wait.
func (p *peer) lost(connection *clientConnection, useful bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != connection {
		return
	}
	p.connection = nil
	if useful {
		p.failures = 0
		return
	}
	p.failures++
	p.retryAt = time.Now().Add(backoff(p.failures, rand.Float64()))
}

func (p *peer) close() {
	p.mutex.Lock()
	p.closed = true
	connection := p.connection
	p.mutex.Unlock()
	if connection != nil {
		connection.fail(ErrClosed)
	}
}

// backoff doubles with each failure up to its bound; the share, from 0 to 1, takes away up to half.
func backoff(failures int, share float64) time.Duration {
	pause := maximumBackoff
	if shift := failures - 1; shift < 8 {
		pause = min(pause, minimumBackoff<<shift)
	}
	return pause - time.Duration(share*float64(pause)/2)
}
