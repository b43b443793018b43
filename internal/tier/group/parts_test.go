package group_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
)

// series is a state machine whose snapshot has a part for each command, and one before them.
type series struct{ list }

// WriteChunks implements group.ChunkedStateMachine.
func (s *series) WriteChunks(write func(part json.RawMessage) error) error {
	if err := write(json.RawMessage(`"begin"`)); err != nil {
		return err
	}
	for _, command := range s.Commands {
		part, err := json.Marshal(command)
		if err != nil {
			return err
		}
		if err := write(part); err != nil {
			return err
		}
	}
	return nil
}

// BeginRestore implements group.ChunkedStateMachine.
func (s *series) BeginRestore() group.Restorer {
	s.Commands = nil
	return &seriesRestorer{series: s}
}

type seriesRestorer struct {
	series *series
	begun  bool
}

// Add implements group.Restorer.
func (r *seriesRestorer) Add(part json.RawMessage) error {
	var command string
	if err := json.Unmarshal(part, &command); err != nil {
		return err
	}
	if !r.begun {
		r.begun = true
		if command != "begin" {
			return fmt.Errorf("the first part is %q", command)
		}
		return nil
	}
	r.series.Commands = append(r.series.Commands, command)
	return nil
}

// Finish implements group.Restorer.
func (r *seriesRestorer) Finish() error {
	if !r.begun {
		return errors.New("no first part")
	}
	return nil
}

// givenSeries starts members a, b and c, of which a owns the group at first, and has them compact a number of commands.
func givenSeries(t *testing.T, commands int) *cluster {
	t.Helper()
	c := emptyCluster(t)
	c.compactBytes = 4 << 10
	c.newMachine = func() group.StateMachine { return &series{} }
	c.begin("a", "b", "c")
	c.until("there is an owner", func() bool { return c.owner() != "" })
	c.write(commands)
	return c
}

// write has commands committed, one after the other.
func (c *cluster) write(commands int) {
	c.t.Helper()
	for range commands {
		done := false
		c.groups[c.owner()].ProposeAsync(strings.Repeat("x", 200), func(_ any, err error) {
			if err != nil {
				c.t.Fatal(err)
			}
			done = true
		})
		c.until("the command is committed", func() bool { return done })
	}
}

// join has a member that knows nothing taken in.
func (c *cluster) join(name string) {
	c.open(name, 99, nil)
	c.members = append(c.members, member(name))
	c.change(c.members...)
}

// hasAll tells whether a member's machine holds what the owner's does.
func (c *cluster) hasAll(name string) bool {
	owner := c.owner()
	if owner == "" {
		return false
	}
	want, got := c.machines[owner].(*series).Commands, c.machines[member(name).Address].(*series).Commands
	return len(want) > 0 && slices.Equal(want, got)
}

// countParts counts the parts that are sent, by the sender and number; those for which lost is true don't arrive.
func (c *cluster) countParts(lost func(message replica.Message, sent int) bool) map[int]int {
	sent := map[int]int{}
	c.drop = func(_ string, message replica.Message) bool {
		if message.Kind != replica.InstallSnapshot {
			return false
		}
		sent[message.Chunk]++
		return lost != nil && lost(message, sent[message.Chunk])
	}
	return sent
}

func TestASnapshotIsSentInPartsAndTakenOver(t *testing.T) {
	// Given a group whose log begins with a snapshot of many parts,
	c := givenSeries(t, 200)
	sent := c.countParts(nil)
	// when a member without anything joins it,
	c.join("d")
	c.until("it has a vote", func() bool { return c.isVoter(member("d")) })
	c.until("it holds all", func() bool { return c.hasAll("d") })
	// then each part was sent once.
	if len(sent) < 10 {
		t.Errorf("only %d parts were sent", len(sent))
	}
	for part, times := range sent {
		if times != 1 {
			t.Errorf("part %d was sent %d times", part, times)
		}
	}
}

func TestALostPartIsSentAgainAndNotTheWholeSnapshot(t *testing.T) {
	for name, lost := range map[string]func(message replica.Message, sent int) bool{
		"one": func(message replica.Message, sent int) bool { return message.Chunk == 7 && sent == 1 },
		"the last one": func(message replica.Message, sent int) bool {
			return message.Chunk == message.Snapshot.Chunks-1 && sent == 1
		},
		"the first":  func(message replica.Message, sent int) bool { return message.Chunk == 0 && sent == 1 },
		"one, twice": func(message replica.Message, sent int) bool { return message.Chunk == 7 && sent <= 2 },
	} {
		t.Run(name, func(t *testing.T) {
			c := givenSeries(t, 200)
			sent := c.countParts(lost)
			c.join("d")
			c.until("it holds all", func() bool { return c.hasAll("d") })
			again := 0
			for _, times := range sent {
				again += times - 1
			}
			if again == 0 || again > 4 {
				t.Errorf("%d parts were sent again: %v", again, sent)
			}
		})
	}
}

func TestALostAnswerToAPartHoldsNothingUp(t *testing.T) {
	c := givenSeries(t, 200)
	answers := 0
	c.drop = func(_ string, message replica.Message) bool {
		if message.Kind != replica.InstallSnapshotResponse {
			return false
		}
		answers++
		return answers%3 == 0
	}
	c.join("d")
	c.until("it holds all", func() bool { return c.hasAll("d") })
}

func TestAMemberThatRestartsBetweenPartsBeginsAnew(t *testing.T) {
	c := givenSeries(t, 200)
	d := member("d")
	sent := c.countParts(nil)
	c.join("d")
	c.until("half of the parts have come", func() bool { return sent[8] > 0 })
	// when its process ends and another one starts on the same disk,
	c.disks[d.Address].Kill()
	c.open("d", 100, nil)
	// then half a snapshot counts for nothing,
	if status := c.groups[d.Address].Status(); status.LastIndex != 0 {
		t.Fatalf("its last entry is %d", status.LastIndex)
	}
	// and it gets all of them.
	c.until("it holds all", func() bool { return c.hasAll("d") })
	if sent[0] < 2 {
		t.Errorf("the first part was sent %d times", sent[0])
	}
}

func TestANewOwnerSendsItsOwnSnapshot(t *testing.T) {
	c := givenSeries(t, 200)
	sent := c.countParts(nil)
	c.join("d")
	c.until("half of the parts have come", func() bool { return sent[8] > 0 })
	// when the owner falls silent in the middle of it,
	old := c.owner()
	c.silent[old] = true
	// then another one owns the group and sends its snapshot.
	c.until("another one owns the group", func() bool { return c.owner() != "" && c.owner() != old })
	c.until("it holds all", func() bool { return c.hasAll("d") })
}

func TestACompactionWaitsWhileASnapshotIsSent(t *testing.T) {
	c := givenSeries(t, 200)
	sent := c.countParts(func(message replica.Message, _ int) bool { return message.Chunk >= 8 })
	c.join("d")
	c.until("half of the parts have come", func() bool { return sent[8] > 0 })
	base := func() int { return snapshotIndex(t, c.disks[c.owner()]) }
	// when as much is written meanwhile as makes a compaction due,
	before, owner := base(), c.owner()
	c.write(45)
	// then the snapshot that is on its way stays,
	if got := base(); owner != c.owner() || got != before {
		t.Fatalf("the snapshot up to %d was replaced by one up to %d", before, got)
	}
	// but not for ever,
	c.write(200)
	if got := base(); got == before {
		t.Fatalf("the log of %d entries is not compacted", c.groups[owner].Status().LastIndex)
	}
	// and the member gets the newer one then.
	c.drop = nil
	c.until("it holds all", func() bool { return c.hasAll("d") })
}

func TestAMemberCatchesUpThoughOthersGoOnWriting(t *testing.T) {
	c := givenSeries(t, 200)
	c.join("d")
	for range 600 {
		if c.isVoter(member("d")) {
			return
		}
		c.write(1)
	}
	t.Fatal("it has not caught up while 600 commands were written")
}

// snapshotIndex is the last entry that the snapshot on a disk stands for.
func snapshotIndex(t *testing.T, disk *memorydisk.Disk) int {
	t.Helper()
	found := (&single{t: t, disk: disk}).recovered()
	if found.Snapshot == nil {
		return 0
	}
	return int(found.Snapshot.Index)
}

// part is a part of a snapshot as the owner b of an epoch sends it.
func part(epoch, index uint64, number, parts int, content string) replica.Message {
	return replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, Term: epoch, Chunk: number,
		Snapshot: &replica.Snapshot{Index: index, Term: epoch, Chunks: parts, Members: []replica.Member{member("a"), member("b"), member("c")},
			State: json.RawMessage(content)}}
}

// receivers opens members of several groups that share an admission of one.
func receivers(t *testing.T, count int) (turn func(number int, messages ...replica.Message), machines []*series, groups []*group.Group) {
	t.Helper()
	admission := group.NewSnapshotLimiter(1)
	now := time.Duration(0)
	for number := range count {
		machine := &series{}
		own := member("a")
		opened, err := group.Open(group.Options{Name: fmt.Sprint("g", number), Disk: memorydisk.New(), StateMachine: machine, Logger: log.NewNopLogger(),
			ReceiveLimiter: admission, Clock: func() time.Duration { return now }, Send: func(string, group.Envelope) {},
			Replica: replica.Options{ID: own.ID, Address: own.Address, InitialMembers: []replica.Member{member("a"), member("b"), member("c")},
				HeartbeatInterval: heartbeat, ElectionTimeout: election, Seed: 1}})
		if err != nil {
			t.Fatal(err)
		}
		machines, groups = append(machines, machine), append(groups, opened)
	}
	turn = func(number int, messages ...replica.Message) {
		t.Helper()
		now += heartbeat
		for _, message := range messages {
			message.To = member("a").ID
			groups[number].Deliver(message)
		}
		if _, err := groups[number].RunOnce(); err != nil {
			t.Fatal(err)
		}
	}
	return turn, machines, groups
}

func TestMembersOfOneProcessReceiveSnapshotsInTurn(t *testing.T) {
	// Given a member that is in the middle of a snapshot,
	turn, machines, groups := receivers(t, 2)
	turn(0, part(1, 9, 0, 3, `"begin"`))
	// when another one of the process is sent one, again and again,
	for range 20 {
		turn(1, part(1, 5, 0, 2, `"begin"`))
		turn(0, part(1, 9, 0, 3, `"begin"`))
	}
	// then that takes none of it, and takes its owner for alive,
	if status := groups[1].Status(); status.Leader != member("b").ID || status.LastIndex != 0 {
		t.Errorf("the status of the one that waits is %+v", status)
	}
	turn(1, part(1, 5, 1, 2, `"x"`))
	if len(machines[1].Commands) != 0 {
		t.Error("it has taken a snapshot over beside the first one")
	}
	// until the first one has its snapshot whole.
	turn(0, part(1, 9, 1, 3, `"x"`), part(1, 9, 2, 3, `"y"`))
	if got := groups[0].Status().Commit; got != 9 {
		t.Fatalf("the first one is at entry %d", got)
	}
	turn(1, part(1, 5, 0, 2, `"begin"`))
	turn(1, part(1, 5, 1, 2, `"x"`))
	if got := groups[1].Status().Commit; got != 5 {
		t.Errorf("the second one is at entry %d", got)
	}
}

func TestASnapshotWhoseSenderIsGoneKeepsNoOtherOut(t *testing.T) {
	turn, _, groups := receivers(t, 2)
	turn(0, part(1, 9, 0, 3, `"begin"`))
	// when nothing more of it comes for a while,
	for range 20 {
		turn(0)
		turn(1)
	}
	// then another member of the process may receive one.
	turn(1, part(9, 5, 0, 2, `"begin"`))
	turn(1, part(9, 5, 1, 2, `"x"`))
	if got := groups[1].Status().Commit; got != 5 {
		t.Errorf("it is at entry %d", got)
	}
}
