// Package memorynetwork is a network in memory for tests. It has machines with addresses, links with a delay in each direction,
// and processes whose sockets end with them; it cuts, refuses, resets, freezes and loses as networks and machines do.
//
// All waiting is on conditions and timers, so that inside a bubble of testing/synctest a process that waits for its network is
// durably blocked and time goes on.
//
// What it leaves out: congestion, bandwidth, fragments and the options of sockets, except for the probes of idle connections,
// which stand for all ways in which a kernel notices a silent peer.
package memorynetwork

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// loopbackDelay is the delay between processes of one machine.
	loopbackDelay = 30 * time.Microsecond
	// windowBytes may be on their way or wait to be read in one direction of a connection.
	windowBytes = 256 << 10
	// firstRetransmission is the pause until bytes that were lost are sent again; it doubles with each loss.
	firstRetransmission = 200 * time.Millisecond
	lastRetransmission  = 6400 * time.Millisecond
	// firstPort is the first port that dialers are given.
	firstPort = 32768
)

// Options describe a network.
type Options struct {
	Delay  time.Duration // from one machine to another
	Jitter time.Duration // at most, added to each delay
	Loss   float64       // share of datagrams that are lost
	Seed   uint64
}

// Network joins machines.
type Network struct {
	options Options

	mutex    sync.Mutex
	random   *rand.Rand
	machines map[netip.Addr]*Machine
	links    map[route]*link
	ends     map[*end]struct{} // that have not been closed
}

// route is one direction between two machines.
type route struct{ from, to netip.Addr }

// link is the state of one direction.
type link struct {
	cut     bool // what is sent is lost
	refuse  bool // connections are refused
	slower  time.Duration
	changes int // of whether it carries
}

// New returns a network without machines.
func New(options Options) *Network {
	return &Network{options: options, random: rand.New(rand.NewPCG(options.Seed, 0x6e6574)), machines: map[netip.Addr]*Machine{},
		links: map[route]*link{}, ends: map[*end]struct{}{}}
}

// Machine returns the machine at an address, which is made at first use.
func (n *Network) Machine(address string) *Machine {
	ip := netip.MustParseAddr(address)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if known := n.machines[ip]; known != nil {
		return known
	}
	made := &Machine{network: n, ip: ip, powered: true, listeners: map[uint16]*listener{}, packets: map[uint16]*packetSocket{}, port: firstPort}
	made.thawed = sync.NewCond(&n.mutex)
	n.machines[ip] = made
	return made
}

// link returns the state of one direction. The caller holds the mutex.
func (n *Network) link(from, to netip.Addr) *link {
	r := route{from, to}
	if n.links[r] == nil {
		n.links[r] = &link{}
	}
	return n.links[r]
}

// carries tells whether what one machine sends gets to another. The caller holds the mutex.
func (n *Network) carries(from, to *Machine) bool {
	return from.powered && to.powered && (from == to || !n.link(from.ip, to.ip).cut)
}

// delay draws the time that something takes from one machine to another. The caller holds the mutex.
func (n *Network) delay(from, to *Machine) time.Duration {
	if from == to {
		return loopbackDelay
	}
	delay := n.options.Delay + n.link(from.ip, to.ip).slower
	if n.options.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(n.options.Jitter)))
	}
	return delay
}

// each calls visit for each open end that the filter lets through. The caller holds the mutex.
func (n *Network) each(matches func(e *end) bool, visit func(e *end)) {
	var found []*end
	for e := range n.ends {
		if matches(e) {
			found = append(found, e)
		}
	}
	for _, e := range found {
		visit(e)
	}
}

// between matches the ends of connections between two machines.
func between(a, b *Machine) func(e *end) bool {
	return func(e *end) bool {
		here, there := e.process.machine, e.peer.process.machine
		return here == a && there == b || here == b && there == a
	}
}
