package memorynetwork

import (
	"net/netip"
	"sync"
)

// Machine is a host with an address, on which processes run.
type Machine struct {
	network   *Network
	ip        netip.Addr
	powered   bool
	frozen    bool
	thawed    *sync.Cond // signals the end of frozen
	listeners map[uint16]*listener
	packets   map[uint16]*packetSocket
	lastPort  uint16 // of the last dialer
}

// Start returns a new process of the machine.
func (m *Machine) Start() *Process {
	return &Process{machine: m, ended: make(chan struct{}), endpoints: map[*endpoint]struct{}{}, sockets: map[interface{ kill() }]struct{}{}}
}

// Freeze suspends the machine: the calls of its processes on sockets block until Thaw, while its kernel still receives. The
// timers of the processes can't be stopped; what they send waits.
func (m *Machine) Freeze() {
	m.network.mutex.Lock()
	defer m.network.mutex.Unlock()
	m.frozen = true
}

// Thaw resumes a frozen machine.
func (m *Machine) Thaw() {
	m.network.mutex.Lock()
	defer m.network.mutex.Unlock()
	m.frozen = false
	m.thawed.Broadcast()
	m.network.forEachEndpoint(func(e *endpoint) bool { return e.process.machine == m }, func(e *endpoint) { e.changed.Broadcast() })
	for _, l := range m.listeners {
		l.changed.Broadcast()
	}
	for _, s := range m.packets {
		s.changed.Broadcast()
	}
}

// PowerOff ends the machine and the processes given, which must be all of it, without a segment to the others.
func (m *Machine) PowerOff(processes ...*Process) {
	n := m.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, p := range processes {
		p.kill((*endpoint).discard)
	}
	m.powered, m.frozen = false, false
	n.forEachEndpoint(func(e *endpoint) bool { return e.peer.process.machine == m }, func(e *endpoint) { e.startKeepAliveTimer() })
}

// PowerOn makes the machine reachable again, without its connections.
func (m *Machine) PowerOn() {
	n := m.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m.powered = true
	n.forEachEndpoint(func(e *endpoint) bool { return e.peer.process.machine == m }, func(e *endpoint) { e.startProbe() })
}

// Address returns the machine's address.
func (m *Machine) Address() string { return m.ip.String() }
