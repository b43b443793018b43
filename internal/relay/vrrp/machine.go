package vrrp

import (
	"net/netip"
	"time"
)

// State is the state of a virtual router at this machine.
type State uint8

// The states of RFC 9568, section 6.4.
const (
	Initialize State = iota
	Backup
	Active
)

// String returns the state's name in lower case, as in logs.
func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// Router holds this machine's settings for a virtual router.
type Router struct {
	VRID      uint8         // of the virtual router
	Priority  uint8         // 1 to 255; 255: this machine owns the addresses
	Advertise time.Duration // advertisement interval; a shorter one detects a dead router earlier but sends more packets
	Preempt   bool          // take over from an active router of lower priority
	Address   netip.Addr    // this machine's address; between equal priorities the higher address wins
	Virtual   []netip.Addr  // the addresses of the virtual router
}

// Machine is the state machine. It reads no clock: callers pass the time, and send the advertisements that a method returns. It is not safe
// for concurrent use.
type Machine struct {
	router              Router
	state               State
	activeAdverInterval time.Duration // Active_Adver_Interval: the interval that the active router advertises
	activeDownTimer     time.Time     // Active_Down_Timer, in Backup
	adverTimer          time.Time     // Adver_Timer, in Active
}

// NewMachine returns a machine in Initialize.
func NewMachine(r Router) *Machine { return &Machine{router: r, activeAdverInterval: r.Advertise} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Due returns the time at which Tick has to be called; zero: never.
func (m *Machine) Due() time.Time {
	switch m.state {
	case Backup:
		return m.activeDownTimer
	case Active:
		return m.adverTimer
	}
	return time.Time{}
}

// skewTime returns Skew_Time: the lower its priority, the longer a router waits before it takes over.
func (m *Machine) skewTime() time.Duration {
	return time.Duration(256-int(m.router.Priority)) * m.activeAdverInterval / 256
}

// activeDownInterval returns Active_Down_Interval: after this time without an advertisement the active router counts as down.
func (m *Machine) activeDownInterval() time.Duration { return 3*m.activeAdverInterval + m.skewTime() }

// packet returns an advertisement of this router with a priority.
func (m *Machine) packet(priority uint8) Packet {
	return Packet{VRID: m.router.VRID, Priority: priority, Advertise: m.router.Advertise, Addresses: m.router.Virtual}
}

// activate makes this router active if it is not, restarts the advertisement timer, and returns an advertisement.
func (m *Machine) activate(now time.Time) []Packet {
	m.state, m.adverTimer = Active, now.Add(m.router.Advertise)
	return []Packet{m.packet(m.router.Priority)}
}

// Startup leaves Initialize: the owner of the addresses becomes Active at once, any other router Backup. In other states it does nothing.
func (m *Machine) Startup(now time.Time) []Packet {
	if m.state != Initialize {
		return nil
	}
	if m.router.Priority == 255 {
		return m.activate(now)
	}
	m.state, m.activeAdverInterval = Backup, m.router.Advertise
	m.activeDownTimer = now.Add(m.activeDownInterval())
	return nil
}

// Shutdown returns to Initialize. An active router advertises priority 0, so that the others do not wait for their timeouts.
func (m *Machine) Shutdown() []Packet {
	was := m.state
	if m.state = Initialize; was == Active {
		return []Packet{m.packet(0)}
	}
	return nil
}

// Tick handles the timer if it is due: a backup router becomes active, an active router sends its next advertisement.
func (m *Machine) Tick(now time.Time) []Packet {
	if due := m.Due(); due.IsZero() || now.Before(due) {
		return nil
	}
	return m.activate(now)
}

// Receive handles an advertisement for this virtual router from the router at address from.
func (m *Machine) Receive(now time.Time, p Packet, from netip.Addr) []Packet {
	switch m.state {
	case Backup:
		switch {
		case p.Priority == 0:
			m.activeDownTimer = now.Add(m.skewTime())
		case !m.router.Preempt || p.Priority >= m.router.Priority:
			m.activeAdverInterval = p.Advertise
			m.activeDownTimer = now.Add(m.activeDownInterval())
		}
	case Active:
		switch {
		case p.Priority == 0:
			return m.activate(now)
		case p.Priority > m.router.Priority || p.Priority == m.router.Priority && m.router.Address.Less(from):
			m.state, m.activeAdverInterval = Backup, p.Advertise
			m.activeDownTimer = now.Add(m.activeDownInterval())
		default: // tell the other router, which took this one for down, that it is active
			return []Packet{m.packet(m.router.Priority)}
		}
	}
	return nil
}
