package transport

import (
	"math/rand/v2"
	"sync"
	"time"
)

// peer is the state of one address: its connection, and the backoff after failures.
type peer struct {
	pool    *Pool
	address string

	mutex      sync.Mutex // guards the fields below
	connection *clientConnection
	failures   int       // consecutive connections that failed before they were useful
	retryAt    time.Time // end of the backoff
	closed     bool
}

// currentConnection returns the connection, or dials a new one if there is none. It fails with ErrBackoff during the backoff.
func (p *peer) currentConnection() (*clientConnection, error) {
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
	p.pool.running.Go(p.connection.run)
	return p.connection, nil
}

// connectionLost records the end of a connection. A connection that was not useful starts or doubles the backoff.
func (p *peer) connectionLost(connection *clientConnection, useful bool) {
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

// close breaks the connection. Afterwards currentConnection fails with ErrClosed.
func (p *peer) close() {
	p.mutex.Lock()
	p.closed = true
	connection := p.connection
	p.mutex.Unlock()
	if connection != nil {
		connection.fail(ErrClosed)
	}
}

// backoff returns the delay before the next dial. It doubles with each failure from minBackoff to maxBackoff; jitter, from 0 to 1,
// subtracts up to half.
func backoff(failures int, jitter float64) time.Duration {
	delay := maxBackoff
	if shift := failures - 1; shift < 8 {
		delay = min(delay, minBackoff<<shift)
	}
	return delay - time.Duration(jitter*float64(delay)/2)
}
