package simulation

import (
	"time"
)

// startLater starts a machine's roles after a delay.
func (d *day) startLater(delay time.Duration, m *machine) { d.after(delay, m.startAll) }

// endAll ends all quorum machines at once; each starts again after a random part of the fault's duration.
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

// killProcess kills the proxy or the agent of an edge, as the fault's kind says; it is restarted after restartDelay.
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

// afterAcknowledgement ends the controller that acknowledges the next order, within maxAckFaultDelay, and starts it again.
func (d *day) afterAcknowledgement(fault Fault, end func(*machine)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	deadline := d.now() + ackTimeout
	d.ackFault = func(controller *machine) {
		if d.now() > deadline {
			return
		}
		time.Sleep(time.Duration(d.intN(int(maxAckFaultDelay))))
		d.trace("FAULT ends %s", controller.name)
		end(controller)
		d.startLater(fault.For, controller)
	}
}

// replaceMachine replaces a machine by an empty one at another address. In a planned replacement the new one starts before the old one
// stops; otherwise it starts after the old one is lost.
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

// renewSeeds updates the seeds of the operators and of all settings files to the current controllers.
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

// fillDisk leaves freeBytes free on a machine's disk for a while.
func (d *day) fillDisk(duration time.Duration, m *machine) {
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
	d.after(duration, func() { memory.SetCapacity(0) })
}
