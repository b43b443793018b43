package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
)

// errFull means that all slots are taken and the queue is full, or that a more urgent request took the place in it.
var errFull = errors.New("full")

// slots are an endpoint's places, with a queue in front of them that is served by priority, then by arrival.
type slots struct {
	capacity int
	queue    int

	mutex   sync.Mutex
	running int
	waiting []*waiter
}

type waiter struct {
	priority int
	granted  chan bool // false: displaced
}

// acquire takes a slot or waits for one.
func (s *slots) acquire(ctx context.Context, priority int) error {
	waiting, err := s.enqueue(priority)
	if err != nil || waiting == nil {
		return err
	}
	select {
	case admitted := <-waiting.granted:
		if !admitted {
			return errFull
		}
		return nil
	case <-ctx.Done():
		s.abandon(waiting)
		return ctx.Err()
	}
}

// enqueue takes a free slot, or gives a place in the queue.
func (s *slots) enqueue(priority int) (*waiter, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running < s.capacity {
		s.running++
		return nil, nil
	}
	if len(s.waiting) >= s.queue && !s.displaceLocked(priority) {
		return nil, errFull
	}
	entered := &waiter{priority: priority, granted: make(chan bool, 1)}
	at := 0
	for at < len(s.waiting) && s.waiting[at].priority <= priority {
		at++
	}
	s.waiting = slices.Insert(s.waiting, at, entered)
	return entered, nil
}

// displaceLocked turns the least urgent out of the queue for a more urgent one.
func (s *slots) displaceLocked(priority int) bool {
	last := len(s.waiting) - 1
	if last < 0 || s.waiting[last].priority <= priority {
		return false
	}
	s.waiting[last].granted <- false
	s.waiting = s.waiting[:last]
	return true
}

// abandon gives up a place in the queue, or the slot that was given meanwhile.
func (s *slots) abandon(gone *waiter) {
	s.mutex.Lock()
	at := slices.Index(s.waiting, gone)
	if at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	s.mutex.Unlock()
	if at < 0 && <-gone.granted {
		s.release()
	}
}

// release hands a slot to the first in the queue.
func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	first := s.waiting[0]
	s.waiting = slices.Delete(s.waiting, 0, 1)
	first.granted <- true
}

func (s *slots) counts() (running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, len(s.waiting)
}

// load is the value of X-Server-Load.
func (s *slots) load() string {
	running, waiting := s.counts()
	return fmt.Sprintf("%d,%d,%d", running, waiting, s.capacity)
}
