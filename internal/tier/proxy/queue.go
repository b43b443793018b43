package proxy

import (
	"context"
	"time"

	"mastusher/internal/tier/balancer"
)

// leastPause is the shortest time after which a waiting request asks again by itself.
const leastPause = 5 * time.Millisecond

// join puts a request into its service's queue. The caller holds the mutex.
func (s *LoadBalancer) join(facts *RequestInfo) (uint64, *waiter, *Rejection) {
	now := s.now()
	arrived := now - time.Since(facts.ArrivedAt)
	target := time.Duration(facts.Route.LatencyTargetMs) * time.Millisecond
	s.lastID++
	entry := balancer.NewQueuedRequest(s.lastID, facts.Route.Priority, arrived, target, facts.Deadline.Sub(facts.ArrivedAt))
	if entry.ExpiresAt <= now {
		return 0, nil, s.refusal(facts)
	}
	w := &waiter{facts: facts, until: entry.ExpiresAt, given: make(chan placing, 1)}
	s.waiting[entry.ID] = w
	if displaced, full := s.queue(facts.Service.Name).Push(entry); full {
		s.give(displaced.ID, placing{err: s.refusal(facts)})
	}
	s.pump(facts.Service.Name)
	return entry.ID, w, nil
}

func (s *LoadBalancer) queue(service string) *balancer.Queue {
	queue := s.queues[service]
	if queue == nil {
		queue = balancer.NewQueue(mostWaiting)
		s.queues[service] = queue
	}
	return queue
}

// refusal returns the refusal of a request for which there is no place, with the scheduler's time to come back.
func (s *LoadBalancer) refusal(facts *RequestInfo) *Rejection {
	return refusalOf(s.core.Select(s.now(), requestOf(facts)).Rejection)
}

// wait returns what a waiter is given. It asks again now and then, as an endpoint's refusal may have come to its end, and
// when the waiter's own time is over.
func (s *LoadBalancer) wait(ctx context.Context, id uint64, w *waiter) (Selection, error) {
	timer := time.NewTimer(pauseUntil(w.until-s.now(), leastPause))
	defer timer.Stop()
	for pause := 2 * leastPause; ; pause *= 2 {
		select {
		case placed := <-w.given:
			return placed.choice, placed.err
		case <-timer.C:
			s.ask(w.facts.Service.Name)
			timer.Reset(pauseUntil(w.until-s.now(), pause))
		case <-ctx.Done():
			return Selection{}, s.leave(ctx, id, w)
		}
	}
}

// pauseUntil returns how long a waiter sleeps that has left time to wait: no longer than that, as it is to be refused on
// time, and as long as the pause once that is over.
func pauseUntil(left, pause time.Duration) time.Duration {
	if left <= 0 {
		return pause
	}
	return min(left, pause)
}

// ask looks for places and refuses those whose time to wait is over.
func (s *LoadBalancer) ask(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pump(service)
}

// leave takes a waiter whose client has gone out of its queue, and gives back a place that it got meanwhile.
func (s *LoadBalancer) leave(ctx context.Context, id uint64, w *waiter) error {
	s.mutex.Lock()
	delete(s.waiting, id)
	s.queue(w.facts.Service.Name).Remove(id)
	s.mutex.Unlock()
	select {
	case placed := <-w.given:
		if placed.err == nil {
			s.Done(placed.choice, Outcome{Result: Cancelled})
		}
	default:
	}
	return context.Cause(ctx)
}

// pumpAll serves all queues. The caller holds the mutex.
func (s *LoadBalancer) pumpAll() {
	if len(s.waiting) == 0 {
		return
	}
	for service := range s.queues {
		s.pump(service)
	}
}

// pump gives places to the waiters of a service, the most urgent first, and refuses those whose time to wait is over. The
// caller holds the mutex.
func (s *LoadBalancer) pump(service string) {
	queue := s.queues[service]
	if queue == nil {
		return
	}
	for {
		entry, waits := queue.Peek()
		if !waits {
			return
		}
		placed, full := s.place(s.waiting[entry.ID].facts)
		if full {
			break
		}
		queue.Pop()
		s.give(entry.ID, placed)
	}
	for {
		entry, expired := queue.PopExpired(s.now())
		if !expired {
			return
		}
		s.give(entry.ID, placing{err: s.refusal(s.waiting[entry.ID].facts)})
	}
}

// give hands a waiter its answer. The caller holds the mutex.
func (s *LoadBalancer) give(id uint64, placed placing) {
	w := s.waiting[id]
	delete(s.waiting, id)
	w.given <- placed
}
