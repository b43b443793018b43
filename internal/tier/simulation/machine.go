package simulation

import (
	"net"
	"strconv"
	"time"

	"mastusher/internal/tier/network/memorynetwork"
	"mastusher/internal/tier/storage/memorydisk"
)

// class is a kind of machine.
type class string

// The classes.
const (
	coreClass    class = "core"
	storageClass class = "storage"
	edgeClass    class = "edge"
)

// rolesOf are the processes that run on a machine.
var rolesOf = map[class][]role{
	coreClass:    {controllerRole},
	storageClass: {storeRole},
	edgeClass:    {agentRole, proxyRole},
}

// machine is one machine of the tier. The fleet's mutex guards its fields below.
type machine struct {
	fleet *Fleet
	name  string
	class class
	zone  string
	host  *memorynetwork.Machine
	roles []role

	initial   bool // was there at the first start of the system
	starts    int
	processes map[role]*process
	disk      *disk
	clockStep time.Duration // of its clock
	removed   bool
	down      bool // its processes aren't to run
}

// countsForQuorum reports whether the machine has replicas, so that its loss counts towards a quorum.
func (m *machine) countsForQuorum() bool { return m.class != edgeClass }

func (m *machine) address(port int) string {
	return net.JoinHostPort(m.host.Address(), strconv.Itoa(port))
}

func (m *machine) clockOffset() time.Duration {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	return m.clockStep
}

func (m *machine) stepClock(by time.Duration) {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	m.clockStep += by
}

func (m *machine) syncTime() time.Duration {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	return m.disk.syncTime
}

func (m *machine) diskStalls() bool {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	return m.disk.stalled
}

// setDisk changes the state of the disk.
func (m *machine) setDisk(change func(d *disk)) {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	change(m.disk)
}

// currentProcesses lists the machine's processes that have been started last.
func (m *machine) currentProcesses() []*process {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	var current []*process
	for _, r := range m.roles {
		if p := m.processes[r]; p != nil {
			current = append(current, p)
		}
	}
	return current
}

// startAll starts all roles of a machine that is down.
func (m *machine) startAll() {
	m.fleet.mutex.Lock()
	allowed := m.down && !m.removed
	m.down = false
	m.fleet.mutex.Unlock()
	if !allowed {
		return
	}
	m.host.PowerOn()
	for _, r := range m.roles {
		m.start(r)
	}
}

// restart starts the role of a process that has ended, unless another start of it has begun.
func (m *machine) restart(ended *process) {
	m.fleet.mutex.Lock()
	allowed := !m.down && !m.removed && !m.fleet.closed && m.processes[ended.role] == ended
	m.fleet.mutex.Unlock()
	if allowed {
		m.start(ended.role)
	}
}

// setDown records that the machine's processes must not run; false means that it was down.
func (m *machine) setDown() bool {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	was := m.down
	m.down = true
	return !was
}

// kill ends all processes.
func (m *machine) kill() {
	if !m.setDown() {
		return
	}
	for _, p := range m.currentProcesses() {
		p.kill()
	}
}

// losePower ends all processes without resets or shutdown, and loses what was not synced.
func (m *machine) losePower(seed uint64) {
	if !m.setDown() {
		return
	}
	current := m.currentProcesses()
	hosts := make([]*memorynetwork.Process, len(current))
	for i, p := range current {
		p.setDead()
		hosts[i] = p.network
	}
	m.host.PowerOff(hosts...)
	m.disk.memory.LosePower(seed)
	for _, p := range current {
		p.terminate()
	}
}

// loseDisk is losePower with an empty disk at the next start.
func (m *machine) loseDisk(seed uint64) {
	m.losePower(seed)
	m.setDisk(func(d *disk) { *d = disk{memory: memorydisk.New(), syncTime: d.syncTime} })
}

// terminateAll sends SIGTERM to all processes, and returns when they have ended.
func (m *machine) terminateAll() {
	if !m.setDown() {
		return
	}
	for _, p := range m.currentProcesses() {
		m.fleet.goroutines.Add(1)
		go func() {
			defer m.fleet.goroutines.Done()
			p.stop()
		}()
	}
	for _, p := range m.currentProcesses() {
		<-p.ended
	}
}
