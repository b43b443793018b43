package fleettest

import (
	"fmt"
	"time"
)

// Kill ends all processes of machines at once.
func (f *Fleet) Kill(machines ...*Machine) {
	f.mark()
	for _, m := range machines {
		f.trace("kill %s", m.name)
		m.kill()
	}
}

// LosePower takes the power from machines at once: what they had not synced may be gone.
func (f *Fleet) LosePower(machines ...*Machine) {
	f.mark()
	for _, m := range machines {
		f.trace("%s loses power", m.name)
		m.losePower()
	}
}

// LoseDisk ends a machine's processes and empties its disk.
func (f *Fleet) LoseDisk(m *Machine) {
	f.mark()
	f.trace("%s loses its disk", m.name)
	m.losePower()
	m.wipe()
}

// Start starts machines that are down.
func (f *Fleet) Start(machines ...*Machine) {
	f.mark()
	for _, m := range machines {
		m.start()
	}
}

// StartLater starts machines after a pause.
func (f *Fleet) StartLater(pause time.Duration, machines ...*Machine) {
	f.loop.after(pause, func() { f.Start(machines...) })
}

// Freeze stops a machine without ending anything.
func (f *Fleet) Freeze(m *Machine) {
	f.mark()
	f.trace("%s freezes", m.name)
	m.frozen = true
}

// Thaw lets a frozen machine go on.
func (f *Fleet) Thaw(m *Machine) {
	f.mark()
	f.trace("%s thaws", m.name)
	m.thaw()
}

// Cut cuts machines off from others, in both directions.
func (f *Fleet) Cut(some, others []*Machine) {
	f.mark()
	for _, a := range some {
		for _, b := range others {
			if a != b {
				f.trace("cut %s | %s", a.name, b.name)
				f.network.setCut(a, b, true)
				f.network.setCut(b, a, true)
			}
		}
	}
}

// CutOneWay loses what one machine sends to another.
func (f *Fleet) CutOneWay(from, to *Machine) {
	f.mark()
	f.trace("cut %s > %s", from.name, to.name)
	f.network.setCut(from, to, true)
}

// Join joins machines with others again.
func (f *Fleet) Join(some, others []*Machine) {
	f.mark()
	for _, a := range some {
		for _, b := range others {
			f.network.setCut(a, b, false)
			f.network.setCut(b, a, false)
		}
	}
}

// Heal joins all links.
func (f *Fleet) Heal() {
	f.mark()
	f.trace("all links are joined")
	f.network.heal()
}

// Reset resets all connections between two machines.
func (f *Fleet) Reset(a, b *Machine) {
	f.mark()
	f.trace("reset %s %s", a.name, b.name)
	f.network.reset(a, b)
}

// StepClock sets a machine's time of day.
func (f *Fleet) StepClock(m *Machine, by time.Duration) {
	f.mark()
	f.trace("%s: clock steps by %v", m.name, by)
	m.clockOffset += by
}

// Silence keeps a machine's disk from answering; Speak ends that.
func (f *Fleet) Silence(m *Machine) {
	f.mark()
	f.trace("%s: disk is silent", m.name)
	m.diskSilent = true
}

// Speak lets a silent disk go on.
func (f *Fleet) Speak(m *Machine) {
	f.mark()
	m.wakeDisk()
}

// SlowDisk sets how long a machine's syncs take.
func (f *Fleet) SlowDisk(m *Machine, sync time.Duration) {
	f.mark()
	f.trace("%s: syncs take %v", m.name, sync)
	m.syncTime = sync
}

// FillDisk leaves so many bytes free on a machine's disk; a negative number leaves all.
func (f *Fleet) FillDisk(m *Machine, free int64) {
	f.mark()
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

// ReplaceCore takes a controller's machine away for good and starts an empty one at another address.
func (f *Fleet) ReplaceCore(old *Machine) *Machine {
	next := f.addCore(fmt.Sprintf("core-%d", f.hosts+1), len(f.cores))
	f.cores = f.replace(f.cores, old, next)
	cores := f.currentCores()
	f.loop.after(seedDelay, func() { f.coreList = cores })
	return next
}

// ReplaceStore takes a store's machine away for good and starts an empty one at another address.
func (f *Fleet) ReplaceStore(old *Machine) *Machine {
	next := f.addStore(fmt.Sprintf("store-%d", f.hosts+1), len(f.stores))
	f.stores = f.replace(f.stores, old, next)
	return next
}

func (f *Fleet) replace(machines []*Machine, old, next *Machine) []*Machine {
	f.mark()
	f.trace("%s is replaced by %s", old.name, next.name)
	old.losePower()
	old.removed = true
	next.first = false
	next.zone = old.zone
	kept := []*Machine{}
	for _, m := range machines {
		if m != old {
			kept = append(kept, m)
		}
	}
	f.loop.after(f.loop.between(0, restartPeriod), next.start)
	return append(kept, next)
}

// ReplaceEndpoint ends an endpoint and starts another one, of any service, at its address.
func (f *Fleet) ReplaceEndpoint(m *Machine, service string) {
	f.mark()
	p := m.processes[0]
	p.end(true)
	p.starts = openEndpoint(&service)
	p.start()
}

// KillProcess ends one process of an edge machine; it is started again after a pause.
func (f *Fleet) KillProcess(p *process) {
	if !p.up() {
		return
	}
	f.mark()
	f.trace("kill %s", p.name)
	p.end(true)
	p.startLater(restartPause)
}
