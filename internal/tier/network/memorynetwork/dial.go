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

// firstAttempt is the pause after an attempt to open a connection that got no answer; it doubles.
const firstAttempt = time.Second

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

// open tries until an attempt is answered.
func (p *Process) open(ctx context.Context, target netip.AddrPort) (*end, error) {
	for pause := firstAttempt; ; pause *= 2 {
		if err := p.AwaitThaw(); err != nil {
			return nil, err
		}
		there := p.machine.network.Machine(target.Addr().String())
		answer, answered := p.roundTrip(there)
		if !answered {
			if err := p.sleep(ctx, pause); err != nil {
				return nil, err
			}
			continue
		}
		if err := p.sleep(ctx, answer); err != nil {
			return nil, err
		}
		opened, err := p.connect(there, target.Port())
		if opened != nil || err != nil {
			return opened, err
		}
		if err := p.sleep(ctx, pause); err != nil {
			return nil, err
		}
	}
}

// roundTrip returns the time until an answer comes; false means that none does.
func (p *Process) roundTrip(there *Machine) (time.Duration, bool) {
	n := p.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.carries(p.machine, there) || !n.carries(there, p.machine) {
		return 0, false
	}
	return n.delay(p.machine, there) + n.delay(there, p.machine), true
}

// connect joins the process with who listens there; neither an end nor an error means that the attempt was lost.
func (p *Process) connect(there *Machine, port uint16) (*end, error) {
	n := p.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	listening := there.listeners[port]
	switch {
	case p.dead:
		return nil, net.ErrClosed
	case !n.carries(p.machine, there) || !n.carries(there, p.machine):
		return nil, nil
	case listening == nil || n.link(p.machine.ip, there.ip).refuse:
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	case len(listening.backlog) >= mostBacklog:
		return nil, nil
	}
	local := &net.TCPAddr{IP: p.machine.ip.AsSlice(), Port: int(p.machine.nextPort())}
	near, far := newPair(p, listening.process, local, listening.address)
	listening.backlog = append(listening.backlog, far)
	listening.changed.Broadcast()
	return near, nil
}

// nextPort returns a port for a dialer. The caller holds the mutex.
func (m *Machine) nextPort() uint16 {
	m.port++
	if m.port < firstPort {
		m.port = firstPort
	}
	return m.port
}

// parse reads an address to listen at; a port that is 0 is chosen.
func (m *Machine) parse(address string) (*net.TCPAddr, error) {
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
		if chosen := m.nextPort(); m.listeners[chosen] == nil && m.packets[chosen] == nil {
			port = uint64(chosen)
		}
	}
	return &net.TCPAddr{IP: m.ip.AsSlice(), Port: int(port)}, nil
}
