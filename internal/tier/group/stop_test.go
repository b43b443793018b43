package group_test

import (
	"syscall"
	"testing"

	"mastusher/internal/tier/storage/memorydisk"
)

func TestStop_DiskFails_Ends(t *testing.T) {
	// Given a leader whose disk fails, also when the member is reopened,
	s := newSingle(t, 0, "a")
	s.becomeLeader()
	s.disk.InjectFaults(func(memorydisk.Operation, string) error { return syscall.EIO })
	if err := s.propose("x"); err == nil {
		t.Fatal("a command was acknowledged without having been saved")
	}
	if err := s.group.Reopen(); err == nil {
		t.Fatal("the member was reopened on a disk that fails")
	}
	// when it is stopped, then it ends, and says so once.
	ends := 0
	s.group.Stop(func() { ends++ })
	for range 2 {
		if _, err := s.group.RunOnce(); err != nil {
			t.Error(err)
		}
	}
	if ends != 1 {
		t.Errorf("done was called %d times, want once", ends)
	}
}

func TestStop_CallsPending_EndWithoutResult(t *testing.T) {
	// Given a leader with a command and a read under way,
	s := newSingle(t, 0, "a")
	s.becomeLeader()
	var outcomes []error
	note := func(_ any, err error) { outcomes = append(outcomes, err) }
	s.group.ProposeAsync("x", note)
	s.group.ReadAsync(func() { t.Error("a read was run after the end") }, note)
	// when it is stopped, then both end without a result, and so does what comes later.
	s.group.Stop(func() {})
	if _, err := s.group.RunOnce(); err != nil {
		t.Fatal(err)
	}
	s.group.ProposeAsync("y", note)
	if len(outcomes) != 3 {
		t.Fatalf("%d calls have ended, want 3", len(outcomes))
	}
	for i, err := range outcomes {
		if err == nil {
			t.Errorf("call %d of a stopped member has a result", i)
		}
	}
	if s.group.Status().IsLeader {
		t.Error("a stopped member says that it leads its group")
	}
}
