package fleettest

import "time"

// quorumMachines returns the machines that count for a quorum: cores and stores.
func (f *Fleet) quorumMachines() []*Machine {
	return append(append([]*Machine{}, f.cores...), f.stores...)
}

// inject injects a fault, which ends after its duration.
func (d *day) inject(fault Fault) {
	machines := d.quorumMachines()
	target, other := machines[fault.Target%len(machines)], machines[fault.Other%len(machines)]
	edge, endpointMachine := d.edges[fault.Target%len(d.edges)], d.endpointMachines[fault.Target%len(d.endpointMachines)]
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
		d.injectEdgeFault(fault, edge, endpointMachine)
	}
}

// startEach starts all machines of the tier, each after a random delay.
func (d *day) startEach(within time.Duration) {
	for _, m := range d.tier() {
		d.StartLater(d.loop.between(0, within), m)
	}
}

// loseDiskAndAllPower makes one machine lose its disk and all other quorum machines lose power, and starts them again.
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
	deadline := d.Now() + ackTimeout
	d.onAcknowledged = func(*order) {
		d.onAcknowledged = nil
		if leader := d.CoreLeader(); leader != nil && d.Now() <= deadline {
			run(leader)
		}
	}
}

// endLeader ends the leader within 4 ms, and starts it again after a delay.
func (d *day) endLeader(leader *Machine, delay time.Duration, end func(...*Machine)) {
	d.loop.After(d.loop.between(0, 4*time.Millisecond), func() {
		end(leader)
		d.StartLater(delay, leader)
	})
}

// replace replaces a core or a store by an empty machine.
func (d *day) replace(m *Machine) {
	for _, core := range d.cores {
		if core == m {
			d.ReplaceCore(m)
			return
		}
	}
	d.ReplaceStore(m)
}

// injectMachineFault injects a fault of the network, clock or disk into a quorum machine, whose processes go on running.
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
func (d *day) injectEdgeFault(fault Fault, edge, endpointMachine *Machine) {
	switch fault.Kind {
	case ProxyKillFault:
		d.KillProcess(edge.processes[1])
	case AgentKillFault:
		d.KillProcess(edge.processes[0])
	case EndpointReplaceFault:
		service := endpointMachine.processes[0].handler.(*endpoint).service
		swapped := toolService
		if service == toolService {
			swapped = modelService
		}
		d.ReplaceEndpoint(endpointMachine, swapped)
		d.loop.After(fault.For, func() { d.ReplaceEndpoint(endpointMachine, service) })
	case ResponseLossFault:
		endpointMachine.processes[0].handler.(*endpoint).neverAnswers = true
		d.recordFault()
		d.loop.After(fault.For, func() { endpointMachine.processes[0].handler.(*endpoint).neverAnswers = false })
	case AckLossFault:
		d.operators[0].ackLossRate = 0.7
		d.loop.After(fault.For, func() { d.operators[0].ackLossRate = 0 })
	case OrderRaceFault:
		d.send(d.operators[1], func() {})
	}
}
