package fleettest

import "time"

// counting lists the machines with a disk.
func (f *Fleet) counting() []*Machine { return append(append([]*Machine{}, f.cores...), f.stores...) }

// strike does what a fault says.
func (d *day) strike(fault Fault) {
	counting := d.counting()
	m, other := counting[fault.Target%len(counting)], counting[fault.Other%len(counting)]
	edge, engine := d.edges[fault.Target%len(d.edges)], d.engines[fault.Target%len(d.engines)]
	switch fault.Kind {
	case KillFault:
		d.Kill(m)
		d.StartLater(fault.For, m)
	case PowerFault:
		d.LosePower(m)
		d.StartLater(fault.For, m)
	case KillAllFault:
		d.Kill(d.tier()...)
		d.startEach(fault.For)
	case PowerAllFault:
		d.LosePower(d.tier()...)
		d.startEach(fault.For)
	case AckKillFault:
		d.afterAcknowledgement(func(owner *Machine) { d.endOwner(owner, fault.For, d.Kill) })
	case AckPowerFault:
		d.afterAcknowledgement(func(owner *Machine) { d.endOwner(owner, fault.For, d.LosePower) })
	case AckFinalFault:
		d.afterAcknowledgement(func(*Machine) { d.final(m, fault.For) })
	case DiskFault:
		d.LoseDisk(m)
		d.StartLater(fault.For, m)
	case FinalFault:
		d.final(m, fault.For)
	case ReplaceFault:
		d.replace(m)
	default:
		d.disturb(fault, m, other)
		d.disturbEdge(fault, edge, engine)
	}
}

// startEach starts all machines of the tier again, each within a span.
func (d *day) startEach(within time.Duration) {
	for _, m := range d.tier() {
		d.StartLater(d.loop.between(0, within), m)
	}
}

// final takes one disk away and the power of all other machines with one.
func (d *day) final(m *Machine, within time.Duration) {
	if m.removed {
		return
	}
	d.LosePower(d.counting()...)
	d.LoseDisk(m)
	d.startEach(within)
}

// afterAcknowledgement does something to the owner of the configuration right after the next acknowledgement.
func (d *day) afterAcknowledgement(run func(owner *Machine)) {
	until := d.Now() + ackWait
	d.onAcknowledged = func(*order) {
		d.onAcknowledged = nil
		if owner := d.CoreOwner(); owner != nil && d.Now() <= until {
			run(owner)
		}
	}
}

// endOwner ends a machine within 4 ms.
func (d *day) endOwner(owner *Machine, pause time.Duration, end func(...*Machine)) {
	d.loop.after(d.loop.between(0, 4*time.Millisecond), func() {
		end(owner)
		d.StartLater(pause, owner)
	})
}

func (d *day) replace(m *Machine) {
	for _, core := range d.cores {
		if core == m {
			d.ReplaceCore(m)
			return
		}
	}
	d.ReplaceStore(m)
}

// disturb troubles a machine with a disk without ending it.
func (d *day) disturb(fault Fault, m, other *Machine) {
	switch fault.Kind {
	case FreezeFault:
		d.Freeze(m)
		d.loop.after(fault.For, func() { d.Thaw(m) })
	case CutFault:
		peers := append(d.counting(), d.edges...)
		if fault.Other%2 == 0 {
			peers = d.counting()
		}
		d.Cut([]*Machine{m}, peers)
		d.loop.after(fault.For, func() { d.Join([]*Machine{m}, peers) })
	case CutOneWayFault:
		if m != other {
			d.CutOneWay(m, other)
			d.loop.after(fault.For, func() { d.Join([]*Machine{m}, []*Machine{other}) })
		}
	case ResetFault:
		d.Reset(m, other)
	case ClockFault:
		d.StepClock(m, fault.For)
	case SlowDiskFault:
		d.SlowDisk(m, slowSync)
		d.loop.after(fault.For, func() { d.SlowDisk(m, d.options.SyncTime) })
	case SilentDiskFault:
		d.Silence(m)
		d.loop.after(fault.For, func() { d.Speak(m) })
	case FullDiskFault:
		d.FillDisk(m, fullBytes)
		d.loop.after(fault.For, func() { d.FillDisk(m, -1) })
	}
}

// disturbEdge troubles those beside the machines with a disk.
func (d *day) disturbEdge(fault Fault, edge, engine *Machine) {
	switch fault.Kind {
	case ProxyFault:
		d.KillProcess(edge.processes[1])
	case AgentFault:
		d.KillProcess(edge.processes[0])
	case EndpointFault:
		service := engine.processes[0].handler.(*endpoint).service
		swapped := toolService
		if service == toolService {
			swapped = modelService
		}
		d.ReplaceEndpoint(engine, swapped)
		d.loop.after(fault.For, func() { d.ReplaceEndpoint(engine, service) })
	case StuckEngineFault:
		engine.processes[0].handler.(*endpoint).stuck = true
		d.mark()
		d.loop.after(fault.For, func() { engine.processes[0].handler.(*endpoint).stuck = false })
	case AckLostFault:
		d.operators[0].loseAnswer = 0.7
		d.loop.after(fault.For, func() { d.operators[0].loseAnswer = 0 })
	case ResendElseFault:
		d.send(d.operators[1], func() {})
	}
}
