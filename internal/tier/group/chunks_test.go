package group_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// chunkedList is a state machine whose snapshot has a first chunk "begin", and then one chunk for each command.
type chunkedList struct{ commandList }

// CaptureChunks implements group.ChunkedStateMachine.
func (s *chunkedList) CaptureChunks() storage.ChunkSource {
	commands := slices.Clone(s.Commands)
	return func(write func(chunk json.RawMessage) error) error {
		if err := write(json.RawMessage(`"begin"`)); err != nil {
			return err
		}
		for _, command := range commands {
			chunk, err := json.Marshal(command)
			if err != nil {
				return err
			}
			if err := write(chunk); err != nil {
				return err
			}
		}
		return nil
	}
}

// BeginRestore implements group.ChunkedStateMachine.
func (s *chunkedList) BeginRestore() group.Restorer {
	s.Commands = nil
	return &chunkedListRestorer{machine: s}
}

type chunkedListRestorer struct {
	machine *chunkedList
	started bool
}

// Add implements group.Restorer.
func (r *chunkedListRestorer) Add(chunk json.RawMessage) error {
	var command string
	if err := json.Unmarshal(chunk, &command); err != nil {
		return err
	}
	if !r.started {
		r.started = true
		if command != "begin" {
			return fmt.Errorf("the first chunk is %q, want begin", command)
		}
		return nil
	}
	r.machine.Commands = append(r.machine.Commands, command)
	return nil
}

// Finish implements group.Restorer.
func (r *chunkedListRestorer) Finish() error {
	if !r.started {
		return errors.New("the snapshot has no chunks")
	}
	return nil
}

// newChunkedCluster starts members a, b and c, waits for a leader and commits a number of commands, which the members compact.
func newChunkedCluster(t *testing.T, commands int) *cluster {
	t.Helper()
	c := emptyCluster(t)
	c.compactionBytes = 4 << 10
	c.newMachine = func() group.StateMachine { return &chunkedList{} }
	c.begin("a", "b", "c")
	c.runUntil("there is a leader", func() bool { return c.leader() != "" })
	c.write(commands)
	return c
}

// write proposes commands one by one and waits until each is committed.
func (c *cluster) write(commands int) {
	c.t.Helper()
	for range commands {
		done := false
		c.groups[c.leader()].ProposeAsync(strings.Repeat("x", 200), func(_ any, err error) {
			if err != nil {
				c.t.Fatal(err)
			}
			done = true
		})
		c.runUntil("the command is committed", func() bool { return done })
	}
}

// join starts a member without any state and adds it to the group's target members.
func (c *cluster) join(name string) {
	c.open(name, 99, nil)
	c.members = append(c.members, member(name))
	c.setTargetMembers(c.members...)
}

// hasAll reports whether a member's state machine holds the same commands as the leader's.
func (c *cluster) hasAll(name string) bool {
	leader := c.leader()
	if leader == "" {
		return false
	}
	want, got := c.machines[leader].(*chunkedList).Commands, c.machines[member(name).Address].(*chunkedList).Commands
	return len(want) > 0 && slices.Equal(want, got)
}

// countChunks counts how often each chunk is sent, by its number, and drops the chunks for which lost returns true.
func (c *cluster) countChunks(lost func(message replica.Message, sent int) bool) map[int]int {
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

func TestSnapshot_MemberJoins_GetsEachChunkOnce(t *testing.T) {
	// Given a group whose log begins with a snapshot of many chunks,
	c := newChunkedCluster(t, 200)
	sent := c.countChunks(nil)
	// when a member without any state joins it,
	c.join("d")
	c.runUntil("the new member is a voter", func() bool { return c.isVoter(member("d")) })
	c.runUntil("the new member has the leader's state", func() bool { return c.hasAll("d") })
	// then each chunk was sent once.
	if len(sent) < 10 {
		t.Errorf("%d chunks were sent, want at least 10", len(sent))
	}
	for chunk, times := range sent {
		if times != 1 {
			t.Errorf("chunk %d was sent %d times, want once", chunk, times)
		}
	}
}

// After a loss, all chunks in flight are sent again: eight at most, and half as many after the next loss.
func TestSnapshot_ChunkLost_OnlyThatOneIsSentAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		lost      func(message replica.Message, sent int) bool
		maxResent int
	}{
		"one": {func(message replica.Message, sent int) bool { return message.Chunk == 7 && sent == 1 }, 8},
		"the last one": {func(message replica.Message, sent int) bool {
			return message.Chunk == message.Snapshot.Chunks-1 && sent == 1
		}, 8},
		"the first":  {func(message replica.Message, sent int) bool { return message.Chunk == 0 && sent == 1 }, 8},
		"one, twice": {func(message replica.Message, sent int) bool { return message.Chunk == 7 && sent <= 2 }, 8 + 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChunkedCluster(t, 200)
			sent := c.countChunks(tc.lost)
			c.join("d")
			c.runUntil("the new member has the leader's state", func() bool { return c.hasAll("d") })
			resent := 0
			for _, times := range sent {
				resent += times - 1
			}
			if resent == 0 || resent > tc.maxResent {
				t.Errorf("too many or too few chunks were sent again: %d; times sent, by number: %v", resent, sent)
			}
		})
	}
}

func TestSnapshot_ResponsesLost_TransferCompletes(t *testing.T) {
	c := newChunkedCluster(t, 200)
	responses := 0
	c.drop = func(_ string, message replica.Message) bool {
		if message.Kind != replica.InstallSnapshotResponse {
			return false
		}
		responses++
		return responses%3 == 0
	}
	c.join("d")
	c.runUntil("the new member has the leader's state", func() bool { return c.hasAll("d") })
}

func TestSnapshot_ReceiverRestarts_StartsOver(t *testing.T) {
	c := newChunkedCluster(t, 200)
	d := member("d")
	sent := c.countChunks(nil)
	c.join("d")
	c.runUntil("some of the chunks have been sent", func() bool { return sent[8] > 0 })
	// When the receiving process crashes and another one starts on the same disk,
	c.disks[d.Address].Kill()
	c.open("d", 100, nil)
	// then the incomplete snapshot is ignored,
	if status := c.groups[d.Address].Status(); status.LastIndex != 0 {
		t.Fatalf("the last entry after the restart is %d, want 0", status.LastIndex)
	}
	// and all chunks are sent again.
	c.runUntil("the restarted member has the leader's state", func() bool { return c.hasAll("d") })
	if sent[0] < 2 {
		t.Errorf("the first chunk was sent %d times, want at least twice", sent[0])
	}
}

func TestSnapshot_LeaderLost_NewLeaderSendsItsOwn(t *testing.T) {
	c := newChunkedCluster(t, 200)
	sent := c.countChunks(nil)
	c.join("d")
	c.runUntil("some of the chunks have been sent", func() bool { return sent[8] > 0 })
	// When the leader is partitioned in the middle of the transfer,
	old := c.leader()
	c.isolated[old] = true
	// then another member becomes the leader and sends its own snapshot.
	c.runUntil("another member is the leader", func() bool { return c.leader() != "" && c.leader() != old })
	c.runUntil("the new member has the leader's state", func() bool { return c.hasAll("d") })
}

func TestCompact_SnapshotBeingSent_Waits(t *testing.T) {
	c := newChunkedCluster(t, 200)
	sent := c.countChunks(func(message replica.Message, _ int) bool { return message.Chunk >= 8 })
	c.join("d")
	c.runUntil("some of the chunks have been sent", func() bool { return sent[8] > 0 })
	base := func() int { return snapshotIndex(t, c.disks[c.leader()]) }
	// When enough is written during the transfer to make a compaction due,
	before, leader := base(), c.leader()
	c.write(45)
	// then the snapshot that is being sent is kept,
	if got := base(); leader != c.leader() || got != before {
		t.Fatalf("the snapshot up to %d was replaced by one up to %d", before, got)
	}
	// but not without bound,
	c.write(200)
	if got := base(); got == before {
		t.Fatalf("the log up to entry %d is not compacted", c.groups[leader].Status().LastIndex)
	}
	// and the new member then gets the newer snapshot.
	c.drop = nil
	c.runUntil("the new member has the leader's state", func() bool { return c.hasAll("d") })
}

func TestSnapshot_WritesGoOn_MemberCatchesUp(t *testing.T) {
	c := newChunkedCluster(t, 200)
	c.join("d")
	for range 600 {
		if c.isVoter(member("d")) {
			return
		}
		c.write(1)
	}
	t.Fatal("the new member has not caught up while 600 commands were written")
}

// snapshotIndex returns the index of the last entry that the snapshot on a disk covers, or 0 without a snapshot.
func snapshotIndex(t *testing.T, disk *memorydisk.Disk) int {
	t.Helper()
	found := (&singleMember{t: t, disk: disk}).recovered()
	if found.Snapshot == nil {
		return 0
	}
	return int(found.Snapshot.Index)
}
