package proxy

import (
	"context"
	"time"

	"mastusher/internal/tier/balancer"
)

// minPollInterval is the shortest time after which a waiting request asks again by itself.
const minPollInterval = 5 * time.Millisecond

// enqueue puts a request into its service's queue. The caller holds the mutex.
func (s *LoadBalancer) enqueue(facts *RequestInfo) (uint64, *queuedWaiter, *Rejection) {
	now := s.now()
	arrived := now - time.Since(facts.ArrivedAt)
	target := time.Duration(facts.Route.LatencyTargetMs) * time.Millisecond
	s.lastID++
	entry := balancer.NewQueuedRequest(s.lastID, facts.Route.Priority, arrived, target, facts.Deadline.Sub(facts.ArrivedAt))
	if entry.ExpiresAt <= now {
		return 0, nil, s.rejectionFor(facts)
	}
	w := &queuedWaiter{info: facts, expiresAt: entry.ExpiresAt, result: make(chan selectResult, 1)}
	s.waiting[entry.ID] = w
	if displaced, full := s.queueFor(facts.Service.Name).Push(entry); full {
		s.resolve(displaced.ID, selectResult{err: s.rejectionFor(facts)})
	}
	s.dispatch(facts.Service.Name)
	return entry.ID, w, nil
}

func (s *LoadBalancer) queueFor(service string) *balancer.Queue {
	queue := s.queues[service]
	if queue == nil {
		queue = balancer.NewQueue(maxQueued)
		s.queues[service] = queue
	}
	return queue
}

// rejectionFor returns the refusal of a request for which there is no place, with the scheduler's time to come back.
func (s *LoadBalancer) rejectionFor(facts *RequestInfo) *Rejection {
	return rejectionOf(s.balancer.Select(s.now(), requestFor(facts)).Rejection)
}

// await returns what a waiter is given. It asks again now and then, as an endpoint's refusal may have come to its end, and
// when the waiter's own time is over.
func (s *LoadBalancer) await(ctx context.Context, id uint64, w *queuedWaiter) (Selection, error) {
	timer := time.NewTimer(nextPollIn(w.expiresAt-s.now(), minPollInterval))
	defer timer.Stop()
	for pause := 2 * minPollInterval; ; pause *= 2 {
		select {
		case placed := <-w.result:
			return placed.selection, placed.err
		case <-timer.C:
			s.poll(w.info.Service.Name)
			timer.Reset(nextPollIn(w.expiresAt-s.now(), pause))
		case <-ctx.Done():
			return Selection{}, s.leaveQueue(ctx, id, w)
		}
	}
}

// nextPollIn returns how long a waiter sleeps that has left time to wait: no longer than that, as it is to be refused on
// time, and as long as the pause once that is over.
func nextPollIn(left, pause time.Duration) time.Duration {
	if left <= 0 {
		return pause
	}
	return min(left, pause)
}

// poll looks for places and refuses those whose time to wait is over.
func (s *LoadBalancer) poll(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dispatch(service)
}

// leaveQueue takes a waiter whose client has gone out of its queue, and gives back a place that it got meanwhile.
func (s *LoadBalancer) leaveQueue(ctx context.Context, id uint64, w *queuedWaiter) error {
	s.mutex.Lock()
	delete(s.waiting, id)
	s.queueFor(w.info.Service.Name).Remove(id)
	s.mutex.Unlock()
	select {
	case placed := <-w.result:
		if placed.err == nil {
			s.Done(placed.selection, Outcome{Result: Cancelled})
		}
	default:
	}
	return context.Cause(ctx)
}

// dispatchAll serves all queues. The caller holds the mutex.
func (s *LoadBalancer) dispatchAll() {
	if len(s.waiting) == 0 {
		return
	}
	for service := range s.queues {
		s.dispatch(service)
	}
}

// dispatch gives places to the waiters of a service, the most urgent first, and refuses those whose time to wait is over. The
// caller holds the mutex.
func (s *LoadBalancer) dispatch(service string) {
	queue := s.queues[service]
	if queue == nil {
		return
	}
	for {
		entry, waits := queue.Peek()
		if !waits {
			return
		}
		placed, full := s.trySelect(s.waiting[entry.ID].info)
		if full {
			break
		}
		queue.Pop()
		s.resolve(entry.ID, placed)
	}
	for {
		entry, expired := queue.PopExpired(s.now())
		if !expired {
			return
		}
		s.resolve(entry.ID, selectResult{err: s.rejectionFor(s.waiting[entry.ID].info)})
	}
}

// resolve hands a waiter its answer. The caller holds the mutex.
func (s *LoadBalancer) resolve(id uint64, placed selectResult) {
	w := s.waiting[id]
	delete(s.waiting, id)
	w.result <- placed
}
