package memorynetwork

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// loopbackDelay is the one-way delay between processes of one machine.
	loopbackDelay = 30 * time.Microsecond
	// windowBytes bounds the bytes in flight and unread in one direction of a connection; a writer blocks when they reach it.
	windowBytes = 256 << 10
	// minRetransmitTimeout is the initial time until lost bytes are retransmitted; it doubles with each loss up to the maximum.
	minRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout = 6400 * time.Millisecond
	// firstEphemeralPort is the lowest ephemeral port.
	firstEphemeralPort = 32768
)

// Options configures a network. The zero value has no delay and no loss.
type Options struct {
	Delay  time.Duration // one-way delay between two machines
	Jitter time.Duration // added to each delay, uniform from 0 to this
	Loss   float64       // fraction of datagrams that are lost, from 0 to 1
	Seed   uint64        // of all random choices
}

// Network connects machines.
type Network struct {
	options Options

	mutex     sync.Mutex // guards all state of the network
	random    *rand.Rand
	machines  map[netip.Addr]*Machine
	links     map[route]*link
	endpoints map[*endpoint]struct{} // endpoints that are not closed
}

// route is one direction between two machines.
type route struct{ from, to netip.Addr }

// link is the state of one direction.
type link struct {
	partitioned bool // everything sent is lost
	refuse      bool // new connections are refused
	extraDelay  time.Duration
}

// New returns a network without machines.
func New(options Options) *Network {
	return &Network{options: options, random: rand.New(rand.NewPCG(options.Seed, 0x6e6574)), machines: map[netip.Addr]*Machine{},
		links: map[route]*link{}, endpoints: map[*endpoint]struct{}{}}
}

// Machine returns the machine at an IP address, creating it at first use.
func (n *Network) Machine(address string) *Machine {
	ip := netip.MustParseAddr(address)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if known := n.machines[ip]; known != nil {
		return known
	}
	added := &Machine{network: n, ip: ip, powered: true, listeners: map[uint16]*listener{}, packets: map[uint16]*packetSocket{}, lastPort: firstEphemeralPort}
	added.thawed = sync.NewCond(&n.mutex)
	n.machines[ip] = added
	return added
}

// link returns the state of one direction. The caller holds the mutex.
func (n *Network) link(from, to netip.Addr) *link {
	r := route{from, to}
	if n.links[r] == nil {
		n.links[r] = &link{}
	}
	return n.links[r]
}

// reachable reports whether a machine can send to another one. The caller holds the mutex.
func (n *Network) reachable(from, to *Machine) bool {
	return from.powered && to.powered && (from == to || !n.link(from.ip, to.ip).partitioned)
}

// delay returns the one-way delay between two machines, with random jitter. The caller holds the mutex.
func (n *Network) delay(from, to *Machine) time.Duration {
	if from == to {
		return loopbackDelay
	}
	delay := n.options.Delay + n.link(from.ip, to.ip).extraDelay
	if n.options.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(n.options.Jitter)))
	}
	return delay
}

// forEachEndpoint calls visit for each open endpoint that matches. The caller holds the mutex.
func (n *Network) forEachEndpoint(matches func(e *endpoint) bool, visit func(e *endpoint)) {
	var found []*endpoint
	for e := range n.endpoints {
		if matches(e) {
			found = append(found, e)
		}
	}
	for _, e := range found {
		visit(e)
	}
}

// between returns a function that matches the endpoints of connections between two machines.
func between(a, b *Machine) func(e *endpoint) bool {
	return func(e *endpoint) bool {
		here, there := e.process.machine, e.peer.process.machine
		return here == a && there == b || here == b && there == a
	}
}
