package memorynetwork

import (
	"syscall"
	"time"
)

// Partition loses what one machine sends to another, until Heal. Connections stay open: the kernel retransmits what is sent on
// them until the link is up, or times the peer out.
func (n *Network) Partition(from, to *Machine) { n.setPartitioned(from, to, true) }

// Heal undoes Partition and Refuse.
func (n *Network) Heal(from, to *Machine) {
	n.mutex.Lock()
	n.link(from.ip, to.ip).refuse = false
	n.mutex.Unlock()
	n.setPartitioned(from, to, false)
}

// setPartitioned changes one direction of a link, and starts or ends the time-outs of the connections over it.
func (n *Network) setPartitioned(from, to *Machine, partitioned bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	changed := n.link(from.ip, to.ip)
	if changed.partitioned == partitioned || from == to {
		return
	}
	changed.partitioned = partitioned
	n.forEachEndpoint(between(from, to), func(e *endpoint) {
		if partitioned {
			e.startKeepAliveTimer()
		} else {
			e.startProbe()
		}
	})
}

// Refuse resets the connections between two machines, and refuses new ones from the first to the second until Heal.
func (n *Network) Refuse(from, to *Machine) {
	n.mutex.Lock()
	n.link(from.ip, to.ip).refuse = true
	n.mutex.Unlock()
	n.Reset(from, to)
}

// Reset resets the connections between two machines.
func (n *Network) Reset(a, b *Machine) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.forEachEndpoint(between(a, b), func(e *endpoint) { e.fail(syscall.ECONNRESET) })
}

// SetExtraDelay sets the additional delay of what one machine sends to another.
func (n *Network) SetExtraDelay(from, to *Machine, extra time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from.ip, to.ip).extraDelay = extra
}
