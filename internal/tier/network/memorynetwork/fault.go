package memorynetwork

import (
	"syscall"
	"time"
)

// Partition drops everything that one machine sends to another, until Heal. Connections stay open: the kernel retransmits on them
// until the link is up or the connection times out.
func (n *Network) Partition(from, to *Machine) { n.setPartitioned(from, to, true) }

// Heal undoes Partition and Refuse of one direction.
func (n *Network) Heal(from, to *Machine) {
	n.mutex.Lock()
	n.link(from.ip, to.ip).refuse = false
	n.mutex.Unlock()
	n.setPartitioned(from, to, false)
}

// setPartitioned partitions or heals one direction of a link. For each connection over the link, a partition starts the keep-alive
// timer, and healing starts a probe.
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

// Refuse resets the connections between two machines, and refuses new ones from the first to the second machine until Heal.
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

// SetExtraDelay sets an additional delay for everything that one machine sends to another.
func (n *Network) SetExtraDelay(from, to *Machine, extra time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from.ip, to.ip).extraDelay = extra
}
