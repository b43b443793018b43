package simulation

import (
	"time"
)

// direction is a set of directions in which a partitioned machine's messages are lost.
type direction uint8

// The directions.
const (
	outbound direction = 1 << iota // what it sends
	inbound                        // what is sent to it
	bothWays = outbound | inbound
)

// partition partitions some machines from others for a while.
func (d *day) partition(duration time.Duration, some, others []*machine, lostDirections direction) {
	forEachPair := func(change func(a, b *machine)) {
		for _, a := range some {
			for _, b := range others {
				if a != b {
					change(a, b)
				}
			}
		}
	}
	forEachPair(func(a, b *machine) {
		if lostDirections&outbound != 0 {
			d.network.Partition(a.host, b.host)
		}
		if lostDirections&inbound != 0 {
			d.network.Partition(b.host, a.host)
		}
	})
	d.after(duration, func() { forEachPair(d.heal) })
}

func (d *day) heal(a, b *machine) {
	d.network.Heal(a.host, b.host)
	d.network.Heal(b.host, a.host)
}

// splitByZone splits the machines into those of a machine's zone and the others.
func (d *day) splitByZone(m *machine) (near, far []*machine) {
	for _, other := range d.machinesOf(coreClass, storageClass, edgeClass) {
		if other.zone == m.zone {
			near = append(near, other)
		} else {
			far = append(far, other)
		}
	}
	return near, far
}

// refuseConnections resets existing connections between a machine and the other quorum machines and refuses new ones, for a while.
func (d *day) refuseConnections(duration time.Duration, m *machine) {
	others := d.quorumMachines()
	for _, other := range others {
		if other != m {
			d.network.Refuse(m.host, other.host)
			d.network.Refuse(other.host, m.host)
		}
	}
	d.after(duration, func() {
		for _, other := range others {
			d.heal(m, other)
		}
	})
}

// slowLinks delays what a machine sends to the other quorum machines, for a while.
func (d *day) slowLinks(duration time.Duration, m *machine) {
	others := d.quorumMachines()
	set := func(by time.Duration) {
		for _, other := range others {
			d.network.SetExtraDelay(m.host, other.host, by)
		}
	}
	set(slowLinkDelay)
	d.after(duration, func() { set(0) })
}

func (d *day) healEndpoint(target *endpoint) {
	for _, edge := range d.machinesOf(edgeClass) {
		d.network.Heal(edge.host, target.host)
		d.network.Heal(target.host, edge.host)
	}
}
