package simulation

import (
	"time"

	"mastusher/internal/tier/standin"
)

// Sizes, durations and rates of the faults.
const (
	ackTimeout          = 3 * time.Second      // how long a fault waits for an acknowledgement
	maxAckFaultDelay    = 4 * time.Millisecond // from the acknowledgement to the fault
	slowSyncTime        = 120 * time.Millisecond
	slowLinkDelay       = 60 * time.Millisecond
	freeBytes           = 200             // left on a full disk
	clockStepBack       = 3 * time.Second // subtracted from a clock fault's duration, so that clocks step both ways
	faultyRequestRate   = 0.2             // share of requests that a faulty endpoint fails
	injectedAckLossRate = 0.7
)

// inject injects a fault of a machine or process, and passes other kinds on to injectLinkOrDiskFault.
func (d *day) inject(fault Fault) {
	d.trace("FAULT %+v", fault)
	machines := d.quorumMachines()
	target := machines[fault.Target%len(machines)]
	edges := d.machinesOf(edgeClass)
	edge := edges[fault.Target%len(edges)]
	seed := d.options.Seed + uint64(fault.At)
	switch fault.Kind {
	case KillFault:
		target.kill()
		d.startLater(fault.For, target)
	case PowerLossFault:
		target.losePower(seed)
		d.startLater(fault.For, target)
	case KillAllFault:
		d.endAll(fault, (*machine).kill)
	case PowerLossAllFault:
		d.endAll(fault, func(m *machine) { m.losePower(seed) })
	case TermFault:
		d.restartMachine(target)
	case HangUpFault:
		for _, p := range target.currentProcesses() {
			p.sendHangup()
		}
	case FreezeFault:
		target.host.Freeze()
		d.after(fault.For, target.host.Thaw)
	case DiskLossFault:
		target.loseDisk(seed)
		d.startLater(fault.For, target)
	case AckKillFault:
		d.afterAcknowledgement(fault, func(controller *machine) { controller.kill() })
	case AckPowerLossFault:
		d.afterAcknowledgement(fault, func(controller *machine) { controller.losePower(seed) })
	case AckDiskLossFault:
		d.afterAcknowledgement(fault, func(controller *machine) { controller.loseDisk(seed) })
	case AckPowerLossAllFault:
		d.afterAcknowledgement(fault, func(*machine) { d.endAll(fault, func(m *machine) { m.losePower(seed) }) })
	case ReplaceFault, PlannedReplaceFault:
		d.replaceMachine(target, fault)
	case ClockStepFault:
		target.stepClock(fault.For - clockStepBack)
	case ProxyKillFault, AgentKillFault:
		d.killProcess(edge, fault)
	case EdgeTermFault:
		d.restartMachine(edge)
	default:
		d.injectLinkOrDiskFault(fault, target, edge)
	}
}

// injectLinkOrDiskFault injects a fault of a link or disk, and passes other kinds on to injectExternalFault.
func (d *day) injectLinkOrDiskFault(fault Fault, target, edge *machine) {
	all := d.machinesOf(coreClass, storageClass, edgeClass)
	switch fault.Kind {
	case PartitionFault:
		d.partition(fault.For, []*machine{target}, all, bothWays)
	case PartitionQuorumFault:
		d.partition(fault.For, []*machine{target}, d.quorumMachines(), bothWays)
	case PartitionOutboundFault:
		d.partition(fault.For, []*machine{target}, all, outbound)
	case PartitionInboundFault:
		d.partition(fault.For, []*machine{target}, all, inbound)
	case PartitionZoneFault:
		near, far := d.splitByZone(target)
		d.partition(fault.For, near, far, bothWays)
	case EdgePartitionFault:
		d.partition(fault.For, []*machine{edge}, d.quorumMachines(), bothWays)
	case RefuseFault:
		d.refuseConnections(fault.For, target)
	case ResetFault:
		machines := d.quorumMachines()
		d.network.Reset(target.host, machines[fault.Other%len(machines)].host)
	case SlowLinkFault:
		d.slowLinks(fault.For, target)
	case SlowDiskFault:
		target.setDisk(func(d *disk) { d.syncTime = slowSyncTime })
		d.after(fault.For, func() { target.setDisk(func(d *disk) { d.syncTime = defaultSyncTime }) })
	case StalledDiskFault:
		target.setDisk(func(d *disk) { d.stalled = true })
		d.after(fault.For, func() { target.setDisk(func(d *disk) { d.stalled = false }) })
	case FullDiskFault:
		d.fillDisk(fault.For, target)
	default:
		d.injectExternalFault(fault)
	}
}

// injectExternalFault injects a fault of the endpoints, the platform or the operators.
func (d *day) injectExternalFault(fault Fault) {
	endpoints := d.environment.endpoints
	target := endpoints[fault.Target%len(endpoints)]
	switch fault.Kind {
	case EndpointPartitionFault:
		for _, edge := range d.machinesOf(edgeClass) {
			d.network.Partition(edge.host, target.host)
			d.network.Partition(target.host, edge.host)
		}
		d.after(fault.For, func() { d.healEndpoint(target) })
	case EndpointResetFault:
		for _, edge := range d.machinesOf(edgeClass) {
			d.network.Reset(edge.host, target.host)
		}
	case ResponseLossFault:
		d.failRequests(fault.For, standin.LoseResponse)
	case ResponseTruncatedFault:
		d.failRequests(fault.For, standin.TruncateResponse)
	case EndpointErrorFault:
		d.failRequests(fault.For, standin.FailResponse)
	case EndpointOverloadFault:
		d.failRequests(fault.For, standin.RejectFull)
	case EndpointUnreadFault:
		d.failRequests(fault.For, standin.DropRequest)
	case PlatformDownFault:
		d.environment.platform.SetDown(true)
		d.after(fault.For, func() { d.environment.platform.SetDown(false) })
	case AckLossFault:
		d.setAckLossRate(injectedAckLossRate)
		d.after(fault.For, func() { d.setAckLossRate(0) })
	case OrderRaceFault:
		d.raceOrders(fault)
	case InvalidOrderFault:
		d.sendInvalidOrders()
	case DuplicateOrderFault:
		d.resendEarlierOrder(fault)
	default:
		d.report("HARNESS", "unknown kind of fault %q", fault.Kind)
	}
}
