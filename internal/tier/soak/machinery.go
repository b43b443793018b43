package soak

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"mastusher/internal/tier/localtier"
)

// service is a process of the tier, which several troubles may hold down or stopped at the same time. It runs once none holds it
// down, and goes on once none has it stopped.
type service struct {
	*localtier.Process
	number int

	mutex   sync.Mutex // not held while the process ends after SIGTERM
	held    int        // troubles that hold it down
	stopped int        // those that have it stopped
	pauses  int        // that there were
	started time.Time
	note    func(kind, format string, values ...any)
}

// holdDown kills services at once, and keeps them down until each is released. They come in the order of their numbers, in which
// all troubles lock them.
func holdDown(services []*service) {
	for _, s := range services {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.held++
		s.look()
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

// release ends a hold.
func (s *service) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.held--
	s.startLocked()
}

func (s *service) startLocked() {
	if s.held > 0 || s.Running() {
		return
	}
	if err := s.Start(); err != nil {
		s.note("HARNESS", "start of %v: %v", s, err)
		return
	}
	s.started = time.Now()
}

// look reports an end that the process came to by itself. The mutex is held.
func (s *service) look() {
	if err := s.Fault(); err != nil && !s.started.IsZero() {
		kind := "TERM"
		if s.EndedByItself() {
			kind = "ENDED"
		}
		s.note(kind, "%v, %v after its start", err, time.Since(s.started).Round(time.Millisecond))
		s.started = time.Time{}
	}
}

// watch starts the process again where it has ended by itself, as the platform does.
func (s *service) watch() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held == 0 && !s.Running() {
		s.look()
		s.startLocked()
	}
}

// pause stops the process until goOn.
func (s *service) pause() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped++
	s.pauses++
	if s.Running() {
		_ = s.Signal(syscall.SIGSTOP)
	}
}

// goOn ends a pause.
func (s *service) goOn() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped--
	if s.stopped == 0 && s.Running() {
		_ = s.Signal(syscall.SIGCONT)
	}
}

// terminate asks the process to end, and keeps it down until it is released. One that doesn't end in time is killed; that breaks a rule
// unless it was stopped meanwhile. One that doesn't listen yet may not know of SIGTERM yet, and is killed, too.
func (s *service) terminate() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.look()
	s.held++
	if !s.Running() {
		return
	}
	if s.stopped > 0 || !s.Listens() {
		_ = s.Signal(syscall.SIGKILL)
		_ = s.Wait(context.Background())
		return
	}
	_ = s.Signal(syscall.SIGTERM)
	pauses := s.pauses
	s.mutex.Unlock() // it may be killed and stopped meanwhile, and isn't started
	bounded, cancel := context.WithTimeout(context.Background(), termBound)
	defer cancel()
	late := s.Wait(bounded) != nil
	s.mutex.Lock()
	if late && s.Running() {
		if pauses == s.pauses {
			s.note("TERM", "%v did not end within %v of SIGTERM", s, termBound)
		}
		_ = s.Signal(syscall.SIGKILL)
		_ = s.Wait(context.Background())
	}
	s.look()
}

// cuts tells the machines' networks what they are cut off from, by files.
type cuts struct {
	folder string

	mutex sync.Mutex
	lists map[string]map[string]int // by machine: the addresses from which it gets nothing, and how many cuts hold
}

func newCuts(folder string, machines []localtier.Machine) (*cuts, error) {
	made := &cuts{folder: folder, lists: map[string]map[string]int{}}
	for _, m := range machines {
		made.lists[m.Name] = map[string]int{}
		if err := made.write(m); err != nil {
			return nil, err
		}
	}
	return made, nil
}

func (c *cuts) path(m localtier.Machine) string { return filepath.Join(c.folder, "cuts-"+m.Name) }

// write replaces the file of a machine in one step.
func (c *cuts) write(m localtier.Machine) error {
	var addresses []string
	for address, count := range c.lists[m.Name] {
		if count > 0 {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	next := c.path(m) + ".next"
	if err := os.WriteFile(next, []byte(strings.Join(addresses, "\n")), 0o644); err != nil {
		return err
	}
	return os.Rename(next, c.path(m))
}

// add has a machine get nothing from others, or ends that: by 1 or -1.
func (c *cuts) add(to localtier.Machine, from []localtier.Machine, by int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range from {
		if m.Name != to.Name {
			c.lists[to.Name][m.IP] += by
		}
	}
	return c.write(to)
}
