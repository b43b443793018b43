package fleettest

import (
	"fmt"
	"time"
)

// Kill ends all processes of the machines at once; their disks keep all writes.
func (f *Fleet) Kill(machines ...*Machine) {
	f.recordFault()
	for _, m := range machines {
		f.trace("kill %s", m.name)
		m.kill()
	}
}

// LosePower makes the machines lose power at once; writes that were not synced may be lost.
func (f *Fleet) LosePower(machines ...*Machine) {
	f.recordFault()
	for _, m := range machines {
		f.trace("%s loses power", m.name)
		m.losePower()
	}
}

// LoseDisk makes a machine lose power and replaces its disk by an empty one.
func (f *Fleet) LoseDisk(m *Machine) {
	f.recordFault()
	f.trace("%s loses its disk", m.name)
	m.losePower()
	m.wipe()
}

// Start starts machines that are down.
func (f *Fleet) Start(machines ...*Machine) {
	f.recordFault()
	for _, m := range machines {
		m.start()
	}
}

// StartLater starts machines after a delay.
func (f *Fleet) StartLater(delay time.Duration, machines ...*Machine) {
	f.loop.After(delay, func() { f.Start(machines...) })
}

// Freeze suspends a machine's processes; Thaw resumes them.
func (f *Fleet) Freeze(m *Machine) {
	f.recordFault()
	f.trace("%s freezes", m.name)
	m.frozen = true
}

// Thaw resumes a frozen machine.
func (f *Fleet) Thaw(m *Machine) {
	f.recordFault()
	f.trace("%s thaws", m.name)
	m.thaw()
}

// Partition partitions machines from others, in both directions.
func (f *Fleet) Partition(some, others []*Machine) {
	f.recordFault()
	for _, a := range some {
		for _, b := range others {
			if a != b {
				f.trace("partition %s | %s", a.name, b.name)
				f.network.setPartitioned(a, b, true)
				f.network.setPartitioned(b, a, true)
			}
		}
	}
}

// PartitionOneWay partitions the direction from one machine to another.
func (f *Fleet) PartitionOneWay(from, to *Machine) {
	f.recordFault()
	f.trace("partition %s > %s", from.name, to.name)
	f.network.setPartitioned(from, to, true)
}

// HealLinks heals the links between some machines and others, in both directions.
func (f *Fleet) HealLinks(some, others []*Machine) {
	f.recordFault()
	for _, a := range some {
		for _, b := range others {
			f.network.setPartitioned(a, b, false)
			f.network.setPartitioned(b, a, false)
		}
	}
}

// Heal heals all links.
func (f *Fleet) Heal() {
	f.recordFault()
	f.trace("all links are healed")
	f.network.heal()
}

// Reset resets all connections between two machines.
func (f *Fleet) Reset(a, b *Machine) {
	f.recordFault()
	f.trace("reset %s %s", a.name, b.name)
	f.network.reset(a, b)
}

// StepClock steps a machine's time of day.
func (f *Fleet) StepClock(m *Machine, by time.Duration) {
	f.recordFault()
	f.trace("%s: clock steps by %v", m.name, by)
	m.clockOffset += by
}

// StallDisk stalls a machine's disk, so that its syncs don't complete; ResumeDisk ends that.
func (f *Fleet) StallDisk(m *Machine) {
	f.recordFault()
	f.trace("%s: disk is stalled", m.name)
	m.diskStalled = true
}

// ResumeDisk ends StallDisk.
func (f *Fleet) ResumeDisk(m *Machine) {
	f.recordFault()
	m.resumeDisk()
}

// SlowDisk sets how long a machine's syncs take.
func (f *Fleet) SlowDisk(m *Machine, sync time.Duration) {
	f.recordFault()
	f.trace("%s: syncs take %v", m.name, sync)
	m.syncTime = sync
}

// FillDisk limits the free space of a machine's disk to a number of bytes; a negative number removes the limit.
func (f *Fleet) FillDisk(m *Machine, free int64) {
	f.recordFault()
	f.trace("%s: %d bytes free", m.name, free)
	if free < 0 {
		m.disk.SetCapacity(0)
		return
	}
	names, err := m.disk.List()
	if err != nil {
		f.report("HARNESS", "%s: %v", m.name, err)
		return
	}
	used := int64(0)
	for _, name := range names {
		used += m.disk.Size(name)
	}
	m.disk.SetCapacity(used + free)
}

// ReplaceCore removes a controller's machine for good and starts an empty one at another address.
func (f *Fleet) ReplaceCore(old *Machine) *Machine {
	next := f.addCore(fmt.Sprintf("core-%d", f.hostCount+1), len(f.cores))
	f.cores = f.replace(f.cores, old, next)
	cores := f.currentCores()
	f.loop.After(seedDelay, func() { f.coreList = cores })
	return next
}

// ReplaceStore removes a store's machine for good and starts an empty one at another address.
func (f *Fleet) ReplaceStore(old *Machine) *Machine {
	next := f.addStore(fmt.Sprintf("store-%d", f.hostCount+1), len(f.stores))
	f.stores = f.replace(f.stores, old, next)
	return next
}

// replace removes a machine, starts its replacement, and returns the list of machines with the replacement.
func (f *Fleet) replace(machines []*Machine, old, next *Machine) []*Machine {
	f.recordFault()
	f.trace("%s is replaced by %s", old.name, next.name)
	old.losePower()
	old.removed = true
	next.firstBoot = false
	next.zone = old.zone
	remaining := []*Machine{}
	for _, m := range machines {
		if m != old {
			remaining = append(remaining, m)
		}
	}
	f.loop.After(f.loop.between(0, startWindow), next.start)
	return append(remaining, next)
}

// ReplaceEndpoint ends an endpoint and starts another one, of a service, at its address.
func (f *Fleet) ReplaceEndpoint(m *Machine, service string) {
	f.recordFault()
	p := m.processes[0]
	p.end(true)
	p.open = openEndpoint(&service)
	p.start()
}

// KillProcess kills one process of an edge machine; it is started again after restartDelay.
func (f *Fleet) KillProcess(p *process) {
	if !p.isRunning() {
		return
	}
	f.recordFault()
	f.trace("kill %s", p.name)
	p.end(true)
	p.startLater(restartDelay)
}
