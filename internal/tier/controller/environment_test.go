package controller

import (
	"time"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/view"
)

// surroundings are what the machines, disks and links of a cluster in memory are like. Zero speeds take no time.
type surroundings struct {
	survive   int           // machines that may be lost at once
	join      time.Duration // from a start, or the end of a cut or freeze, until the others know of it
	suspicion time.Duration // from a loss until it is suspected; 0: it never is
	death     time.Duration // from a loss until it is taken for dead
	sync      time.Duration // of a disk
	disk      int           // bytes a second that a disk writes
	link      int           // bytes a second that a machine's link takes, each way
}

// Two kinds of sites. Suspicion and death are the longest that were measured in a fleet of the size (membership's
// TestControllers_MemberWithReplicasDies_SuspectItWithinTheBound).
var (
	fastSite = surroundings{survive: 1, join: 300 * time.Millisecond, suspicion: 1850 * time.Millisecond, death: 4350 * time.Millisecond,
		sync: 500 * time.Microsecond, disk: 120_000_000, link: 600_000_000 / 8}
	slowSite = surroundings{survive: 1, join: 300 * time.Millisecond, suspicion: 1850 * time.Millisecond, death: 4350 * time.Millisecond,
		sync: 5 * time.Millisecond, disk: 120_000_000, link: 150_000_000 / 8}
)

// large is the same site with more machines, of which two may be lost at once.
func (s surroundings) large() surroundings {
	s.survive, s.death = 2, 5300*time.Millisecond
	return s
}

// surroundingsOf is the fleet as one machine sees it.
type surroundingsOf struct{ machine *machineUnderTest }

// Members implements Fleet.
func (s surroundingsOf) Members() []membership.Member {
	c := s.machine.cluster
	var members []membership.Member
	for _, m := range c.sorted() {
		if !m.known {
			continue
		}
		seen := m.shown
		if m != s.machine && s.machine.cutAt > 0 {
			seen.State = c.around.stateAfter(c.now-s.machine.cutAt, seen.State)
		}
		members = append(members, seen)
	}
	return members
}

// Publish implements Fleet.
func (s surroundingsOf) Publish(piece view.Update) {
	if s.machine.isReachable() {
		s.machine.cluster.Publish(piece)
	}
}

// stateAfter is what is believed of a member that has been silent for so long.
func (s surroundings) stateAfter(silent time.Duration, before membership.State) membership.State {
	switch {
	case silent >= s.death:
		return max(before, membership.StateDead)
	case s.suspicion > 0 && silent >= s.suspicion:
		return max(before, membership.StateSuspect)
	}
	return before
}

// isReachable tells whether the machine runs and isn't cut off.
func (m *machineUnderTest) isReachable() bool { return m.running && m.cutAt == 0 }

// appear has the others learn that the machine is there.
func (m *machineUnderTest) appear() {
	m.absences++
	absence, c := m.absences, m.cluster
	show := func() {
		if m.absences == absence {
			m.shown, m.known = m.member, true
			m.shown.State = membership.StateAlive
		}
	}
	if c.around.join == 0 {
		show()
		return
	}
	c.after(c.around.join, show)
}

// vanish has the others learn that the machine is silent.
func (m *machineUnderTest) vanish() {
	m.absences++
	absence, c := m.absences, m.cluster
	believe := func(state membership.State) func() {
		return func() {
			if m.absences == absence {
				m.shown.State = max(m.shown.State, state)
			}
		}
	}
	if c.around.suspicion > 0 {
		c.after(c.around.suspicion, believe(membership.StateSuspect))
	}
	c.after(c.around.death, believe(membership.StateDead))
}

// cutOff parts the machine from all others.
func (m *machineUnderTest) cutOff() {
	m.cutAt = m.cluster.now
	m.vanish()
}

// heal ends a cut.
func (m *machineUnderTest) heal() {
	m.cutAt = 0
	m.appear()
	m.cluster.after(m.cluster.around.join, m.take)
}

// freeze has the machine stand still.
func (m *machineUnderTest) freeze() {
	m.frozen = true
	m.vanish()
}

// thaw ends that.
func (m *machineUnderTest) thaw() {
	m.frozen = false
	m.appear()
}

// losePower ends the machine's process; of what wasn't synced, a part may last.
func (m *machineUnderTest) losePower(seed uint64) {
	m.kill()
	m.disk.LosePower(seed)
}

// handOverTime is how long a process that is to end waits for other owners, at most.
const handOverTime = time.Second

// terminate ends the process as SIGTERM does: it leaves, hands its groups over and ends.
func (m *machineUnderTest) terminate() {
	c, generation := m.cluster, m.starts
	m.absences++
	m.shown.State = membership.StateLeft
	for _, running := range m.groups {
		running.TransferLeadership()
	}
	c.after(handOverTime, func() {
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
func (m *machineUnderTest) send(address string, envelope group.Envelope) {
	c := m.cluster
	arrives := c.now
	if to := c.machines[address]; to != nil && c.around.link > 0 {
		takes := timeFor(sizeOf(&envelope.Message), c.around.link)
		m.linkFree = max(m.linkFree, c.now) + takes
		to.inboxFree = max(to.inboxFree, m.linkFree-takes) + takes
		arrives = to.inboxFree
	}
	c.queue = append(c.queue, sent{due: arrives + clusterStep, from: m, address: address, envelope: envelope})
}

func timeFor(bytes, perSecond int) time.Duration {
	return time.Duration(float64(bytes) / float64(perSecond) * float64(time.Second))
}

// turnOf has a group take its turn, unless it waits for the disk. What it sends leaves when the disk has done its part.
func (m *machineUnderTest) turnOf(running *group.Group) error {
	c := m.cluster
	if c.now < m.busy[running] || m.diskTrouble == stalledDisk {
		return nil
	}
	if err := m.recover(running); err != nil {
		return err
	}
	before, queued := m.disk.Counts(), len(c.queue)
	_, err := running.RunOnce()
	if err != nil && m.diskTrouble != healthy {
		m.broken[running] = true
		m.busy[running] = c.now + reopenPause
		return nil
	}
	after := m.disk.Counts()
	cost := time.Duration(after.Syncs-before.Syncs+after.DirSyncs-before.DirSyncs) * c.around.sync
	if c.around.disk > 0 {
		cost += timeFor(int(after.BytesWritten-before.BytesWritten), c.around.disk)
	}
	if m.diskTrouble == slowDisk {
		cost *= slowness
	}
	if cost == 0 {
		return err
	}
	m.diskFree = max(m.diskFree, c.now) + cost
	m.busy[running] = m.diskFree
	for i := range c.queue[queued:] {
		c.queue[queued+i].due += m.diskFree - c.now
	}
	return err
}

// nodeOf is the name of the machine.
func (m *machineUnderTest) node() string { return placement.NodeOf(m.member.Name) }

// diskTrouble is what is wrong with a disk.
type diskTrouble string

// The troubles of disks.
const (
	healthy     diskTrouble = ""
	slowDisk    diskTrouble = "slow disk"
	fullDisk    diskTrouble = "full disk"
	stalledDisk diskTrouble = "stalled disk"
)

const (
	slowness    = 30                     // how many times as long a slow disk takes
	reopenPause = 300 * time.Millisecond // from a failure of the disk until a group begins anew, as group does
)

// trouble has something go wrong with the machine's disk, or ends that.
func (m *machineUnderTest) trouble(what diskTrouble) {
	m.diskTrouble = what
	m.disk.SetCapacity(0)
	if what == fullDisk {
		m.disk.SetCapacity(1)
	}
}

// startAgain tries a start again that a disk in trouble has kept from going on, as the process does.
func (m *machineUnderTest) startAgain(err error) {
	if m.diskTrouble == healthy {
		m.cluster.t.Fatal(err)
	}
	m.kill()
	generation := m.starts
	m.cluster.after(reopenPause, func() {
		if m.starts == generation {
			m.start()
		}
	})
}

// recover has a group begin anew that its disk has broken.
func (m *machineUnderTest) recover(running *group.Group) error {
	if !m.broken[running] {
		return nil
	}
	err := running.Reopen()
	switch {
	case err == nil:
		delete(m.broken, running)
	case m.diskTrouble != healthy:
		m.busy[running] = m.cluster.now + reopenPause
		err = nil
	}
	return err
}
