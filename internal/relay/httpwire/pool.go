package httpwire

import (
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"mastusher/internal/relay/config"
)

// Peer is a machine to call. One that takes over another's address is not the same, and must not be called on
// the connections of the other.
type Peer struct{ Name, Address string }

// Pool makes calls and keeps connections for the next ones. It never sends a request twice.
type Pool struct {
	limits *config.Limits
	mu     sync.Mutex // guards all that follows
	// idle holds the connections that stand idle, the one used last at the end.
	idle  map[Peer][]*clientConn
	count int // of idle connections, to all peers
	// Some machines drop idle connections without a word, so that a request on one is lost, and may have run.
	// What stood idle for longer than idleTrust is not used; it shrinks with each loss and doubles in IdleTrustDoubling.
	// 0: none has been lost.
	idleTrust   time.Duration
	idleTrustAt time.Time
}

// clientConn is one connection to a peer.
type clientConn struct {
	net.Conn
	reader    *Reader
	limits    *config.Limits
	idleSince time.Time
}

// NewPool returns an empty pool.
func NewPool(limits *config.Limits) *Pool {
	return &Pool{limits: limits, idle: map[Peer][]*clientConn{}}
}

// trustedIdle is how long a connection may have stood idle to be used.
func (p *Pool) trustedIdle(now time.Time) time.Duration {
	if p.idleTrust == 0 {
		return p.limits.IdleSocket
	}
	grown := float64(p.idleTrust) * math.Exp2(float64(now.Sub(p.idleTrustAt))/float64(p.limits.IdleTrustDoubling))
	return time.Duration(min(grown, float64(p.limits.IdleSocket)))
}

// reduceTrust notes that a call on a connection that had been idle for so long was lost.
func (p *Pool) reduceTrust(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.idleTrust, p.idleTrustAt = max(min(p.trustedIdle(now), idle*3/4), p.limits.IdleTrustMin), now
}

// take returns an idle connection that is still good, or nil. Those that stood too long, or that the other
// side has closed or written to, are closed here: a request on one of them would be lost.
func (p *Pool) take(to Peer) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[to]; len(list) > 0; {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[to] = list
		p.count--
		if time.Since(c.idleSince) < p.trustedIdle(time.Now()) && isQuiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// keep puts a connection aside for a later call, or closes it where enough are.
func (p *Pool) keep(to Peer, c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[to]) >= p.limits.IdlePerEndpoint || p.count >= p.limits.IdleEndpoints {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle[to] = append(p.idle[to], c)
	p.count++
}

// CloseIdle closes the idle connections to a peer, or those to all that have stood too long if it is the zero one.
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
