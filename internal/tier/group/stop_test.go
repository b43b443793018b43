package group_test

import (
	"syscall"
	"testing"

	"mastusher/internal/tier/storage/memorydisk"
)

func TestStop_DiskFails_Ends(t *testing.T) {
	// Given a leader whose disk fails, so that it can't be reopened either,
	single := newSingle(t, 0, "a")
	single.becomeLeader()
	single.disk.InjectFaults(func(memorydisk.Operation, string) error { return syscall.EIO })
	if err := single.propose("x"); err == nil {
		t.Fatal("a command was acknowledged without having been saved")
	}
	if err := single.group.Reopen(); err == nil {
		t.Fatal("the member was reopened on a disk that fails")
	}
	// when it is stopped, then done is called once.
	calls := 0
	single.group.Stop(func() { calls++ })
	for range 2 {
		if _, err := single.group.RunOnce(); err != nil {
			t.Error(err)
		}
	}
	if calls != 1 {
		t.Errorf("done was called %d times, want once", calls)
	}
}

func TestStop_CallsPending_EndWithoutResult(t *testing.T) {
	// Given a leader with a pending command and a pending read,
	single := newSingle(t, 0, "a")
	single.becomeLeader()
	var outcomes []error
	record := func(_ any, err error) { outcomes = append(outcomes, err) }
	single.group.ProposeAsync("x", record)
	single.group.ReadAsync(func() { t.Error("the view of a pending read was run after the stop") }, record)
	// when it is stopped, then both calls fail, and so does a later one.
	single.group.Stop(func() {})
	if _, err := single.group.RunOnce(); err != nil {
		t.Fatal(err)
	}
	single.group.ProposeAsync("y", record)
	if len(outcomes) != 3 {
		t.Fatalf("%d calls have ended, want 3", len(outcomes))
	}
	for i, err := range outcomes {
		if err == nil {
			t.Errorf("call %d to a stopped member has succeeded", i)
		}
	}
	if single.group.Status().IsLeader {
		t.Error("a stopped member reports that it is the leader")
	}
}
