package group_test

import (
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/replica"
)

func TestAnOwnerThatStandsStillSaysThatItOwnsNothing(t *testing.T) {
	// Given an owner,
	s := newSingle(t, 0, "a")
	s.own()
	// when it has no turn for longer than an election time-out, since its process or its disk stands still,
	s.now += heartbeat + election + step
	// then it doesn't say any more that it owns the group, until it has had its turn.
	if status := s.group.Status(); status.IsLeader || status.Leader != "" {
		t.Errorf("its status is %+v", status)
	}
	s.own()
}

func TestAMemberNamesNoOwnerOfWhichItHearsNothing(t *testing.T) {
	// Given a member that has an owner,
	s := newSingle(t, 1<<30, "a", "b", "c")
	heard := appended(1, 0, 0, 0)
	heard.To = member("a").ID
	s.turn(heard)
	if got := s.group.Status().Leader; got != member("b").ID {
		t.Fatalf("its owner is %q", got)
	}
	// when it hears nothing of that one for an election time-out, whether it has its turns meanwhile or stands still,
	s.now += election
	if got := s.group.Status().Leader; got != member("b").ID {
		t.Errorf("it names %q within the time-out", got)
	}
	s.now += step
	// then it names none, also before it stands for election itself,
	if got := s.group.Status().Leader; got != "" {
		t.Errorf("it still names %q", got)
	}
	// until it hears of one again.
	s.turn(heard)
	if got := s.group.Status().Leader; got != member("b").ID {
		t.Errorf("its owner is %q", got)
	}
}

func TestMessagesThatWaitForATurnAreBounded(t *testing.T) {
	// Given a member that has no turn while its owner goes on sending,
	s := newSingle(t, 1<<30, "a", "b", "c")
	const messages, size = 64, 256 << 10
	for index := uint64(1); index <= messages; index++ {
		message := appended(1, index-1, min(index-1, 1), 0, command(index, 1, strings.Repeat("x", size)))
		message.To = member("a").ID
		s.group.Deliver(message)
	}
	// when it gets its turn,
	s.turn()
	// then it takes in only so much, and goes on from there with what comes again.
	last := s.group.Status().LastIndex
	if last == 0 || last > 16 {
		t.Fatalf("it took in %d of %d messages of %d bytes", last, messages, size)
	}
	s.turn(appended(1, last, 1, 0, command(last+1, 1, "y")))
	if got := s.group.Status().LastIndex; got != last+1 {
		t.Errorf("its last entry is %d, want %d", got, last+1)
	}
}

func TestALargeMessageIsTakenWhenNothingWaits(t *testing.T) {
	// Given a member that lacks a state longer than what may wait,
	s := newSingle(t, 1<<30, "a", "b", "c")
	state := `{"Commands":["` + strings.Repeat("x", 8<<20) + `"]}`
	// when that comes,
	s.turn(replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, Term: 1,
		Snapshot: &replica.Snapshot{Index: 7, Term: 1, Members: []replica.Member{member("a"), member("b"), member("c")}, Chunks: 1, State: []byte(state)}})
	// then it takes it over.
	if got := s.group.Status().Commit; got != 7 {
		t.Errorf("it is at entry %d, want 7", got)
	}
}

func TestOwnershipIsHandedOverWithoutWaitingForAnElection(t *testing.T) {
	// Given a group with an owner,
	c := newCluster(t, "a", "b", "c")
	c.until("there is an owner", func() bool { return c.owner() != "" })
	old := c.owner()
	c.until("the others know it", func() bool {
		for _, address := range c.addresses() {
			if c.groups[address].Status().Leader == "" {
				return false
			}
		}
		return true
	})
	// when that resigns,
	began := c.now
	c.groups[old].TransferLeadership()
	// then another one owns the group before an election time-out is over.
	c.until("there is another owner", func() bool { return c.owner() != "" && c.owner() != old })
	if took := c.now - began; took >= election {
		t.Errorf("it took %v, as long as the time-out of %v", took, time.Duration(election))
	}
}

func TestALargeSnapshotIsTakenBesideOtherMessages(t *testing.T) {
	// Given a member that lacks a state longer than what may wait, with heartbeats of its owner waiting for its turn,
	s := newSingle(t, 1<<30, "a", "b", "c")
	state := `{"Commands":["` + strings.Repeat("x", 8<<20) + `"]}`
	install := replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, Term: 1,
		Snapshot: &replica.Snapshot{Index: 9, Term: 1, Members: []replica.Member{member("a"), member("b"), member("c")}, Chunks: 1, State: []byte(state)}}
	again := install
	copied := *install.Snapshot
	again.Snapshot = &copied
	// when the state comes, and comes again,
	s.turn(appended(1, 0, 0, 0), appended(1, 0, 0, 0), install, appended(1, 0, 0, 0), again)
	// then it is taken once.
	if got := s.group.Status().Commit; got != 9 {
		t.Errorf("it holds what is committed up to %d, want 9", got)
	}
	if len(s.machine.Commands) != 1 {
		t.Errorf("its machine holds %d commands, want 1", len(s.machine.Commands))
	}
	if again.Snapshot.State == nil {
		t.Error("the state came in twice")
	}
}
