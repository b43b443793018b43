package testcluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mastusher/internal/relay/fleet/checker"
)

// Relay is a relay of the fleet. Its process may or may not run.
type Relay struct {
	Name          string
	Index         int
	ClientAddress string // address for clients
	peerAddress   string
	stateDir      string
	configFile    string
	clockRate     float64 // speed of its clock, in builds with the tag fleetrig
	diskDelay     string  // added to each sync of its disk, in builds with the tag fleetrig

	mu      sync.Mutex
	cmd     *exec.Cmd // nil: not running
	stopped bool
	exited  chan struct{} // closed when the previous process has ended; nil: there was none
}

// Start starts a relay with its current state, after its previous process has ended. It does nothing if the relay is running.
func (f *Fleet) Start(r *Relay) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		return nil
	}
	if r.exited != nil { // the previous process uses the folder and the ports while it drains
		<-r.exited
	}
	log, err := os.OpenFile(filepath.Join(f.dir, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.binary, "serve", "--config", r.configFile, "--log-format", "json")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=", "MASTUSHER_CLOCK_RATE="+strconv.FormatFloat(r.clockRate, 'f', -1, 64),
		"MASTUSHER_SLOW_DISK="+r.diskDelay, "MASTUSHER_FULL_DISK="+r.diskFullFile())
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("the relay's program: %w", err)
	}
	r.cmd, r.stopped = cmd, false
	f.record(checker.Entry{Kind: checker.Started, Relay: r.Name})
	return nil
}

// diskFullFile returns the path of the file whose presence simulates a full disk of a relay (tag fleetrig).
func (r *Relay) diskFullFile() string { return r.stateDir + ".full" }

// signal sends a signal to a relay, and reports whether the relay is running and got it.
func (r *Relay) signal(s syscall.Signal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return false
	}
	switch s {
	case syscall.SIGSTOP:
		r.stopped = true
	case syscall.SIGCONT:
		r.stopped = false
	}
	return r.cmd.Process.Signal(s) == nil
}

// stop ends a relay's process with a signal and waits for its end. After 20 s it kills the process.
func (f *Fleet) stop(r *Relay, s syscall.Signal) {
	r.mu.Lock()
	cmd, stopped := r.cmd, r.stopped
	if cmd == nil {
		r.mu.Unlock()
		return
	}
	r.cmd = nil
	ending := make(chan struct{})
	r.exited = ending
	r.mu.Unlock()
	defer close(ending)
	_ = cmd.Process.Signal(s)
	if stopped {
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
	killTimer := time.AfterFunc(20*time.Second, func() {
		if s != syscall.SIGKILL {
			f.record(checker.Entry{Kind: checker.Breached, Relay: r.Name, Text: "it does not end after SIGTERM"})
		}
		_ = cmd.Process.Kill()
	})
	_ = cmd.Wait()
	killTimer.Stop()
}

// Running reports whether a relay is running and not paused.
func (r *Relay) Running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd != nil && !r.stopped
}
