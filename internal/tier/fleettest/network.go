package fleettest

import (
	"errors"
	"slices"
	"time"
)

// Conditions are what the links are like.
type Conditions struct {
	Delay  time.Duration // one way between machines
	Jitter time.Duration // at most, beside the delay
	Loss   float64       // share of datagrams that are lost
}

const (
	loopbackDelay = 50 * time.Microsecond
	heldFor       = 1500 * time.Millisecond // after which a connection over a cut link is given up
)

// Errors of a call, as its caller sees them.
var (
	errReset   = errors.New("the connection was reset")
	errTimeout = errors.New("no answer in time")
)

// pair is a direction between two machines.
type pair struct{ from, to *Machine }

// network carries messages between processes.
type network struct {
	loop        *loop
	conditions  Conditions
	byAddress   map[string]*process
	cut         map[pair]bool
	generation  map[pair]int // raised when the connections between two machines are reset
	lastArrival map[[2]*process]time.Duration
	held        []heldMessage
}

// heldMessage waits on a cut link.
type heldMessage struct {
	way   pair
	since time.Duration
	carry func()
	lost  func()
}

func newNetwork(l *loop, conditions Conditions) *network {
	return &network{loop: l, conditions: conditions, byAddress: map[string]*process{}, cut: map[pair]bool{},
		generation: map[pair]int{}, lastArrival: map[[2]*process]time.Duration{}}
}

// delay draws how long a message takes.
func (n *network) delay(from, to *Machine) time.Duration {
	if from == to {
		return loopbackDelay
	}
	return n.conditions.Delay + n.loop.between(0, n.conditions.Jitter)
}

// setCut cuts one direction or joins it again; what waited goes on, unless it has waited for too long.
func (n *network) setCut(from, to *Machine, cut bool) {
	way := pair{from, to}
	if cut {
		n.cut[way] = true
		return
	}
	delete(n.cut, way)
	held := n.held
	n.held = nil
	for _, message := range held {
		if message.way != way {
			n.held = append(n.held, message)
			continue
		}
		message.carry()
	}
}

// heal joins all links again.
func (n *network) heal() {
	clear(n.cut)
	held := n.held
	n.held = nil
	for _, message := range held {
		message.carry()
	}
}

// reset resets all connections between two machines.
func (n *network) reset(a, b *Machine) {
	n.generation[pair{a, b}]++
	n.generation[pair{b, a}]++
	for _, p := range slices.Concat(a.processes, b.processes) {
		for _, e := range slices.Clone(p.exchanges) {
			if e.caller.machine == a && e.server.machine == b || e.caller.machine == b && e.server.machine == a {
				e.reset()
			}
		}
	}
}

// stream carries something over a connection, in order. It is lost when the connection is; lost, which may be nil, is told.
func (n *network) stream(from, to *process, arrive, lost func()) {
	way := pair{from.machine, to.machine}
	if n.cut[way] {
		n.hold(way, from, func() { n.stream(from, to, arrive, lost) }, lost)
		return
	}
	generation := n.generation[way]
	line := [2]*process{from, to}
	at := max(n.loop.now+n.delay(from.machine, to.machine), n.lastArrival[line])
	n.lastArrival[line] = at
	n.loop.after(at-n.loop.now, func() {
		if n.generation[way] != generation {
			if lost != nil {
				lost()
			}
			return
		}
		arrive()
	})
}

// hold keeps a message on a cut link for as long as its connection lasts.
func (n *network) hold(way pair, from *process, carry, lost func()) {
	life, since := from.life, n.loop.now
	gone := func() {
		if lost != nil {
			lost()
		}
	}
	n.held = append(n.held, heldMessage{way: way, since: since, lost: gone, carry: func() {
		if from.life != life || n.loop.now-since > heldFor {
			gone()
			return
		}
		carry()
	}})
	n.loop.after(heldFor, func() { n.dropHeld() })
}

// dropHeld gives up what has waited for too long.
func (n *network) dropHeld() {
	kept := n.held[:0]
	var dropped []heldMessage
	for _, message := range n.held {
		if n.loop.now-message.since >= heldFor {
			dropped = append(dropped, message)
			continue
		}
		kept = append(kept, message)
	}
	n.held = kept
	for _, message := range dropped {
		message.lost()
	}
}

// notify sends a message that is not answered to whoever has the address when it arrives.
func (n *network) notify(from *process, address string, message any) {
	to := n.byAddress[address]
	if to == nil {
		return
	}
	sender := from.address
	n.stream(from, to, func() {
		to.enter(to.life, func() { to.handler.notice(sender, message) })
	}, nil)
}

// datagram sends a message that may be lost.
func (n *network) datagram(from *process, address string, message any) {
	to := n.byAddress[address]
	if to == nil || n.cut[pair{from.machine, to.machine}] || n.loop.chance(n.conditions.Loss) {
		return
	}
	sender := from.address
	n.loop.after(n.delay(from.machine, to.machine), func() {
		to.enter(to.life, func() { to.handler.datagram(sender, message) })
	})
}
