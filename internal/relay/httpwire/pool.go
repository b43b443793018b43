package httpwire

import (
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"mastusher/internal/relay/config"
)

// Peer is a machine to call: its unique name, and its host and port. A machine that takes over another's address is a different peer, and
// is not called on the other's connections.
type Peer struct{ Name, Address string }

// Pool makes calls and reuses connections for later ones. It never sends a request twice.
type Pool struct {
	limits *config.Limits
	mu     sync.Mutex // guards the fields below
	// idle has the idle connections to each peer, the most recently used one last.
	idle  map[Peer][]*clientConn
	count int // number of idle connections to all peers
	// Some machines drop idle connections silently: a request on such a connection is lost, but counts as one that may have run.
	// Connections that have been idle for longer than idleTrust are therefore not used. It shrinks with each loss and doubles every
	// IdleTrustDoubling; 0 means that no connection has been lost.
	idleTrust   time.Duration
	idleTrustAt time.Time // when idleTrust was set
}

// clientConn is one connection to a peer, owned by the pool while it is idle and otherwise by one call.
type clientConn struct {
	net.Conn
	reader    *Reader
	limits    *config.Limits
	idleSince time.Time // set by keep
}

// NewPool returns an empty pool.
func NewPool(limits *config.Limits) *Pool {
	return &Pool{limits: limits, idle: map[Peer][]*clientConn{}}
}

// trustedIdle returns how long a connection may have been idle and still be used.
func (p *Pool) trustedIdle(now time.Time) time.Duration {
	if p.idleTrust == 0 {
		return p.limits.IdleSocket
	}
	grown := float64(p.idleTrust) * math.Exp2(float64(now.Sub(p.idleTrustAt))/float64(p.limits.IdleTrustDoubling))
	return time.Duration(min(grown, float64(p.limits.IdleSocket)))
}

// reduceTrust reduces idleTrust after a call was lost on a connection that had been idle for the given time.
func (p *Pool) reduceTrust(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.idleTrust, p.idleTrustAt = max(min(p.trustedIdle(now), idle*3/4), p.limits.IdleTrustMin), now
}

// take removes and returns a usable idle connection, or nil. It closes those that have been idle for too long, or that the peer has closed
// or written to: a request on them would be lost.
func (p *Pool) take(peer Peer) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[peer]; len(list) > 0; {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[peer] = list
		p.count--
		if time.Since(c.idleSince) < p.trustedIdle(time.Now()) && isOpenWithoutData(c.Conn) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// keep stores a connection for later calls, or closes it if there are enough idle ones.
func (p *Pool) keep(peer Peer, c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[peer]) >= p.limits.IdlePerEndpoint || p.count >= p.limits.IdleEndpoints {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle[peer] = append(p.idle[peer], c)
	p.count++
}

// CloseIdle closes the idle connections to a peer; with the zero Peer, those to any peer that have been idle for IdleSocket.
func (p *Pool) CloseIdle(to Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *clientConn) bool {
			if peer != to && (to != Peer{} || time.Since(c.idleSince) < p.limits.IdleSocket) {
				return false
			}
			_ = c.Close()
			p.count--
			return true
		})
		if p.idle[peer] = list; len(list) == 0 {
			delete(p.idle, peer)
		}
	}
}
