package memorynetwork

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Machine is a place with an address, on which processes run.
type Machine struct {
	network   *Network
	ip        netip.Addr
	powered   bool
	frozen    bool
	thawed    *sync.Cond
	listeners map[uint16]*listener
	packets   map[uint16]*packetSocket
	port      uint16 // that the next dialer is given
}

// Process opens sockets on its machine. It implements network.Network; all its sockets end with Kill.
type Process struct {
	machine *Machine
	dead    bool
	ended   chan struct{}
	ends    map[*end]struct{}
	sockets map[interface{ kill() }]struct{} // listeners and sockets for datagrams
}

// Start returns a new process of the machine.
func (m *Machine) Start() *Process {
	return &Process{machine: m, ended: make(chan struct{}), ends: map[*end]struct{}{}, sockets: map[interface{ kill() }]struct{}{}}
}

// Kill ends the process's sockets as the system does for one that has ended; all its calls fail from then on.
func (p *Process) Kill() {
	n := p.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p.kill((*end).close)
}

// kill ends the process. The caller holds the mutex.
func (p *Process) kill(endOne func(*end)) {
	if p.dead {
		return
	}
	p.dead = true
	close(p.ended)
	for e := range p.ends {
		endOne(e)
	}
	for socket := range p.sockets {
		socket.kill()
	}
	p.machine.thawed.Broadcast()
}

// awaitThaw waits until the machine isn't frozen; false means that the process has ended. The caller holds the mutex.
func (p *Process) awaitThaw() bool {
	for p.machine.frozen && !p.dead {
		p.machine.thawed.Wait()
	}
	return !p.dead
}

// AwaitThaw waits while the machine is frozen. It returns net.ErrClosed once the process has ended.
func (p *Process) AwaitThaw() error {
	p.machine.network.mutex.Lock()
	defer p.machine.network.mutex.Unlock()
	if !p.awaitThaw() {
		return net.ErrClosed
	}
	return nil
}

// Freeze stops the machine without ending anything: its processes get nothing from their sockets and give nothing to them
// until Thaw, while the kernel goes on taking what comes. Their timers can't be stopped: what they would send waits.
func (m *Machine) Freeze() {
	m.network.mutex.Lock()
	defer m.network.mutex.Unlock()
	m.frozen = true
}

// Thaw lets a frozen machine go on.
func (m *Machine) Thaw() {
	m.network.mutex.Lock()
	defer m.network.mutex.Unlock()
	m.frozen = false
	m.thawed.Broadcast()
	m.network.each(func(e *end) bool { return e.process.machine == m }, func(e *end) { e.changed.Broadcast() })
	for _, l := range m.listeners {
		l.changed.Broadcast()
	}
	for _, s := range m.packets {
		s.changed.Broadcast()
	}
}

// PowerOff ends all processes of the machine without a word to others.
func (m *Machine) PowerOff(processes ...*Process) {
	n := m.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, p := range processes {
		p.kill((*end).vanish)
	}
	m.powered, m.frozen = false, false
	n.each(func(e *end) bool { return e.peer.process.machine == m }, func(e *end) { e.noticeSilence() })
}

// PowerOn makes the machine reachable again.
func (m *Machine) PowerOn() {
	n := m.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m.powered = true
	n.each(func(e *end) bool { return e.peer.process.machine == m }, func(e *end) { e.probe() })
}

// Address returns the machine's address.
func (m *Machine) Address() string { return m.ip.String() }

// sleep waits for a time, the end of ctx or that of the process.
func (p *Process) sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.ended:
		return net.ErrClosed
	}
}
