package memorynetwork

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mastusher/internal/tier/network"
)

// maxQueuedDatagrams bounds the unread datagrams of a socket; further ones are lost.
const maxQueuedDatagrams = 256

// datagram is a datagram in transit or in the queue of its receiver.
type datagram struct {
	from    netip.AddrPort
	payload []byte
}

// packetSocket is a datagram socket of a process.
type packetSocket struct {
	process *Process
	local   netip.AddrPort
	changed *sync.Cond
	queue   []datagram
	closed  bool
}

// ListenPacket implements network.Network.
func (p *Process) ListenPacket(address *net.UDPAddr) (network.PacketConn, error) {
	at, err := p.machine.parseListenAddress(net.JoinHostPort(address.IP.String(), strconv.Itoa(address.Port)))
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: err}
	}
	n := p.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	port := uint16(at.Port)
	if p.killed {
		return nil, &net.OpError{Op: "listen", Net: "udp", Addr: at, Err: net.ErrClosed}
	}
	if p.machine.packets[port] != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Addr: at, Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	opened := &packetSocket{process: p, local: netip.AddrPortFrom(p.machine.ip, port), changed: sync.NewCond(&n.mutex)}
	p.machine.packets[port] = opened
	p.sockets[opened] = struct{}{}
	return opened, nil
}

// ReadFromUDPAddrPort implements network.PacketConn.
func (s *packetSocket) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	n := s.process.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for {
		switch {
		case s.closed:
			return 0, netip.AddrPort{}, &net.OpError{Op: "read", Net: "udp", Err: net.ErrClosed}
		case s.process.machine.frozen:
		case len(s.queue) > 0:
			first := s.queue[0]
			s.queue = s.queue[1:]
			return copy(buffer, first.payload), first.from, nil
		}
		s.changed.Wait()
	}
}

// WriteToUDPAddrPort implements network.PacketConn.
func (s *packetSocket) WriteToUDPAddrPort(payload []byte, to netip.AddrPort) (int, error) {
	there := s.process.machine.network.Machine(to.Addr().Unmap().String())
	n := s.process.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !s.process.awaitThaw() || s.closed {
		return 0, &net.OpError{Op: "write", Net: "udp", Err: net.ErrClosed}
	}
	if !n.reachable(s.process.machine, there) || n.random.Float64() < n.options.Loss {
		return len(payload), nil
	}
	sent := datagram{from: s.local, payload: append([]byte(nil), payload...)}
	time.AfterFunc(n.delay(s.process.machine, there), func() { there.deliver(to.Port(), sent) })
	return len(payload), nil
}

// deliver queues a datagram at the socket of a port, or drops it if there is none.
func (m *Machine) deliver(port uint16, received datagram) {
	m.network.mutex.Lock()
	defer m.network.mutex.Unlock()
	socket := m.packets[port]
	if !m.powered || socket == nil || len(socket.queue) >= maxQueuedDatagrams {
		return
	}
	socket.queue = append(socket.queue, received)
	socket.changed.Broadcast()
}

// Close implements network.PacketConn.
func (s *packetSocket) Close() error {
	s.process.machine.network.mutex.Lock()
	defer s.process.machine.network.mutex.Unlock()
	if s.closed {
		return &net.OpError{Op: "close", Net: "udp", Err: net.ErrClosed}
	}
	s.kill()
	return nil
}

// kill closes the socket. The caller holds the mutex.
func (s *packetSocket) kill() {
	s.closed = true
	delete(s.process.machine.packets, s.local.Port())
	delete(s.process.sockets, s)
	s.queue = nil
	s.changed.Broadcast()
}
