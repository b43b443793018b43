package group_test

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"testing"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/storage/memorydisk"
)

// becomeLeader runs iterations until the only member of a group is its leader.
func (s *singleMember) becomeLeader() {
	s.t.Helper()
	for range 4 {
		s.now += step
		s.run()
	}
	if !s.group.Status().IsLeader {
		s.t.Fatal("the only member is not the leader after 4 iterations")
	}
}

// propose proposes a command, runs iterations and returns the command's error.
func (s *singleMember) propose(text string) error {
	s.t.Helper()
	var outcome error
	completed := false
	s.group.ProposeAsync(text, func(_ any, err error) { outcome, completed = err, true })
	for range 4 {
		s.now += step
		if _, err := s.group.RunOnce(); err != nil {
			break
		}
	}
	if !completed {
		s.t.Fatal("the call has no outcome")
	}
	return outcome
}

func TestReopen_DiskWorksAgain_MemberGoesOn(t *testing.T) {
	faults := map[string]func(kind memorydisk.Operation, name string) error{
		"disk full": func(kind memorydisk.Operation, _ string) error {
			if kind == memorydisk.Write {
				return syscall.ENOSPC
			}
			return nil
		},
		"sync fails": func(kind memorydisk.Operation, _ string) error {
			if kind == memorydisk.Sync {
				return syscall.EIO
			}
			return nil
		},
		"every operation fails": func(memorydisk.Operation, string) error { return syscall.EIO },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			// Given a leader that has acknowledged a command,
			single := newSingle(t, 0, "a")
			single.becomeLeader()
			if err := single.propose("x"); err != nil {
				t.Fatal(err)
			}
			// when its disk fails for a while, during which the member is reopened,
			single.disk.InjectFaults(fault)
			if err := single.propose("y"); err == nil {
				t.Fatal("a command was acknowledged without having been saved")
			}
			if status := single.group.Status(); status.IsLeader || single.changes[len(single.changes)-1].IsLeader {
				t.Fatal("a failed member reports that it is the leader")
			}
			failed := single.group.Reopen()
			if _, err := single.group.RunOnce(); err == nil && failed != nil {
				t.Fatalf("reopening failed (%v), but an iteration succeeded", failed)
			}
			var notLeader *group.NotLeaderError
			if err := single.propose("z"); !errors.As(err, &notLeader) {
				t.Fatalf("a command while the disk fails returned %v, want a NotLeaderError", err)
			}
			// then, once the disk works again, the member has what it acknowledged and accepts more commands.
			single.disk.InjectFaults(nil)
			if err := single.group.Reopen(); err != nil {
				t.Fatal(err)
			}
			single.becomeLeader()
			if err := single.propose("w"); err != nil {
				t.Fatal(err)
			}
			if got := single.machine.Commands; !slices.Equal(got, []string{`"x"`, `"w"`}) {
				t.Fatalf("the state machine holds %v, want x and w", got)
			}
		})
	}
}

func TestPropose_MemberFailed_IsDropped(t *testing.T) {
	// Given a member whose disk has failed,
	single := newSingle(t, 0, "a")
	single.becomeLeader()
	single.disk.InjectFaults(func(memorydisk.Operation, string) error { return syscall.EIO })
	if err := single.propose("x"); err == nil {
		t.Fatal("a command was acknowledged without having been saved")
	}
	// when a command is proposed,
	_, err := single.group.Propose(context.Background(), "y")
	// then its caller learns that it was dropped.
	var notLeader *group.NotLeaderError
	if !errors.As(err, &notLeader) || !notLeader.Dropped {
		t.Fatalf("error %v, want a NotLeaderError with Dropped set", err)
	}
}

func TestReopen_DiskDamaged_Fails(t *testing.T) {
	// Given a leader that has saved a command,
	single := newSingle(t, 0, "a")
	single.becomeLeader()
	if err := single.propose("x"); err != nil {
		t.Fatal(err)
	}
	// when its disk fails and the saved files are corrupt,
	single.disk.InjectFaults(func(kind memorydisk.Operation, _ string) error {
		if kind == memorydisk.Write {
			return syscall.EIO
		}
		return nil
	})
	if err := single.propose("y"); err == nil {
		t.Fatal("a command was acknowledged without having been saved")
	}
	names, err := single.disk.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if err := single.disk.Corrupt(name, 24); err != nil {
			t.Fatal(err)
		}
	}
	// then the member can't be reopened.
	if err := single.group.Reopen(); err == nil {
		t.Fatal("the member was reopened on a corrupt disk")
	}
}
