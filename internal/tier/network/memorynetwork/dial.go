package memorynetwork

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"time"
)

// initialConnectTimeout is the time until an unanswered SYN is retransmitted; it doubles with each attempt.
const initialConnectTimeout = time.Second

// Dial implements network.Network.
func (p *Process) Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	if dialer.Timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, dialer.Timeout)
		defer cancel()
		ctx = bounded
	}
	opened, err := p.open(ctx, target)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = os.ErrDeadlineExceeded
		}
		return nil, &net.OpError{Op: "dial", Net: network, Addr: net.TCPAddrFromAddrPort(target), Err: err}
	}
	opened.network.mutex.Lock()
	defer opened.network.mutex.Unlock()
	opened.setKeepAlive(dialer.KeepAliveConfig)
	return opened, nil
}

// open sends a SYN, and again after a timeout, until one is answered.
func (p *Process) open(ctx context.Context, target netip.AddrPort) (*endpoint, error) {
	for timeout := initialConnectTimeout; ; timeout *= 2 {
		if err := p.AwaitThaw(); err != nil {
			return nil, err
		}
		there := p.machine.network.Machine(target.Addr().String())
		delay, answered := p.roundTrip(there)
		if !answered {
			if err := p.sleep(ctx, timeout); err != nil {
				return nil, err
			}
			continue
		}
		if err := p.sleep(ctx, delay); err != nil {
			return nil, err
		}
		opened, err := p.connect(there, target.Port())
		if opened != nil || err != nil {
			return opened, err
		}
		if err := p.sleep(ctx, timeout); err != nil {
			return nil, err
		}
	}
}

// roundTrip returns the randomized time until a SYN is answered, or false if the SYN or the answer is lost.
func (p *Process) roundTrip(there *Machine) (time.Duration, bool) {
	n := p.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.reachable(p.machine, there) || !n.reachable(there, p.machine) {
		return 0, false
	}
	return n.delay(p.machine, there) + n.delay(there, p.machine), true
}

// connect connects the process to the listener of a port. It returns neither an endpoint nor an error if the SYN is lost.
func (p *Process) connect(there *Machine, port uint16) (*endpoint, error) {
	n := p.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	listening := there.listeners[port]
	switch {
	case p.killed:
		return nil, net.ErrClosed
	case !n.reachable(p.machine, there) || !n.reachable(there, p.machine):
		return nil, nil
	case listening == nil || n.link(p.machine.ip, there.ip).refuse:
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	case len(listening.backlog) >= maxBacklog:
		return nil, nil
	}
	local := &net.TCPAddr{IP: p.machine.ip.AsSlice(), Port: int(p.machine.ephemeralPort())}
	near, far := newPair(p, listening.process, local, listening.address)
	listening.backlog = append(listening.backlog, far)
	listening.changed.Broadcast()
	return near, nil
}

// ephemeralPort returns the next ephemeral port. The caller holds the mutex.
func (m *Machine) ephemeralPort() uint16 {
	m.lastPort++
	if m.lastPort < firstEphemeralPort {
		m.lastPort = firstEphemeralPort
	}
	return m.lastPort
}

// parseListenAddress parses an address to listen at. For port 0 it chooses a free port.
func (m *Machine) parseListenAddress(address string) (*net.TCPAddr, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	if ip, err := netip.ParseAddr(host); host != "" && (err != nil || ip != m.ip && !ip.IsUnspecified()) {
		return nil, os.NewSyscallError("bind", syscall.EADDRNOTAVAIL)
	}
	m.network.mutex.Lock()
	defer m.network.mutex.Unlock()
	for port == 0 {
		if chosen := m.ephemeralPort(); m.listeners[chosen] == nil && m.packets[chosen] == nil {
			port = uint64(chosen)
		}
	}
	return &net.TCPAddr{IP: m.ip.AsSlice(), Port: int(port)}, nil
}
