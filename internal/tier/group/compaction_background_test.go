package group_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// backgroundMember is the only voter of its group. Its compactions are written when the test calls runBackground.
type backgroundMember struct {
	t       *testing.T
	disk    *memorydisk.Disk
	machine *chunkedList
	group   *group.Group
	now     time.Duration
	work    []func() // passed to RunBackground and not run yet
}

func newBackgroundMember(t *testing.T) *backgroundMember {
	m := &backgroundMember{t: t, disk: memorydisk.New(), machine: &chunkedList{}}
	m.open()
	m.commit(1)
	return m
}

func (m *backgroundMember) open() {
	own := member("a")
	m.machine = &chunkedList{}
	opened, err := group.Open(group.Options{Name: "g", Disk: m.disk, StateMachine: m.machine, Logger: log.NewNopLogger(), CompactionBytes: 2000,
		Clock: func() time.Duration { return m.now }, Send: func(string, group.Envelope) {},
		RunBackground: func(work func()) { m.work = append(m.work, work) },
		Replica: replica.Options{ID: own.ID, Address: own.Address, InitialMembers: []replica.Member{own},
			HeartbeatInterval: heartbeat, ElectionTimeout: election, Seed: 1}})
	if err != nil {
		m.t.Fatal(err)
	}
	m.group = opened
}

// commit proposes commands of about 200 bytes and waits until they are committed.
func (m *backgroundMember) commit(commands int) {
	m.t.Helper()
	for range commands {
		done := false
		m.group.ProposeAsync(strings.Repeat("x", 200), func(_ any, err error) { done = err == nil })
		for round := 0; !done; round++ {
			if round > 20 {
				m.t.Fatal("a command is not committed after 20 iterations")
			}
			m.now += heartbeat
			if _, err := m.group.RunOnce(); err != nil {
				m.t.Fatal(err)
			}
		}
	}
}

// runBackground runs the pending background work, and then two iterations in which the member processes the result.
func (m *backgroundMember) runBackground() {
	m.t.Helper()
	for _, work := range m.work {
		work()
	}
	m.work = nil
	for range 2 {
		m.now += heartbeat
		if _, err := m.group.RunOnce(); err != nil {
			m.t.Fatal(err)
		}
	}
}

func TestCompaction_InBackground_MemberGoesOnMeanwhile(t *testing.T) {
	// Given a member that has begun a compaction whose snapshot isn't written yet,
	m := newBackgroundMember(t)
	m.commit(20)
	if len(m.work) != 1 {
		t.Fatalf("%d compactions have begun, want 1", len(m.work))
	}
	// when more is committed before it is written,
	m.commit(30)
	if got := snapshotIndex(t, m.disk); got != 0 || len(m.work) != 1 {
		t.Fatalf("the snapshot on the disk covers entries up to %d, want 0; %d compactions have begun, want 1", got, len(m.work))
	}
	m.runBackground()
	// then the snapshot covers what had been applied when the compaction began, and a restart recovers all commands.
	if got := snapshotIndex(t, m.disk); got == 0 || got > 25 {
		t.Errorf("the snapshot covers entries up to %d, want 1 to 25", got)
	}
	m.disk.LosePower(3)
	m.open()
	m.commit(1)
	if got := len(m.machine.Commands); got != 52 {
		t.Errorf("%d commands were recovered, want 52", got)
	}
}

func TestCompaction_InBackground_StopWaitsForIt(t *testing.T) {
	m := newBackgroundMember(t)
	m.commit(20)
	write, stopped := m.work[0], false
	m.work = nil
	go write()
	m.group.Stop(func() { stopped = true })
	if _, err := m.group.RunOnce(); err != nil || !stopped {
		t.Fatalf("stopped: %t, error %v, want a member that has stopped", stopped, err)
	}
	m.open() // on the same disk
	m.commit(20)
	m.runBackground()
	if got := snapshotIndex(t, m.disk); got == 0 {
		t.Error("the reopened member doesn't compact its log")
	}
}

func TestCompaction_InBackground_DiskFails_MemberReopens(t *testing.T) {
	// Given a compaction whose write fails,
	m := newBackgroundMember(t)
	m.commit(20)
	errFull := errors.New("no space")
	m.disk.InjectFaults(func(kind memorydisk.Operation, name string) error {
		if kind == memorydisk.Write && strings.Contains(name, "slot") {
			return errFull
		}
		return nil
	})
	for _, work := range m.work {
		work()
	}
	m.work = nil
	m.disk.InjectFaults(nil)
	// when the member runs its next iteration, then it fails with the disk's error, and reopening recovers all that was committed.
	if _, err := m.group.RunOnce(); !errors.Is(err, storage.ErrFailed) || !errors.Is(err, errFull) {
		t.Fatalf("error %v, want storage.ErrFailed caused by errFull", err)
	}
	if err := m.group.Reopen(); err != nil {
		t.Fatal(err)
	}
	m.now += 2 * election
	m.commit(30)
	m.runBackground()
	if got := len(m.machine.Commands); got != 51 || snapshotIndex(t, m.disk) == 0 {
		t.Errorf("%d commands, want 51; snapshot up to entry %d, want a snapshot", got, snapshotIndex(t, m.disk))
	}
}

func TestCompaction_InBackground_SnapshotOfLeaderComes_IsCanceled(t *testing.T) {
	// Given a follower that is writing a compaction,
	single := &singleMember{t: t, disk: memorydisk.New(), machine: &commandList{}, inBackground: true}
	single.open([]replica.Member{member("a"), member("b"), member("c")}, 2000)
	var entries []replica.Entry
	for index := uint64(1); index <= 20; index++ {
		entries = append(entries, command(index, 1, strings.Repeat("y", 200)))
	}
	single.run(appendEntries(1, 0, 0, 20, entries...))
	if len(single.work) != 1 {
		t.Fatalf("%d compactions have begun, want 1", len(single.work))
	}
	// when a leader sends its snapshot,
	state := json.RawMessage(`{"Commands":["z"]}`)
	chunk := replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, To: member("a").ID, Term: 2,
		Snapshot: &replica.Snapshot{Index: 90, Term: 2, Members: []replica.Member{member("a"), member("b"), member("c")}, Chunks: 1, State: state}}
	single.run(chunk)
	if got := single.group.Status().LastIndex; got != 20 {
		t.Fatalf("the follower's last entry during the compaction is %d, want 20", got)
	}
	single.work[0]()
	single.run()
	// then the compaction is canceled, and the snapshot is installed once the compaction has released the slot on disk.
	single.run(chunk)
	if got := single.group.Status().LastIndex; got != 90 {
		t.Errorf("the follower's last entry is %d, want 90", got)
	}
}

func TestStopAndForget_DuringCompaction_FreesTheDisk(t *testing.T) {
	m := newBackgroundMember(t)
	m.commit(20)
	write := m.work[0]
	m.work = nil
	go write()
	m.group.StopAndForget(func() {})
	if _, err := m.group.RunOnce(); err != nil {
		t.Fatal(err)
	}
	found := (&singleMember{t: t, disk: m.disk}).recovered()
	if found.Snapshot == nil || found.Snapshot.Index != 0 || len(found.Entries) > 0 || found.HardState.Term == 0 {
		t.Errorf("the disk holds %+v, want an empty snapshot, no entries and a term", found)
	}
}
