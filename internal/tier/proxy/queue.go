package proxy

import (
	"context"
	"time"

	"mastusher/internal/tier/balancer"
)

const (
	// maxQueued bounds the queued requests of one service. A larger value absorbs longer bursts; in bursts that are longer still, the
	// least urgent requests wait and are rejected anyway.
	maxQueued = 512
	// minPollInterval is the shortest interval at which a queued request polls for capacity.
	minPollInterval = 5 * time.Millisecond
)

// queuedWaiter is a goroutine that waits in Select for its queued request.
type queuedWaiter struct {
	info      *RequestInfo
	expiresAt time.Duration     // when the request is rejected
	result    chan selectResult // receives one result, when the request is selected or rejected
}

// selectResult is the result of Select.
type selectResult struct {
	selection Selection
	err       error
}

// enqueue adds a request to its service's queue. A request whose queueing time is already over is rejected. The caller must hold the
// mutex.
func (b *LoadBalancer) enqueue(info *RequestInfo) (uint64, *queuedWaiter, *RejectionError) {
	now := b.now()
	arrivedAt := now - time.Since(info.ArrivedAt)
	latencyTarget := time.Duration(info.Route.LatencyTargetMs) * time.Millisecond
	b.lastID++
	entry := balancer.NewQueuedRequest(b.lastID, info.Route.Priority, arrivedAt, latencyTarget, info.Deadline.Sub(info.ArrivedAt))
	if entry.ExpiresAt <= now {
		return 0, nil, b.noCapacityError(info)
	}
	waiter := &queuedWaiter{info: info, expiresAt: entry.ExpiresAt, result: make(chan selectResult, 1)}
	b.waiting[entry.ID] = waiter
	if displaced, full := b.queueFor(info.Service.Name).Push(entry); full {
		b.resolve(displaced.ID, selectResult{err: b.noCapacityError(b.waiting[displaced.ID].info)})
	}
	b.dispatch(info.Service.Name)
	return entry.ID, waiter, nil
}

// queueFor returns the queue of a service, and creates it if necessary.
func (b *LoadBalancer) queueFor(service string) *balancer.Queue {
	queue := b.queues[service]
	if queue == nil {
		queue = balancer.NewQueue(maxQueued)
		b.queues[service] = queue
	}
	return queue
}

// noCapacityError returns the rejection of a request for which there is no capacity, with the balancer's Retry-After.
func (b *LoadBalancer) noCapacityError(info *RequestInfo) *RejectionError {
	return newRejectionError(b.balancer.Select(b.now(), balancerRequest(info)).Rejection)
}

// await returns the result of a queued request. It polls at growing intervals, since an endpoint's backoff may end without an event,
// and once when the request expires.
func (b *LoadBalancer) await(ctx context.Context, id uint64, waiter *queuedWaiter) (Selection, error) {
	timer := time.NewTimer(nextPollDelay(waiter.expiresAt-b.now(), minPollInterval))
	defer timer.Stop()
	for interval := 2 * minPollInterval; ; interval *= 2 {
		select {
		case result := <-waiter.result:
			return result.selection, result.err
		case <-timer.C:
			b.poll(waiter.info.Service.Name)
			timer.Reset(nextPollDelay(waiter.expiresAt-b.now(), interval))
		case <-ctx.Done():
			return Selection{}, b.leaveQueue(ctx, id, waiter)
		}
	}
}

// nextPollDelay returns the delay until the next poll of a request that expires in timeLeft: at most timeLeft, so that the request is
// rejected on time, and the full interval once it has expired.
func nextPollDelay(timeLeft, interval time.Duration) time.Duration {
	if timeLeft <= 0 {
		return interval
	}
	return min(timeLeft, interval)
}

// poll dispatches the queue of a service.
func (b *LoadBalancer) poll(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatch(service)
}

// leaveQueue removes a request whose context has ended from its queue, and releases the selection if one was made in the meantime.
func (b *LoadBalancer) leaveQueue(ctx context.Context, id uint64, waiter *queuedWaiter) error {
	b.mutex.Lock()
	delete(b.waiting, id)
	b.queueFor(waiter.info.Service.Name).Remove(id)
	b.mutex.Unlock()
	select {
	case result := <-waiter.result:
		if result.err == nil {
			b.Done(result.selection, Outcome{Result: Cancelled})
		}
	default:
	}
	return context.Cause(ctx)
}

// dispatchAll dispatches the queues of all services. The caller must hold the mutex.
func (b *LoadBalancer) dispatchAll() {
	if len(b.waiting) == 0 {
		return
	}
	for service := range b.queues {
		b.dispatch(service)
	}
}

// dispatch selects endpoints for the queued requests of a service, the most urgent first, until there is no capacity for one, and then
// rejects those that have expired. The caller must hold the mutex.
func (b *LoadBalancer) dispatch(service string) {
	queue := b.queues[service]
	if queue == nil {
		return
	}
	for {
		entry, queued := queue.Peek()
		if !queued {
			return
		}
		result, saturated := b.selectNow(b.waiting[entry.ID].info)
		if saturated {
			break
		}
		queue.Pop()
		b.resolve(entry.ID, result)
	}
	for {
		entry, expired := queue.PopExpired(b.now())
		if !expired {
			return
		}
		b.resolve(entry.ID, selectResult{err: b.noCapacityError(b.waiting[entry.ID].info)})
	}
}

// resolve sends a waiter its result. The caller must hold the mutex.
func (b *LoadBalancer) resolve(id uint64, result selectResult) {
	waiter := b.waiting[id]
	delete(b.waiting, id)
	waiter.result <- result
}
