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
	r      Router
	state  State
	heard  time.Duration // Active_Adver_Interval: what the active router advertises
	down   time.Time     // Active_Down_Timer, in Backup
	advert time.Time     // Adver_Timer, in Active
}

// NewMachine returns a machine in Initialize.
func NewMachine(r Router) *Machine { return &Machine{r: r, heard: r.Advertise} }

// State returns the state.
func (m *Machine) State() State { return m.state }

// Due is when Tick has to be called; zero: never.
func (m *Machine) Due() time.Time {
	switch m.state {
	case Backup:
		return m.down
	case Active:
		return m.advert
	}
	return time.Time{}
}

// skew makes the routers of higher priority take over first.
func (m *Machine) skew() time.Duration { return time.Duration(256-int(m.r.Priority)) * m.heard / 256 }

func (m *Machine) downInterval() time.Duration { return 3*m.heard + m.skew() }

func (m *Machine) packet(priority uint8) Packet {
	return Packet{VRID: m.r.VRID, Priority: priority, Advertise: m.r.Advertise, Addresses: m.r.Virtual}
}

func (m *Machine) activate(now time.Time) []Packet {
	m.state, m.advert = Active, now.Add(m.r.Advertise)
	return []Packet{m.packet(m.r.Priority)}
}

// Startup leaves Initialize: the owner of the addresses is active at once.
func (m *Machine) Startup(now time.Time) []Packet {
	if m.state != Initialize {
		return nil
	}
	if m.r.Priority == 255 {
		return m.activate(now)
	}
	m.state, m.heard = Backup, m.r.Advertise
	m.down = now.Add(m.downInterval())
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
			m.down = now.Add(m.skew())
		case !m.r.Preempt || p.Priority >= m.r.Priority:
			m.heard = p.Advertise
			m.down = now.Add(m.downInterval())
		}
	case Active:
		switch {
		case p.Priority == 0:
			return m.activate(now)
		case p.Priority > m.r.Priority || p.Priority == m.r.Priority && m.r.Address.Less(from):
			m.state, m.heard = Backup, p.Advertise
			m.down = now.Add(m.downInterval())
		default: // assert this router's part to the one that took it for absent
			return []Packet{m.packet(m.r.Priority)}
		}
	}
	return nil
}
