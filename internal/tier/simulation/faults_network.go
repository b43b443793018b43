package simulation

import (
	"time"
)

// direction says which messages of a partitioned machine are lost.
type direction uint8

// The directions.
const (
	outbound direction = 1 << iota // what it sends
	inbound                        // what is sent to it
	bothWays = outbound | inbound
)

// partition cuts machines off from others.
func (d *day) partition(lasts time.Duration, some, others []*machine, lost direction) {
	each := func(change func(a, b *machine)) {
		for _, a := range some {
			for _, b := range others {
				if a != b {
					change(a, b)
				}
			}
		}
	}
	each(func(a, b *machine) {
		if lost&outbound != 0 {
			d.network.Partition(a.host, b.host)
		}
		if lost&inbound != 0 {
			d.network.Partition(b.host, a.host)
		}
	})
	d.after(lasts, func() { each(d.heal) })
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

// refuseConnections resets and refuses connections between a machine and the other quorum machines.
func (d *day) refuseConnections(lasts time.Duration, m *machine) {
	others := d.quorumMachines()
	for _, other := range others {
		if other != m {
			d.network.Refuse(m.host, other.host)
			d.network.Refuse(other.host, m.host)
		}
	}
	d.after(lasts, func() {
		for _, other := range others {
			d.heal(m, other)
		}
	})
}

// slowLinks delays what a machine sends to the other quorum machines.
func (d *day) slowLinks(lasts time.Duration, m *machine) {
	others := d.quorumMachines()
	set := func(by time.Duration) {
		for _, other := range others {
			d.network.SetExtraDelay(m.host, other.host, by)
		}
	}
	set(slowLinkDelay)
	d.after(lasts, func() { set(0) })
}

func (d *day) healEndpoint(target *endpoint) {
	for _, edge := range d.machinesOf(edgeClass) {
		d.network.Heal(edge.host, target.host)
		d.network.Heal(target.host, edge.host)
	}
}
