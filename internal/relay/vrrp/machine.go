package vrrp

import (
	"net/netip"
	"time"
)

// State is what a router is at the moment.
type State uint8

// The states of RFC 9568, section 6.4.
const (
	Initialize State = iota
	Backup
	Active
)

func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// Router is a virtual router's settings at this machine.
type Router struct {
	VRID      uint8
	Priority  uint8
	Advertise time.Duration
	Preempt   bool
	Address   netip.Addr   // its own, which decides between equals
	Virtual   []netip.Addr // the addresses that it stands for
}

// Machine is the state machine. It reads no clock: each call says what time it is, and returns the
// advertisements to send.
type Machine struct {
	router              Router
	state               State
	activeAdverInterval time.Duration // Active_Adver_Interval: what the active router advertises
	activeDownTimer     time.Time     // Active_Down_Timer, in Backup
	adverTimer          time.Time     // Adver_Timer, in Active
}

// NewMachine returns a machine in Initialize.
func NewMachine(r Router) *Machine { return &Machine{router: r, activeAdverInterval: r.Advertise} }

// State returns the state.
func (m *Machine) State() State { return m.state }

// Due is when Tick has to be called; zero: never.
func (m *Machine) Due() time.Time {
	switch m.state {
	case Backup:
		return m.activeDownTimer
	case Active:
		return m.adverTimer
	}
	return time.Time{}
}

// skewTime makes the routers of higher priority take over first.
func (m *Machine) skewTime() time.Duration {
	return time.Duration(256-int(m.router.Priority)) * m.activeAdverInterval / 256
}

func (m *Machine) activeDownInterval() time.Duration { return 3*m.activeAdverInterval + m.skewTime() }

func (m *Machine) packet(priority uint8) Packet {
	return Packet{VRID: m.router.VRID, Priority: priority, Advertise: m.router.Advertise, Addresses: m.router.Virtual}
}

func (m *Machine) activate(now time.Time) []Packet {
	m.state, m.adverTimer = Active, now.Add(m.router.Advertise)
	return []Packet{m.packet(m.router.Priority)}
}

// Startup leaves Initialize: the owner of the addresses is active at once.
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

// Shutdown goes back to Initialize; an active router tells the others not to wait.
func (m *Machine) Shutdown() []Packet {
	was := m.state
	if m.state = Initialize; was == Active {
		return []Packet{m.packet(0)}
	}
	return nil
}

// Tick takes a timer that is due.
func (m *Machine) Tick(now time.Time) []Packet {
	if due := m.Due(); due.IsZero() || now.Before(due) {
		return nil
	}
	return m.activate(now) // in Active, that is the next advertisement
}

// Receive takes an advertisement for this virtual router from another one.
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
		default: // assert this router's part to the one that took it for absent
			return []Packet{m.packet(m.router.Priority)}
		}
	}
	return nil
}
