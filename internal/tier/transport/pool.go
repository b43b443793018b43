package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/network"
)

// Pool makes calls, sends notices and opens streams. It has one connection per address, dialled at first use; each stream has its own
// connection.
type Pool struct {
	limits   limits
	network  network.Network
	meter    Meter
	memory   *memorybudget.Budget
	lastID   atomic.Uint64   // number of the last call or stream
	lifetime context.Context // cancelled by Close
	end      context.CancelFunc
	running  sync.WaitGroup // readers and writers of all connections

	mutex  sync.Mutex // guards the fields below
	peers  map[string]*peer
	closed bool
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return newPool(defaultLimits())
}

// NewPoolOn is like NewPool but uses the given network instead of the system's.
func NewPoolOn(on network.Network) *Pool {
	pool := NewPool()
	pool.network = on
	return pool
}

// SetMeter sets the meter that counts what is sent on connections. It must be called before the first call.
func (p *Pool) SetMeter(meter Meter) { p.meter = meter }

// SetMemory sets the budget of long answers. It must be called before the first call.
func (p *Pool) SetMemory(memory *memorybudget.Budget) { p.memory = memory }

// newReader returns a reader of the lines of a socket, which takes the memory of long ones from the pool's budget until release is called.
func (p *Pool) newReader(socket net.Conn) (reader *lineReader, release func(), err error) {
	lease, err := p.memory.TryReserve(memorybudget.Lines, 0)
	if err != nil {
		return nil, nil, err
	}
	reader = newLineReader(socket, p.limits.lineBytes)
	reader.reserveFrom(lease, func() { socket.Close() })
	return reader, lease.Release, nil
}

// newPool is like NewPool but uses the given limits.
func newPool(bounds limits) *Pool {
	pool := &Pool{limits: bounds, network: network.System{}, peers: map[string]*peer{}}
	pool.lifetime, pool.end = context.WithCancel(context.Background())
	return pool
}

// Close closes all connections; pending calls and streams fail with ErrClosed. It waits for the goroutines that read and write the
// connections, which end as their sockets are closed, and must not be called by one of them.
func (p *Pool) Close() {
	p.end()
	p.mutex.Lock()
	p.closed = true
	peers := p.peers
	p.peers = map[string]*peer{}
	p.mutex.Unlock()
	for _, peer := range peers {
		peer.close()
	}
	p.running.Wait()
}

// Forget closes the connection to an address that is no longer needed, and discards its backoff.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	known := p.peers[address]
	delete(p.peers, address)
	p.mutex.Unlock()
	if known != nil {
		known.close()
	}
}

// peer returns the state of an address, creating it if necessary.
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

// connection returns the connection to an address, which may still be being dialled.
func (p *Pool) connection(address string) (*clientConnection, error) {
	peer, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	return peer.currentConnection()
}
