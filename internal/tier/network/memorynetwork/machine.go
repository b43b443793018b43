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
	thawed    *sync.Cond // signals that frozen is false or a process was killed
	listeners map[uint16]*listener
	packets   map[uint16]*packetSocket
	lastPort  uint16 // last ephemeral port
}

// Start returns a new process on the machine.
func (m *Machine) Start() *Process {
	return &Process{machine: m, ended: make(chan struct{}), endpoints: map[*endpoint]struct{}{}, sockets: map[interface{ kill() }]struct{}{}}
}

// Freeze suspends the machine: socket calls of its processes block until Thaw, while its kernel still receives. Timers of the
// processes cannot be stopped, but what they send waits until Thaw.
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

// PowerOff stops the machine and the given processes, which must be all of its processes, without sending a segment.
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

// PowerOn makes the machine reachable again. Its former connections are lost.
func (m *Machine) PowerOn() {
	n := m.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m.powered = true
	n.forEachEndpoint(func(e *endpoint) bool { return e.peer.process.machine == m }, func(e *endpoint) { e.startProbe() })
}

// Address returns the machine's IP address.
func (m *Machine) Address() string { return m.ip.String() }
