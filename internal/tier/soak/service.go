package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"mastusher/internal/tier/localtier"
)

// service is a process of the tier that several faults may hold down or paused at the same time. It is started once none holds
// it down, and resumed once none holds it paused.
type service struct {
	*localtier.Process
	number int // its index among the services

	// mutex guards the fields below and the Process. terminate releases it while it waits for the end after SIGTERM.
	mutex           sync.Mutex
	downFaults      int // faults that hold it down
	pauseFaults     int // faults that hold it paused
	pauses          int // number of pauses so far
	started         time.Time
	recordViolation func(kind, format string, values ...any)
}

// killUntilReleased kills services at the same time; each stays down until its release. The services must be in the order of their
// numbers, in which all faults lock them: locking them in different orders could deadlock.
func killUntilReleased(services []*service) {
	for _, s := range services {
		s.mutex.Lock()
		defer s.mutex.Unlock() // after all processes have ended
		s.downFaults++
		s.checkExit()
		if s.Running() {
			_ = s.Signal(syscall.SIGKILL)
		}
	}
	for _, s := range services {
		if s.Running() {
			_ = s.Wait(context.Background()) // SIGKILL always ends it
		}
	}
}

// release ends one killUntilReleased or terminate, and starts the process if no other fault holds it down.
func (s *service) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.downFaults--
	s.startLocked()
}

// startLocked starts the process unless it runs or is held down. The mutex must be held.
func (s *service) startLocked() {
	if s.downFaults > 0 || s.Running() {
		return
	}
	if err := s.Start(); err != nil {
		s.recordViolation("HARNESS", "starting %v: %v", s, err)
		return
	}
	s.started = time.Now()
}

// checkExit records a violation if the process has ended by itself, or with an error after SIGTERM, once for each start. The mutex must
// be held.
func (s *service) checkExit() {
	if err := s.ExitErr(); err != nil && !s.started.IsZero() {
		kind := "TERM"
		if s.ExitedUnexpectedly() {
			kind = "ENDED"
		}
		s.recordViolation(kind, "%v, %v after its start", err, time.Since(s.started).Round(time.Millisecond))
		s.started = time.Time{}
	}
}

// restartIfExited restarts the process if it has ended by itself, as the platform does.
func (s *service) restartIfExited() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.downFaults == 0 && !s.Running() {
		s.checkExit()
		s.startLocked()
	}
}

// pause stops the process with SIGSTOP until each pause has been ended by a resume.
func (s *service) pause() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pauseFaults++
	s.pauses++
	if s.Running() {
		_ = s.Signal(syscall.SIGSTOP)
	}
}

// resume ends one pause, and continues the process with SIGCONT after the last one.
func (s *service) resume() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pauseFaults--
	if s.pauseFaults == 0 && s.Running() {
		_ = s.Signal(syscall.SIGCONT)
	}
}

// terminate sends SIGTERM, and the process stays down until release. A process that does not end within shutdownBound is
// killed, which is a violation unless it was paused meanwhile. One that does not listen yet may not handle SIGTERM yet, and is
// killed at once, as is one that is paused.
func (s *service) terminate() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.checkExit()
	s.downFaults++
	if !s.Running() {
		return
	}
	if s.pauseFaults > 0 || !s.Listens() {
		_ = s.Signal(syscall.SIGKILL)
		_ = s.Wait(context.Background())
		return
	}
	_ = s.Signal(syscall.SIGTERM)
	pauses := s.pauses
	s.mutex.Unlock() // other faults may kill or pause it meanwhile, but it is not started
	bounded, cancel := context.WithTimeout(context.Background(), shutdownBound)
	defer cancel()
	late := s.Wait(bounded) != nil
	s.mutex.Lock()
	if late && s.Running() {
		if pauses == s.pauses {
			s.recordViolation("TERM", "%v did not end within %v of SIGTERM", s, shutdownBound)
		}
		_ = s.Signal(syscall.SIGKILL)
		_ = s.Wait(context.Background())
	}
	s.checkExit()
}
