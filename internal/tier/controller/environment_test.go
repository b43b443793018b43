package controller

import (
	"time"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/view"
)

// environment are what the machines, disks and links of a cluster in memory are like. Zero speeds take no time.
type environment struct {
	faultTolerance int           // machines that may be lost at once
	joinDelay      time.Duration // from a start, or the end of a partition or freeze, until the others know of it
	suspicionDelay time.Duration // from a loss until it is suspected; 0: it never is
	deathDelay     time.Duration // from a loss until it is taken for dead
	syncTime       time.Duration // of a disk
	diskBytesPerS  int           // bytes a second that a disk writes
	linkBytesPerS  int           // bytes a second that a machine's link takes, each way
}

// Two kinds of sites. Suspicion and death are the longest that were measured in a fleet of the size (membership's
// TestControllers_MemberWithReplicasDies_SuspectItWithinTheBound).
var (
	fastSite = environment{faultTolerance: 1, joinDelay: 300 * time.Millisecond, suspicionDelay: 1850 * time.Millisecond, deathDelay: 4350 * time.Millisecond,
		syncTime: 500 * time.Microsecond, diskBytesPerS: 120_000_000, linkBytesPerS: 600_000_000 / 8}
	slowSite = environment{faultTolerance: 1, joinDelay: 300 * time.Millisecond, suspicionDelay: 1850 * time.Millisecond, deathDelay: 4350 * time.Millisecond,
		syncTime: 5 * time.Millisecond, diskBytesPerS: 120_000_000, linkBytesPerS: 150_000_000 / 8}
)

// large is the same site with more machines, of which two may be lost at once.
func (s environment) large() environment {
	s.faultTolerance, s.deathDelay = 2, 5300*time.Millisecond
	return s
}

// machineFleet is the fleet as one machine sees it.
type machineFleet struct{ machine *testMachine }

// Members implements Fleet.
func (s machineFleet) Members() []membership.Member {
	c := s.machine.cluster
	var members []membership.Member
	for _, m := range c.sorted() {
		if !m.known {
			continue
		}
		seen := m.advertised
		if m != s.machine && s.machine.partitionedAt > 0 {
			seen.State = c.environment.stateAfter(c.now-s.machine.partitionedAt, seen.State)
		}
		members = append(members, seen)
	}
	return members
}

// Publish implements Fleet.
func (s machineFleet) Publish(update view.Update) {
	if s.machine.isReachable() {
		s.machine.cluster.Publish(update)
	}
}

// stateAfter is what is believed of a member that has been silent for so long.
func (s environment) stateAfter(silent time.Duration, before membership.State) membership.State {
	switch {
	case silent >= s.deathDelay:
		return max(before, membership.StateDead)
	case s.suspicionDelay > 0 && silent >= s.suspicionDelay:
		return max(before, membership.StateSuspect)
	}
	return before
}

// isReachable tells whether the machine runs and isn't partitioned.
func (m *testMachine) isReachable() bool { return m.running && m.partitionedAt == 0 }

// markAlive has the others learn that the machine is there.
func (m *testMachine) markAlive() {
	m.membershipChanges++
	absence, cluster := m.membershipChanges, m.cluster
	show := func() {
		if m.membershipChanges == absence {
			m.advertised, m.known = m.member, true
			m.advertised.State = membership.StateAlive
		}
	}
	if cluster.environment.joinDelay == 0 {
		show()
		return
	}
	cluster.after(cluster.environment.joinDelay, show)
}

// markFailed has the others learn that the machine is silent.
func (m *testMachine) markFailed() {
	m.membershipChanges++
	absence, cluster := m.membershipChanges, m.cluster
	believe := func(state membership.State) func() {
		return func() {
			if m.membershipChanges == absence {
				m.advertised.State = max(m.advertised.State, state)
			}
		}
	}
	if cluster.environment.suspicionDelay > 0 {
		cluster.after(cluster.environment.suspicionDelay, believe(membership.StateSuspect))
	}
	cluster.after(cluster.environment.deathDelay, believe(membership.StateDead))
}

// partition isolates the machine from all others.
func (m *testMachine) partition() {
	m.partitionedAt = m.cluster.now
	m.markFailed()
}

// heal ends a partition.
func (m *testMachine) heal() {
	m.partitionedAt = 0
	m.markAlive()
	m.cluster.after(m.cluster.environment.joinDelay, m.applyNewest)
}

// freeze has the machine stand still.
func (m *testMachine) freeze() {
	m.frozen = true
	m.markFailed()
}

// thaw ends that.
func (m *testMachine) thaw() {
	m.frozen = false
	m.markAlive()
}

// losePower ends the machine's process; of what wasn't synced, a part may last.
func (m *testMachine) losePower(seed uint64) {
	m.kill()
	m.disk.LosePower(seed)
}

// transferTimeout is how long a process that is to end waits for other leaders, at most.
const transferTimeout = time.Second

// terminate ends the process as SIGTERM does: it leaves, hands its groups over and ends.
func (m *testMachine) terminate() {
	c, generation := m.cluster, m.starts
	m.membershipChanges++
	m.advertised.State = membership.StateLeft
	for _, running := range m.groups {
		running.TransferLeadership()
	}
	c.after(transferTimeout, func() {
		if m.starts == generation {
			m.running = false
			m.disk.Kill()
		}
	})
}

// messageBytes is about what a message takes beside what it brings.
const messageBytes = 256

func sizeOf(message *replica.Message) int {
	size := messageBytes
	for i := range message.Entries {
		size += len(message.Entries[i].Data)
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.State)
	}
	return size
}

// send puts a message on the way: over the link of the machine, then over that of the receiver.
func (m *testMachine) send(address string, envelope group.Envelope) {
	c := m.cluster
	arrives := c.now
	if to := c.machines[address]; to != nil && c.environment.linkBytesPerS > 0 {
		takes := timeFor(sizeOf(&envelope.Message), c.environment.linkBytesPerS)
		m.linkFree = max(m.linkFree, c.now) + takes
		to.inboxFree = max(to.inboxFree, m.linkFree-takes) + takes
		arrives = to.inboxFree
	}
	c.inFlight = append(c.inFlight, inFlightMessage{due: arrives + clusterStep, from: m, address: address, envelope: envelope})
}

func timeFor(bytes, perSecond int) time.Duration {
	return time.Duration(float64(bytes) / float64(perSecond) * float64(time.Second))
}

// runGroup has a group take its turn, unless it waits for the disk. What it sends leaves when the disk has done its part.
func (m *testMachine) runGroup(running *group.Group) error {
	cluster := m.cluster
	if cluster.now < m.busy[running] || m.diskFault == stalledDisk {
		return nil
	}
	if err := m.reopen(running); err != nil {
		return err
	}
	before, queued := m.disk.Counts(), len(cluster.inFlight)
	_, err := running.RunOnce()
	if err != nil && m.diskFault != healthy {
		m.broken[running] = true
		m.busy[running] = cluster.now + reopenDelay
		return nil
	}
	after := m.disk.Counts()
	cost := time.Duration(after.Syncs-before.Syncs+after.DirSyncs-before.DirSyncs) * cluster.environment.syncTime
	if cluster.environment.diskBytesPerS > 0 {
		cost += timeFor(int(after.BytesWritten-before.BytesWritten), cluster.environment.diskBytesPerS)
	}
	if m.diskFault == slowDisk {
		cost *= slowDiskFactor
	}
	if cost == 0 {
		return err
	}
	m.diskFree = max(m.diskFree, cluster.now) + cost
	m.busy[running] = m.diskFree
	for i := range cluster.inFlight[queued:] {
		cluster.inFlight[queued+i].due += m.diskFree - cluster.now
	}
	return err
}

// node is the name of the machine.
func (m *testMachine) node() string { return placement.NodeOf(m.member.Name) }

// diskFault is what is wrong with a disk.
type diskFault string

// The faults of disks.
const (
	healthy     diskFault = ""
	slowDisk    diskFault = "slow disk"
	fullDisk    diskFault = "full disk"
	stalledDisk diskFault = "stalled disk"
)

const (
	slowDiskFactor = 30                     // how many times as long a slow disk takes
	reopenDelay    = 300 * time.Millisecond // from a failure of the disk until a group begins anew, as group does
)

// injectDiskFault injects a fault of the machine's disk, or ends it.
func (m *testMachine) injectDiskFault(what diskFault) {
	m.diskFault = what
	m.disk.SetCapacity(0)
	if what == fullDisk {
		m.disk.SetCapacity(1)
	}
}

// retryStart retries a start that a disk fault has made fail, as the process does.
func (m *testMachine) retryStart(err error) {
	if m.diskFault == healthy {
		m.cluster.t.Fatal(err)
	}
	m.kill()
	generation := m.starts
	m.cluster.after(reopenDelay, func() {
		if m.starts == generation {
			m.start()
		}
	})
}

// reopen has a group reopen that its disk has broken.
func (m *testMachine) reopen(running *group.Group) error {
	if !m.broken[running] {
		return nil
	}
	err := running.Reopen()
	switch {
	case err == nil:
		delete(m.broken, running)
	case m.diskFault != healthy:
		m.busy[running] = m.cluster.now + reopenDelay
		err = nil
	}
	return err
}
