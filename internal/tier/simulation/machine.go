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

// rolesOf lists the roles that run on a machine of each class, a process each.
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

	initial   bool // exists since the first start of the tier
	starts    int
	processes map[role]*process
	disk      *disk
	clockStep time.Duration // offset of its clock from the true time
	removed   bool
	down      bool // its processes must not run
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

// setDisk calls change with the machine's disk, under the fleet's mutex.
func (m *machine) setDisk(change func(d *disk)) {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	change(m.disk)
}

// currentProcesses returns the process last started in each role.
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

// startAll starts all roles of the machine if it is down.
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

// restart starts the role of a process that has ended, unless the role has been started since.
func (m *machine) restart(ended *process) {
	m.fleet.mutex.Lock()
	allowed := !m.down && !m.removed && !m.fleet.closed && m.processes[ended.role] == ended
	m.fleet.mutex.Unlock()
	if allowed {
		m.start(ended.role)
	}
}

// setDown records that the machine's processes must not run; it returns false if the machine was down already.
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

// losePower ends all processes at once, without resets of their connections, and drops writes that were not synced.
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

// loseDisk is losePower, and the disk is empty at the next start.
func (m *machine) loseDisk(seed uint64) {
	m.losePower(seed)
	m.setDisk(func(d *disk) { *d = disk{memory: memorydisk.New(), syncTime: d.syncTime} })
}

// terminateAll sends SIGTERM to all processes, and waits until they have ended.
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
