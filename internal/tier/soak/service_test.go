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
	killUntilReleased([]*service{s})
	if got := r.kinds(); got["ENDED"] != 1 || len(got) != 1 {
		t.Errorf("%v", r.result.Violations)
	}
}

func TestService_SeveralFaults_RestartsAfterTheLastRelease(t *testing.T) {
	soak := runOf(t, "sh", "-c", "exec sleep 60")
	target := soak.services[1]
	defer func() { killUntilReleased([]*service{target}) }()
	target.restartIfExited()
	killUntilReleased(soak.services[1:2])
	killUntilReleased(soak.services[1:2])
	target.release()
	if target.Running() {
		t.Error("runs while it is held down")
	}
	target.release()
	if !target.Running() {
		t.Error("doesn't run after the last release")
	}
	target.pause()
	target.pause()
	target.resume()
	if state := stateOf(t, target); state != 'T' {
		t.Errorf("state %c while a fault still pauses it, want T", state)
	}
	target.resume()
	if len(soak.result.Violations) > 0 {
		t.Errorf("%v", soak.result.Violations)
	}
	// An exit that the service didn't request is a violation, also if a fault killed the process before.
	_ = syscall.Kill(target.Pid(), syscall.SIGINT)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := target.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	target.restartIfExited()
	if soak.kinds()["ENDED"] != 1 {
		t.Errorf("%v", soak.result.Violations)
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
