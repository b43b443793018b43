package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

func TestService_ProcessEndsByItself_IsAViolation(t *testing.T) {
	r := runOf(t, "false")
	s := r.services[0]
	s.restartIfExited()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := s.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	killAndHold([]*service{s})
	if got := r.kinds(); got["ENDED"] != 1 || len(got) != 1 {
		t.Errorf("%v", r.result.Violations)
	}
}

func TestService_SeveralHolds_ActsOnTheLastRelease(t *testing.T) {
	r := runOf(t, "sh", "-c", "exec sleep 60")
	s := r.services[1]
	defer func() { killAndHold([]*service{s}) }()
	s.restartIfExited()
	killAndHold(r.services[1:2])
	killAndHold(r.services[1:2])
	s.release()
	if s.Running() {
		t.Error("runs while it is held down")
	}
	s.release()
	if !s.Running() {
		t.Error("doesn't run")
	}
	s.pause()
	s.pause()
	s.resume()
	if state := stateOf(t, s); state != 'T' {
		t.Errorf("state %c while it is stopped", state)
	}
	s.resume()
	if len(r.result.Violations) > 0 {
		t.Errorf("%v", r.result.Violations)
	}
	// An end that no signal from here has brought about is noticed also where the process was killed before.
	_ = syscall.Kill(s.Pid(), syscall.SIGINT)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := s.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	s.restartIfExited()
	if r.kinds()["ENDED"] != 1 {
		t.Errorf("%v", r.result.Violations)
	}
}

// stateOf returns the state letter of a process in /proc, once it is stopped (T) or after testTimeout.
func stateOf(t *testing.T, s *service) byte {
	t.Helper()
	var state byte
	for end := time.Now().Add(testTimeout); state != 'T' && time.Now().Before(end); time.Sleep(time.Millisecond) {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.Pid()))
		if err != nil {
			t.Fatal(err)
		}
		state = status[bytes.LastIndexByte(status, ')')+2]
	}
	return state
}
