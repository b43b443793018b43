// Package testcluster runs a fleet of real processes with a link between every two of them that loses, delays, doubles, garbles and
// cuts, stops and kills them, and keeps one history of what their clients, partners and operators saw. It is never linked
// into the daemon.
package testcluster

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are those of one direction of a link. Shares are of 1.
type Faults struct {
	Cut     bool          `toml:"cut,omitempty"`
	Loss    float64       `toml:"loss,omitempty"`
	Twice   float64       `toml:"twice,omitempty"`
	Garbled float64       `toml:"garbled,omitempty"`
	Delay   time.Duration `toml:"delay,omitempty"` // and up to twice that: datagrams overtake each other
}

// link stands between two relays: each sees one of its sockets as the other's address.
type link struct {
	ends  [2]*net.UDPConn
	to    [2]netip.AddrPort // the relays' own addresses
	ways  [2]atomic.Pointer[Faults]
	mu    sync.Mutex
	rng   *rand.Rand
	sent  [2]atomic.Int64
	bytes [2]atomic.Int64
}

func newLink(a, b netip.AddrPort, seed uint64) (*link, error) {
	l := &link{to: [2]netip.AddrPort{a, b}, rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range l.ends {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			l.close()
			return nil, err
		}
		l.ends[i] = conn
		l.ways[i].Store(&Faults{})
	}
	go l.carry(0)
	go l.carry(1)
	return l, nil
}

// address is where relay i of the two finds the other.
func (l *link) address(i int) string { return l.ends[i].LocalAddr().String() }

// carry passes on what relay i sends to the other.
func (l *link) carry(i int) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.ends[i].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != l.to[i] {
			continue // a port that nobody listens at, or a stranger
		}
		l.sent[i].Add(1)
		l.bytes[i].Add(int64(n))
		f := l.ways[i].Load()
		l.mu.Lock()
		lost, twice, garbled := l.rng.Float64() < f.Loss, l.rng.Float64() < f.Twice, l.rng.Float64() < f.Garbled
		waits := [2]time.Duration{}
		for k := range waits {
			if f.Delay > 0 {
				waits[k] = f.Delay + time.Duration(l.rng.Int64N(int64(f.Delay)+1))
			}
		}
		at := l.rng.IntN(n + 1)
		l.mu.Unlock()
		if f.Cut || lost || n == 0 {
			continue
		}
		if garbled {
			buf[min(at, n-1)] ^= 0x5a
		}
		copies := 1
		if twice {
			copies = 2
		}
		for k := range copies {
			if waits[k] == 0 {
				l.pass(i, buf[:n])
				continue
			}
			b := append([]byte{}, buf[:n]...)
			time.AfterFunc(waits[k], func() { l.pass(i, b) })
		}
	}
}

func (l *link) pass(i int, b []byte) { _, _ = l.ends[1-i].WriteToUDPAddrPort(b, l.to[1-i]) }

func (l *link) close() {
	for _, c := range l.ends {
		if c != nil {
			_ = c.Close()
		}
	}
}
