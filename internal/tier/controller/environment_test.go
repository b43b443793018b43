package controller

import (
	"time"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/view"
)

// environment sets the delays of membership and the speeds of disks and links of a cluster in memory. A speed of 0 is unlimited.
type environment struct {
	faultTolerance int           // number of machines that may be lost at once
	joinDelay      time.Duration // from a start, or the end of a partition or freeze, until membership considers the machine alive
	suspicionDelay time.Duration // from a loss until membership suspects it; 0: never
	deathDelay     time.Duration // from a loss until membership considers the machine dead
	syncTime       time.Duration // duration of a disk's sync
	diskBytesPerS  int           // write speed of a disk
	linkBytesPerS  int           // speed of a machine's link, each way
}

// Two kinds of sites. suspicionDelay and deathDelay are the maxima in a fleet of this size (membership's
// TestControllers_MemberWithReplicasDies_SuspectItWithinTheBound).
var (
	fastSite = environment{faultTolerance: 1, joinDelay: 300 * time.Millisecond, suspicionDelay: 1850 * time.Millisecond, deathDelay: 4350 * time.Millisecond,
		syncTime: 500 * time.Microsecond, diskBytesPerS: 120_000_000, linkBytesPerS: 600_000_000 / 8}
	slowSite = environment{faultTolerance: 1, joinDelay: 300 * time.Millisecond, suspicionDelay: 1850 * time.Millisecond, deathDelay: 4350 * time.Millisecond,
		syncTime: 5 * time.Millisecond, diskBytesPerS: 120_000_000, linkBytesPerS: 150_000_000 / 8}
)

// large returns the same site with more machines, of which two may be lost at once.
func (e environment) large() environment {
	e.faultTolerance, e.deathDelay = 2, 5300*time.Millisecond
	return e
}

// machineFleet implements Fleet as one machine sees membership.
type machineFleet struct{ machine *testMachine }

// Members implements Fleet.
func (f machineFleet) Members() []membership.Member {
	c := f.machine.cluster
	var members []membership.Member
	for _, m := range c.sorted() {
		if !m.known {
			continue
		}
		seen := m.advertised
		if m != f.machine && f.machine.partitionedAt > 0 {
			seen.State = c.environment.stateAfter(c.now-f.machine.partitionedAt, seen.State)
		}
		members = append(members, seen)
	}
	return members
}

// Publish implements Fleet.
func (f machineFleet) Publish(update view.Update) {
	if f.machine.isReachable() {
		f.machine.cluster.Publish(update)
	}
}

// stateAfter returns the membership state of a member that has been unreachable for that long.
func (e environment) stateAfter(silent time.Duration, before membership.State) membership.State {
	switch {
	case silent >= e.deathDelay:
		return max(before, membership.StateDead)
	case e.suspicionDelay > 0 && silent >= e.suspicionDelay:
		return max(before, membership.StateSuspect)
	}
	return before
}

// isReachable reports whether the machine runs and isn't partitioned.
func (m *testMachine) isReachable() bool { return m.running && m.partitionedAt == 0 }

// markAlive has membership consider the machine alive, after joinDelay.
func (m *testMachine) markAlive() {
	m.membershipChanges++
	change, cluster := m.membershipChanges, m.cluster
	join := func() {
		if m.membershipChanges == change {
			m.advertised, m.known = m.member, true
			m.advertised.State = membership.StateAlive
		}
	}
	if cluster.environment.joinDelay == 0 {
		join()
		return
	}
	cluster.after(cluster.environment.joinDelay, join)
}

// markFailed has membership suspect the machine, and consider it dead, after the delays of the environment.
func (m *testMachine) markFailed() {
	m.membershipChanges++
	change, cluster := m.membershipChanges, m.cluster
	setState := func(state membership.State) func() {
		return func() {
			if m.membershipChanges == change {
				m.advertised.State = max(m.advertised.State, state)
			}
		}
	}
	if cluster.environment.suspicionDelay > 0 {
		cluster.after(cluster.environment.suspicionDelay, setState(membership.StateSuspect))
	}
	cluster.after(cluster.environment.deathDelay, setState(membership.StateDead))
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

// freeze stops the machine's process until thaw.
func (m *testMachine) freeze() {
	m.frozen = true
	m.markFailed()
}

// thaw ends a freeze.
func (m *testMachine) thaw() {
	m.frozen = false
	m.markAlive()
}

// losePower kills the machine's process. A part of the unsynced writes may survive.
func (m *testMachine) losePower(seed uint64) {
	m.kill()
	m.disk.LosePower(seed)
}

// transferTimeout is how long a terminating process waits for its leaderships to be transferred.
const transferTimeout = time.Second

// terminate ends the process as SIGTERM does: it leaves membership, transfers its leaderships and exits.
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

// messageBytes is the approximate size of a message without its entries and snapshot.
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

// send queues a message: it takes time on the machine's link and then on the receiver's.
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

// runGroup runs one iteration of a group, unless the group waits for the disk. Its messages leave once the disk has completed the
// iteration's writes.
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

// node returns the name of the machine.
func (m *testMachine) node() string { return placement.NodeOf(m.member.Name) }

// diskFault is a fault of a disk.
type diskFault string

// The faults of disks.
const (
	healthy     diskFault = ""
	slowDisk    diskFault = "slow disk"
	fullDisk    diskFault = "full disk"
	stalledDisk diskFault = "stalled disk"
)

const (
	slowDiskFactor = 30                     // a slow disk takes this many times as long
	reopenDelay    = 300 * time.Millisecond // from a failure of the disk until a group is reopened, as in package group
)

// injectDiskFault injects a fault into the machine's disk; healthy ends the fault.
func (m *testMachine) injectDiskFault(what diskFault) {
	m.diskFault = what
	m.disk.SetCapacity(0)
	if what == fullDisk {
		m.disk.SetCapacity(1)
	}
}

// retryStart retries a start that failed because of a disk fault, as the process does.
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

// reopen reopens a group that a disk fault has stopped.
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
