package simulation

import (
	"time"

	"mastusher/internal/tier/standin"
)

// What the troubles are like.
const (
	ackWait       = 3 * time.Second // for which a fault waits for an acknowledgement
	ackPause      = 4 * time.Millisecond
	slowSync      = 120 * time.Millisecond
	slowLink      = 60 * time.Millisecond
	fullBytes     = 200
	clockBack     = 3 * time.Second
	troubledShare = 0.2
	lostAcks      = 0.7
)

// strike brings a fault about.
func (d *day) strike(fault Fault) {
	d.trace("FAULT %+v", fault)
	counting := d.counting()
	m := counting[fault.Target%len(counting)]
	edges := d.of(edgeClass)
	edge := edges[fault.Target%len(edges)]
	seed := d.options.Seed + uint64(fault.At)
	switch fault.Kind {
	case KillFault:
		m.kill()
		d.startLater(fault.For, m)
	case PowerFault:
		m.losePower(seed)
		d.startLater(fault.For, m)
	case HerdKillFault:
		d.herd(fault, (*machine).kill)
	case HerdPowerFault:
		d.herd(fault, func(m *machine) { m.losePower(seed) })
	case TermFault:
		d.restart(m)
	case HangUpFault:
		for _, p := range m.current() {
			p.hangUp()
		}
	case FreezeFault:
		m.host.Freeze()
		d.after(fault.For, m.host.Thaw)
	case DiskFault:
		m.loseDisk(seed)
		d.startLater(fault.For, m)
	case AckKillFault:
		d.onAck(fault, func(acting *machine) { acting.kill() })
	case AckPowerFault:
		d.onAck(fault, func(acting *machine) { acting.losePower(seed) })
	case AckWipeFault:
		d.onAck(fault, func(acting *machine) { acting.loseDisk(seed) })
	case AckHerdFault:
		d.onAck(fault, func(*machine) { d.herd(fault, func(m *machine) { m.losePower(seed) }) })
	case ReplaceFault, ReplacePlannedFault:
		d.replace(m, fault)
	case ClockFault:
		m.stepClock(fault.For - clockBack)
	case ProxyFault, AgentFault:
		d.killOne(edge, fault)
	case EdgeTermFault:
		d.restart(edge)
	default:
		d.strikeLinks(fault, m, edge)
	}
}

// strikeLinks brings about a fault of a link, a disk, an endpoint, the platform or an operator.
func (d *day) strikeLinks(fault Fault, m, edge *machine) {
	everyone := d.of(coreClass, storageClass, edgeClass)
	switch fault.Kind {
	case CutFault:
		d.cut(fault.For, []*machine{m}, everyone, true, true)
	case CutCoreFault:
		d.cut(fault.For, []*machine{m}, d.counting(), true, true)
	case CutOutFault:
		d.cut(fault.For, []*machine{m}, everyone, true, false)
	case CutInFault:
		d.cut(fault.For, []*machine{m}, everyone, false, true)
	case CutZoneFault:
		near, far := d.zonesApart(m)
		d.cut(fault.For, near, far, true, true)
	case EdgeCutFault:
		d.cut(fault.For, []*machine{edge}, d.counting(), true, true)
	case CutResetFault:
		d.refuse(fault.For, m)
	case ResetFault:
		counting := d.counting()
		d.network.Reset(m.host, counting[fault.Other%len(counting)].host)
	case SlowLinkFault:
		d.slow(fault.For, m)
	case SlowDiskFault:
		m.setDisk(func(d *disk) { d.syncTime = slowSync })
		d.after(fault.For, func() { m.setDisk(func(d *disk) { d.syncTime = usualSync }) })
	case StalledDiskFault:
		m.setDisk(func(d *disk) { d.stalled = true })
		d.after(fault.For, func() { m.setDisk(func(d *disk) { d.stalled = false }) })
	case FullDiskFault:
		d.fill(fault.For, m)
	default:
		d.strikeOthers(fault)
	}
}

// strikeOthers brings about a fault of those around the tier.
func (d *day) strikeOthers(fault Fault) {
	endpoints := d.around.endpoints
	target := endpoints[fault.Target%len(endpoints)]
	switch fault.Kind {
	case EndpointCutFault:
		for _, edge := range d.of(edgeClass) {
			d.network.Partition(edge.host, target.host)
			d.network.Partition(target.host, edge.host)
		}
		d.after(fault.For, func() { d.joinEndpoint(target) })
	case EndpointResetFault:
		for _, edge := range d.of(edgeClass) {
			d.network.Reset(edge.host, target.host)
		}
	case AnswerLostFault:
		d.trouble(fault.For, standin.LoseResponse)
	case AnswerCutFault:
		d.trouble(fault.For, standin.TruncateResponse)
	case EndpointErrorFault:
		d.trouble(fault.For, standin.FailResponse)
	case EndpointFullFault:
		d.trouble(fault.For, standin.RejectFull)
	case UnreadFault:
		d.trouble(fault.For, standin.DropRequest)
	case PlatformFault:
		d.around.platform.SetDown(true)
		d.after(fault.For, func() { d.around.platform.SetDown(false) })
	case AckLostFault:
		d.setLostAcks(lostAcks)
		d.after(fault.For, func() { d.setLostAcks(0) })
	case RaceFault:
		d.race(fault)
	case BadConfigFault:
		d.orderInvalid()
	case RepeatFault:
		d.repeatEarlier(fault)
	default:
		d.report("HARNESS", "no fault of the kind %q", fault.Kind)
	}
}

// startLater starts a machine after a pause.
func (d *day) startLater(pause time.Duration, m *machine) { d.after(pause, m.startAll) }

// herd strikes all counting machines at once; each comes back by itself within the fault's time.
func (d *day) herd(fault Fault, strike func(*machine)) {
	for _, m := range d.counting() {
		strike(m)
		d.startLater(time.Duration(d.intN(int(fault.For)+1)), m)
	}
}

// restart stops a machine's processes with SIGTERM and starts them again.
func (d *day) restart(m *machine) {
	d.running.Go(func() {
		m.terminateAll()
		m.startAll()
	})
}

// killOne kills one process of an edge, which the platform starts again.
func (d *day) killOne(edge *machine, fault Fault) {
	wanted := proxyRole
	if fault.Kind == AgentFault {
		wanted = agentRole
	}
	for _, p := range edge.current() {
		if p.role == wanted {
			p.kill()
			d.after(restartPause, func() { edge.startAgain(p) })
		}
	}
}

// onAck strikes the machine that acknowledges the next order, and starts it again.
func (d *day) onAck(fault Fault, strike func(*machine)) {
	d.Fleet.mutex.Lock()
	defer d.Fleet.mutex.Unlock()
	until := d.now() + ackWait
	d.acknowledged = func(acting *machine) {
		if d.now() > until {
			return
		}
		time.Sleep(time.Duration(d.intN(int(ackPause))))
		d.trace("FAULT strikes %s", acting.name)
		strike(acting)
		d.startLater(fault.For, acting)
	}
}

// replace takes a machine away for good and starts an empty one at another address.
func (d *day) replace(old *machine, fault Fault) {
	next := d.add(old.class)
	next.zone = old.zone
	remove := func() {
		d.Fleet.mutex.Lock()
		old.removed = true
		d.Fleet.mutex.Unlock()
		d.after(seedDelay, d.renewSeeds)
	}
	if fault.Kind == ReplacePlannedFault {
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

// renewSeeds has the operators and the settings files name the controllers that there are.
func (d *day) renewSeeds() {
	addresses := d.controlAddresses()
	d.Fleet.mutex.Lock()
	d.seedAddresses = addresses
	d.Fleet.mutex.Unlock()
	for _, m := range d.of(coreClass, storageClass, edgeClass) {
		for _, r := range m.roles {
			d.writeSettings(m, r)
		}
	}
}

// cut cuts machines from others, in the directions that are told.
func (d *day) cut(lasts time.Duration, some, others []*machine, out, in bool) {
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
		if out {
			d.network.Partition(a.host, b.host)
		}
		if in {
			d.network.Partition(b.host, a.host)
		}
	})
	d.after(lasts, func() { each(d.join) })
}

func (d *day) join(a, b *machine) {
	d.network.Heal(a.host, b.host)
	d.network.Heal(b.host, a.host)
}

// zonesApart parts the machines into those of a machine's zone and the others.
func (d *day) zonesApart(m *machine) (near, far []*machine) {
	for _, other := range d.of(coreClass, storageClass, edgeClass) {
		if other.zone == m.zone {
			near = append(near, other)
		} else {
			far = append(far, other)
		}
	}
	return near, far
}

// refuse resets and refuses connections between a machine and the other counting ones.
func (d *day) refuse(lasts time.Duration, m *machine) {
	others := d.counting()
	for _, other := range others {
		if other != m {
			d.network.Refuse(m.host, other.host)
			d.network.Refuse(other.host, m.host)
		}
	}
	d.after(lasts, func() {
		for _, other := range others {
			d.join(m, other)
		}
	})
}

// slow delays what a machine sends to the other counting ones.
func (d *day) slow(lasts time.Duration, m *machine) {
	others := d.counting()
	set := func(by time.Duration) {
		for _, other := range others {
			d.network.SetExtraDelay(m.host, other.host, by)
		}
	}
	set(slowLink)
	d.after(lasts, func() { set(0) })
}

// fill leaves few bytes free on a machine's disk.
func (d *day) fill(lasts time.Duration, m *machine) {
	memory := m.disk.memory
	names, err := memory.List()
	if err != nil {
		return
	}
	used := int64(fullBytes)
	for _, name := range names {
		used += memory.Size(name)
	}
	memory.SetCapacity(used)
	d.after(lasts, func() { memory.SetCapacity(0) })
}

// trouble has the endpoints do something wrong with some requests.
func (d *day) trouble(lasts time.Duration, fault standin.Fault) {
	d.troubleEndpoints(endpointTrouble{share: troubledShare, fault: fault})
	d.after(lasts, func() { d.troubleEndpoints(endpointTrouble{}) })
}

func (d *day) joinEndpoint(target *endpoint) {
	for _, edge := range d.of(edgeClass) {
		d.network.Heal(edge.host, target.host)
		d.network.Heal(target.host, edge.host)
	}
}

func (d *day) setLostAcks(share float64) {
	d.Fleet.mutex.Lock()
	defer d.Fleet.mutex.Unlock()
	d.lostAcks = share
}
