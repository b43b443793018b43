package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
)

// errFull means that all slots are taken and the queue is full, or that a more urgent request displaced this one from it.
var errFull = errors.New("full")

// slots limits an endpoint's concurrent requests. Further requests wait in a queue, ordered by priority, then by arrival.
type slots struct {
	capacity int // number of slots
	queue    int // capacity of the queue

	mutex   sync.Mutex // guards all fields below
	running int
	waiting []*waiter
}

// waiter is a request in the queue.
type waiter struct {
	priority int       // 0 is the most urgent
	granted  chan bool // false: displaced
}

// acquire takes a slot, or waits in the queue for one. Its error is errFull or that of ctx.
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

// enqueue takes a free slot, or enters the queue; a nil waiter means that it took a slot.
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
	index := 0
	for index < len(s.waiting) && s.waiting[index].priority <= priority {
		index++
	}
	s.waiting = slices.Insert(s.waiting, index, entered)
	return entered, nil
}

// displaceLocked rejects the least urgent waiter for a more urgent request; false means that none is less urgent.
func (s *slots) displaceLocked(priority int) bool {
	last := len(s.waiting) - 1
	if last < 0 || s.waiting[last].priority <= priority {
		return false
	}
	s.waiting[last].granted <- false
	s.waiting = s.waiting[:last]
	return true
}

// abandon removes a waiter from the queue, or releases the slot that it was granted meanwhile.
func (s *slots) abandon(abandoned *waiter) {
	s.mutex.Lock()
	index := slices.Index(s.waiting, abandoned)
	if index >= 0 {
		s.waiting = slices.Delete(s.waiting, index, index+1)
	}
	s.mutex.Unlock()
	if index < 0 && <-abandoned.granted {
		s.release()
	}
}

// release frees a slot, or grants it to the first waiter.
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

// counts returns how many requests run and how many wait.
func (s *slots) counts() (running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, len(s.waiting)
}

// load returns the value of X-Server-Load: the numbers of running and waiting requests, and the capacity.
func (s *slots) load() string {
	running, waiting := s.counts()
	return fmt.Sprintf("%d,%d,%d", running, waiting, s.capacity)
}
