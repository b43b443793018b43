package memorynetwork

import (
	"syscall"
	"time"
)

// Partition loses what one machine sends to another, until Heal. Connections stay: what is sent on them is sent again by the kernel
// once the link carries.
func (n *Network) Partition(from, to *Machine) { n.change(from, to, true) }

// Heal undoes Partition and Refuse.
func (n *Network) Heal(from, to *Machine) {
	n.mutex.Lock()
	n.link(from.ip, to.ip).refuse = false
	n.mutex.Unlock()
	n.change(from, to, false)
}

func (n *Network) change(from, to *Machine, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	changed := n.link(from.ip, to.ip)
	if changed.cut == cut || from == to {
		return
	}
	changed.cut = cut
	changed.changes++
	n.each(between(from, to), func(e *end) {
		if cut {
			e.noticeSilence()
		} else {
			e.probe()
		}
	})
}

// Refuse resets the connections between two machines, and has new ones from the first to the second refused until Heal.
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
	n.each(between(a, b), func(e *end) { e.fail(syscall.ECONNRESET) })
}

// Slow adds to the delay of what one machine sends to another.
func (n *Network) Slow(from, to *Machine, by time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from.ip, to.ip).slower = by
}
