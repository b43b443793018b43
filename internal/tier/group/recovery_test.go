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

// becomeLeader makes the member the leader of its group of one.
func (s *singleMember) becomeLeader() {
	s.t.Helper()
	for range 4 {
		s.now += step
		s.run()
	}
	if !s.group.Status().IsLeader {
		s.t.Fatal("the member doesn't lead its group")
	}
}

// propose has a command agreed on and returns its error.
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
		"full": func(kind memorydisk.Operation, _ string) error {
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
		"all fails": func(memorydisk.Operation, string) error { return syscall.EIO },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			// Given a leader that has acknowledged a command,
			single := newSingle(t, 0, "a")
			single.becomeLeader()
			if err := single.propose("x"); err != nil {
				t.Fatal(err)
			}
			// when its disk fails for a while, during which it is tried again,
			single.disk.InjectFaults(fault)
			if err := single.propose("y"); err == nil {
				t.Fatal("a command was acknowledged without having been saved")
			}
			if status := single.group.Status(); status.IsLeader || single.changes[len(single.changes)-1].IsLeader {
				t.Fatal("a failed member says that it leads the group")
			}
			failed := single.group.Reopen()
			if _, err := single.group.RunOnce(); err == nil && failed != nil {
				t.Fatalf("the member was not reopened (%v), and goes on", failed)
			}
			var not *group.NotLeaderError
			if err := single.propose("z"); !errors.As(err, &not) {
				t.Fatalf("a command while the disk fails gives %v", err)
			}
			// then, once the disk works again, the member has what it acknowledged and takes more.
			single.disk.InjectFaults(nil)
			if err := single.group.Reopen(); err != nil {
				t.Fatal(err)
			}
			single.becomeLeader()
			if err := single.propose("w"); err != nil {
				t.Fatal(err)
			}
			if got := single.machine.Commands; !slices.Equal(got, []string{`"x"`, `"w"`}) {
				t.Fatalf("the state holds %v", got)
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
	// when a command comes,
	_, err := single.group.Propose(context.Background(), "y")
	// then its caller learns that it certainly isn't committed.
	var not *group.NotLeaderError
	if !errors.As(err, &not) || !not.Dropped {
		t.Fatalf("the error is %v", err)
	}
}

func TestReopen_DiskDamaged_Fails(t *testing.T) {
	// Given a leader that has saved something,
	single := newSingle(t, 0, "a")
	single.becomeLeader()
	if err := single.propose("x"); err != nil {
		t.Fatal(err)
	}
	// when its disk fails, and what had been saved turns out to be damaged,
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
	// then the member doesn't go on.
	if err := single.group.Reopen(); err == nil {
		t.Fatal("the member goes on with a damaged disk")
	}
}
