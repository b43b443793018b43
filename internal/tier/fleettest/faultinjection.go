package fleettest

import "time"

// quorumMachines lists the machines that count for a quorum: those with a disk.
func (f *Fleet) quorumMachines() []*Machine {
	return append(append([]*Machine{}, f.cores...), f.stores...)
}

// inject injects a fault, and has it end after its time.
func (d *day) inject(fault Fault) {
	machines := d.quorumMachines()
	target, other := machines[fault.Target%len(machines)], machines[fault.Other%len(machines)]
	edge, engine := d.edges[fault.Target%len(d.edges)], d.engines[fault.Target%len(d.engines)]
	switch fault.Kind {
	case KillFault:
		d.Kill(target)
		d.StartLater(fault.For, target)
	case PowerLossFault:
		d.LosePower(target)
		d.StartLater(fault.For, target)
	case KillAllFault:
		d.Kill(d.tier()...)
		d.startEach(fault.For)
	case PowerLossAllFault:
		d.LosePower(d.tier()...)
		d.startEach(fault.For)
	case AckKillFault:
		d.afterAcknowledgement(func(leader *Machine) { d.endLeader(leader, fault.For, d.Kill) })
	case AckPowerLossFault:
		d.afterAcknowledgement(func(leader *Machine) { d.endLeader(leader, fault.For, d.LosePower) })
	case AckDiskLossPowerLossAllFault:
		d.afterAcknowledgement(func(*Machine) { d.loseDiskAndAllPower(target, fault.For) })
	case DiskLossFault:
		d.LoseDisk(target)
		d.StartLater(fault.For, target)
	case DiskLossPowerLossAllFault:
		d.loseDiskAndAllPower(target, fault.For)
	case ReplaceFault:
		d.replace(target)
	default:
		d.injectMachineFault(fault, target, other)
		d.injectEdgeFault(fault, edge, engine)
	}
}

// startEach starts all machines of the tier again, each within a span.
func (d *day) startEach(within time.Duration) {
	for _, m := range d.tier() {
		d.StartLater(d.loop.between(0, within), m)
	}
}

// loseDiskAndAllPower takes one disk away and the power of all other machines with one.
func (d *day) loseDiskAndAllPower(m *Machine, within time.Duration) {
	if m.removed {
		return
	}
	d.LosePower(d.quorumMachines()...)
	d.LoseDisk(m)
	d.startEach(within)
}

// afterAcknowledgement calls run with the leader of the configuration's group right after the next acknowledgement.
func (d *day) afterAcknowledgement(run func(leader *Machine)) {
	until := d.Now() + ackTimeout
	d.onAcknowledged = func(*order) {
		d.onAcknowledged = nil
		if leader := d.CoreLeader(); leader != nil && d.Now() <= until {
			run(leader)
		}
	}
}

// endLeader ends a machine within 4 ms.
func (d *day) endLeader(leader *Machine, delay time.Duration, end func(...*Machine)) {
	d.loop.After(d.loop.between(0, 4*time.Millisecond), func() {
		end(leader)
		d.StartLater(delay, leader)
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

// injectMachineFault injects a fault into a quorum machine or its links, which goes on running.
func (d *day) injectMachineFault(fault Fault, target, other *Machine) {
	switch fault.Kind {
	case FreezeFault:
		d.Freeze(target)
		d.loop.After(fault.For, func() { d.Thaw(target) })
	case PartitionFault:
		peers := append(d.quorumMachines(), d.edges...)
		if fault.Other%2 == 0 {
			peers = d.quorumMachines()
		}
		d.Partition([]*Machine{target}, peers)
		d.loop.After(fault.For, func() { d.HealLinks([]*Machine{target}, peers) })
	case PartitionOneWayFault:
		if target != other {
			d.PartitionOneWay(target, other)
			d.loop.After(fault.For, func() { d.HealLinks([]*Machine{target}, []*Machine{other}) })
		}
	case ResetFault:
		d.Reset(target, other)
	case ClockStepFault:
		d.StepClock(target, fault.For)
	case SlowDiskFault:
		d.SlowDisk(target, slowSyncTime)
		d.loop.After(fault.For, func() { d.SlowDisk(target, d.options.SyncTime) })
	case StalledDiskFault:
		d.StallDisk(target)
		d.loop.After(fault.For, func() { d.ResumeDisk(target) })
	case FullDiskFault:
		d.FillDisk(target, freeBytes)
		d.loop.After(fault.For, func() { d.FillDisk(target, -1) })
	}
}

// injectEdgeFault injects a fault into an edge machine, an endpoint or the operators.
func (d *day) injectEdgeFault(fault Fault, edge, engine *Machine) {
	switch fault.Kind {
	case ProxyKillFault:
		d.KillProcess(edge.processes[1])
	case AgentKillFault:
		d.KillProcess(edge.processes[0])
	case EndpointReplaceFault:
		service := engine.processes[0].handler.(*endpoint).service
		swapped := toolService
		if service == toolService {
			swapped = modelService
		}
		d.ReplaceEndpoint(engine, swapped)
		d.loop.After(fault.For, func() { d.ReplaceEndpoint(engine, service) })
	case ResponseLossFault:
		engine.processes[0].handler.(*endpoint).stuck = true
		d.recordFault()
		d.loop.After(fault.For, func() { engine.processes[0].handler.(*endpoint).stuck = false })
	case AckLossFault:
		d.operators[0].ackLossRate = 0.7
		d.loop.After(fault.For, func() { d.operators[0].ackLossRate = 0 })
	case OrderRaceFault:
		d.send(d.operators[1], func() {})
	}
}
