package simulation

import (
	"time"
)

// startLater starts a machine after a delay.
func (d *day) startLater(delay time.Duration, m *machine) { d.after(delay, m.startAll) }

// endAll ends all quorum machines at once; each starts again within the fault's time.
func (d *day) endAll(fault Fault, end func(*machine)) {
	for _, m := range d.quorumMachines() {
		end(m)
		d.startLater(time.Duration(d.intN(int(fault.For)+1)), m)
	}
}

// restartMachine stops a machine's processes with SIGTERM and starts them again.
func (d *day) restartMachine(m *machine) {
	d.goroutines.Go(func() {
		m.terminateAll()
		m.startAll()
	})
}

// killProcess kills one process of an edge, which the platform starts again.
func (d *day) killProcess(edge *machine, fault Fault) {
	role := proxyRole
	if fault.Kind == AgentKillFault {
		role = agentRole
	}
	for _, p := range edge.currentProcesses() {
		if p.role == role {
			p.kill()
			d.after(restartDelay, func() { edge.restart(p) })
		}
	}
}

// afterAcknowledgement ends the machine that acknowledges the next order, and starts it again.
func (d *day) afterAcknowledgement(fault Fault, end func(*machine)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	until := d.now() + ackTimeout
	d.ackFault = func(acting *machine) {
		if d.now() > until {
			return
		}
		time.Sleep(time.Duration(d.intN(int(maxAckFaultDelay))))
		d.trace("FAULT ends %s", acting.name)
		end(acting)
		d.startLater(fault.For, acting)
	}
}

// replaceMachine removes a machine and starts an empty one at another address.
func (d *day) replaceMachine(old *machine, fault Fault) {
	next := d.add(old.class)
	next.zone = old.zone
	remove := func() {
		d.mutex.Lock()
		old.removed = true
		d.mutex.Unlock()
		d.after(seedDelay, d.renewSeeds)
	}
	if fault.Kind == PlannedReplaceFault {
		next.startAll()
		d.after(fault.For, func() {
			old.terminateAll()
			remove()
		})
		return
	}
	old.loseDisk(d.options.Seed)
	remove()
	d.startLater(fault.For, next)
}

// renewSeeds has the operators and the settings files name the current controllers.
func (d *day) renewSeeds() {
	addresses := d.controlAddresses()
	d.mutex.Lock()
	d.seedAddresses = addresses
	d.mutex.Unlock()
	for _, m := range d.machinesOf(coreClass, storageClass, edgeClass) {
		for _, r := range m.roles {
			d.writeSettings(m, r)
		}
	}
}

// fillDisk leaves few bytes free on a machine's disk.
func (d *day) fillDisk(lasts time.Duration, m *machine) {
	memory := m.disk.memory
	names, err := memory.List()
	if err != nil {
		return
	}
	used := int64(freeBytes)
	for _, name := range names {
		used += memory.Size(name)
	}
	memory.SetCapacity(used)
	d.after(lasts, func() { memory.SetCapacity(0) })
}
