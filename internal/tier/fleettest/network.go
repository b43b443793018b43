package fleettest

import (
	"errors"
	"slices"
	"time"
)

// Conditions describe the links between machines.
type Conditions struct {
	Delay  time.Duration // one way between machines
	Jitter time.Duration // maximum random addition to the delay
	Loss   float64       // probability that a datagram is lost
}

const (
	loopbackDelay     = 50 * time.Microsecond
	connectionTimeout = 1500 * time.Millisecond // after which a connection over a partitioned link fails
)

// Errors of a call, as its caller sees them.
var (
	errReset   = errors.New("connection was reset")
	errTimeout = errors.New("no answer within the timeout")
)

// direction is one direction of the link between two machines.
type direction struct{ from, to *Machine }

// network carries messages between processes.
type network struct {
	loop        *loop
	conditions  Conditions
	byAddress   map[string]*process
	partitioned map[direction]bool
	generation  map[direction]int             // incremented when the connections between two machines are reset
	lastArrival map[[2]*process]time.Duration // of the newest message, by sender and receiver
	queued      []queuedMessage
}

// queuedMessage is a message that waits for a partitioned link to heal.
type queuedMessage struct {
	way   direction
	since time.Duration
	carry func()
	lost  func()
}

func newNetwork(l *loop, conditions Conditions) *network {
	return &network{loop: l, conditions: conditions, byAddress: map[string]*process{}, partitioned: map[direction]bool{},
		generation: map[direction]int{}, lastArrival: map[[2]*process]time.Duration{}}
}

// delay returns the random latency of a message.
func (n *network) delay(from, to *Machine) time.Duration {
	if from == to {
		return loopbackDelay
	}
	return n.conditions.Delay + n.loop.between(0, n.conditions.Jitter)
}

// setPartitioned partitions or heals one direction. Healing sends its queued messages, unless their connections have timed out.
func (n *network) setPartitioned(from, to *Machine, partitioned bool) {
	way := direction{from, to}
	if partitioned {
		n.partitioned[way] = true
		return
	}
	delete(n.partitioned, way)
	queued := n.queued
	n.queued = nil
	for _, message := range queued {
		if message.way != way {
			n.queued = append(n.queued, message)
			continue
		}
		message.carry()
	}
}

// heal heals all links.
func (n *network) heal() {
	clear(n.partitioned)
	queued := n.queued
	n.queued = nil
	for _, message := range queued {
		message.carry()
	}
}

// reset resets all connections between two machines.
func (n *network) reset(a, b *Machine) {
	n.generation[direction{a, b}]++
	n.generation[direction{b, a}]++
	for _, p := range slices.Concat(a.processes, b.processes) {
		for _, e := range slices.Clone(p.exchanges) {
			if e.caller.machine == a && e.server.machine == b || e.caller.machine == b && e.server.machine == a {
				e.reset()
			}
		}
	}
}

// stream sends a message over a connection, which delivers messages in the sequence in which they were sent: it calls arrive at the
// receiver. If the connection is lost first, it calls lost, which may be nil.
func (n *network) stream(from, to *process, arrive, lost func()) {
	way := direction{from.machine, to.machine}
	if n.partitioned[way] {
		n.enqueue(way, from, func() { n.stream(from, to, arrive, lost) }, lost)
		return
	}
	generation := n.generation[way]
	connection := [2]*process{from, to}
	at := max(n.loop.Now()+n.delay(from.machine, to.machine), n.lastArrival[connection])
	n.lastArrival[connection] = at
	n.loop.After(at-n.loop.Now(), func() {
		if n.generation[way] != generation {
			if lost != nil {
				lost()
			}
			return
		}
		arrive()
	})
}

// enqueue queues a message on a partitioned link until the link heals or the connection times out.
func (n *network) enqueue(way direction, from *process, carry, lost func()) {
	incarnation, since := from.incarnation, n.loop.Now()
	fail := func() {
		if lost != nil {
			lost()
		}
	}
	n.queued = append(n.queued, queuedMessage{way: way, since: since, lost: fail, carry: func() {
		if from.incarnation != incarnation || n.loop.Now()-since > connectionTimeout {
			fail()
			return
		}
		carry()
	}})
	n.loop.After(connectionTimeout, func() { n.expireQueued() })
}

// expireQueued drops the messages that have waited for connectionTimeout.
func (n *network) expireQueued() {
	remaining := n.queued[:0]
	var dropped []queuedMessage
	for _, message := range n.queued {
		if n.loop.Now()-message.since >= connectionTimeout {
			dropped = append(dropped, message)
			continue
		}
		remaining = append(remaining, message)
	}
	n.queued = remaining
	for _, message := range dropped {
		message.lost()
	}
}

// sendMessage sends a message without an answer to the process at an address.
func (n *network) sendMessage(from *process, address string, message any) {
	to := n.byAddress[address]
	if to == nil {
		return
	}
	sender := from.address
	n.stream(from, to, func() {
		to.execute(to.incarnation, func() { to.handler.handleMessage(sender, message) })
	}, nil)
}

// sendDatagram sends a datagram to the process at an address; it may get lost.
func (n *network) sendDatagram(from *process, address string, message any) {
	to := n.byAddress[address]
	if to == nil || n.partitioned[direction{from.machine, to.machine}] || n.loop.withProbability(n.conditions.Loss) {
		return
	}
	sender := from.address
	n.loop.After(n.delay(from.machine, to.machine), func() {
		to.execute(to.incarnation, func() { to.handler.handleDatagram(sender, message) })
	})
}
