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

// LinkFaults are the faults of a direction of a link. Loss, Twice and Garbled are probabilities. Histories contain the names of the fields.
type LinkFaults struct {
	Cut     bool          `toml:"cut,omitempty"`
	Loss    float64       `toml:"loss,omitempty"`
	Twice   float64       `toml:"twice,omitempty"`
	Garbled float64       `toml:"garbled,omitempty"`
	Delay   time.Duration `toml:"delay,omitempty"` // one to two times this, so that datagrams overtake each other
}

// link is a UDP proxy between two relays. Each relay sends to one of its sockets instead of to the other relay. It owns two goroutines,
// which close ends.
type link struct {
	sockets   [2]*net.UDPConn
	addresses [2]netip.AddrPort             // of the relays
	faults    [2]atomic.Pointer[LinkFaults] // of the datagrams from relay 0 and from relay 1; sent and bytes have the same index
	mu        sync.Mutex                    // guards rng
	rng       *rand.Rand
	sent      [2]atomic.Int64 // number of datagrams, lost ones included
	bytes     [2]atomic.Int64
}

// newLink opens a link between the relays at two addresses. The caller must close it.
func newLink(a, b netip.AddrPort, seed uint64) (*link, error) {
	l := &link{addresses: [2]netip.AddrPort{a, b}, rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range l.sockets {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			l.close()
			return nil, err
		}
		l.sockets[i] = conn
		l.faults[i].Store(&LinkFaults{})
	}
	go l.forward(0)
	go l.forward(1)
	return l, nil
}

// address returns the address to which relay i sends datagrams for the other.
func (l *link) address(i int) string { return l.sockets[i].LocalAddr().String() }

// forward forwards datagrams from relay i to the other, subject to the faults of that direction, until the link is closed.
func (l *link) forward(i int) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := l.sockets[i].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != l.addresses[i] {
			continue // the other relay's port is closed, or the sender is unknown
		}
		l.sent[i].Add(1)
		l.bytes[i].Add(int64(size))
		faults := l.faults[i].Load()
		l.mu.Lock()
		lost, twice, garbled := l.rng.Float64() < faults.Loss, l.rng.Float64() < faults.Twice, l.rng.Float64() < faults.Garbled
		delays := [2]time.Duration{}
		for k := range delays {
			if faults.Delay > 0 {
				delays[k] = faults.Delay + time.Duration(l.rng.Int64N(int64(faults.Delay)+1))
			}
		}
		damaged := l.rng.IntN(size + 1)
		l.mu.Unlock()
		if faults.Cut || lost || size == 0 {
			continue
		}
		if garbled {
			buf[min(damaged, size-1)] ^= 0x5a
		}
		copies := 1
		if twice {
			copies = 2
		}
		for k := range copies {
			if delays[k] == 0 {
				l.deliver(i, buf[:size])
				continue
			}
			datagram := append([]byte{}, buf[:size]...)
			time.AfterFunc(delays[k], func() { l.deliver(i, datagram) })
		}
	}
}

// deliver sends a datagram from relay i to the other.
func (l *link) deliver(i int, b []byte) {
	_, _ = l.sockets[1-i].WriteToUDPAddrPort(b, l.addresses[1-i])
}

// setFaults sets the faults of both directions.
func (l *link) setFaults(faults *LinkFaults) {
	l.faults[0].Store(faults)
	l.faults[1].Store(faults)
}

// close closes both sockets, which ends the goroutines of forward.
func (l *link) close() {
	for _, c := range l.sockets {
		if c != nil {
			_ = c.Close()
		}
	}
}
