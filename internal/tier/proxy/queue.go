package proxy

import (
	"context"
	"time"

	"mastusher/internal/tier/balancer"
)

const (
	// maxQueued bounds the requests of one service that wait for capacity. A larger value rides out longer bursts, and makes
	// the least urgent requests wait in vain in longer ones.
	maxQueued = 512
	// minPollInterval is the shortest time after which a queued request polls for capacity by itself.
	minPollInterval = 5 * time.Millisecond
)

// queuedWaiter is a goroutine that waits in Select until its request leaves the queue.
type queuedWaiter struct {
	info      *RequestInfo
	expiresAt time.Duration     // when the request is rejected
	result    chan selectResult // gets one result, when the request leaves the queue
}

// selectResult is what Select returns.
type selectResult struct {
	selection Selection
	err       error
}

// enqueue puts a request into its service's queue. A request that has waited long enough already is rejected. The caller holds
// the mutex.
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

// queueFor returns the queue of a service, which it creates if necessary.
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

// await returns the result of a queued request. It polls with a growing interval, as an endpoint's backoff may end without any
// event, and when the request itself expires.
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

// nextPollDelay returns the time until the next poll of a request that expires in timeLeft: no longer than that, as it must be
// rejected on time, and a full interval once it has expired.
func nextPollDelay(timeLeft, interval time.Duration) time.Duration {
	if timeLeft <= 0 {
		return interval
	}
	return min(timeLeft, interval)
}

// poll dispatches a service's queue.
func (b *LoadBalancer) poll(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatch(service)
}

// leaveQueue takes a request whose client has closed its connection out of its queue, and gives back a selection that it got
// meanwhile.
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

// dispatchAll dispatches all queues. The caller holds the mutex.
func (b *LoadBalancer) dispatchAll() {
	if len(b.waiting) == 0 {
		return
	}
	for service := range b.queues {
		b.dispatch(service)
	}
}

// dispatch selects endpoints for the queued requests of a service, the most urgent first, until one must wait on, and rejects those
// that have expired. The caller holds the mutex.
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

// resolve hands a waiter its result. The caller holds the mutex.
func (b *LoadBalancer) resolve(id uint64, result selectResult) {
	waiter := b.waiting[id]
	delete(b.waiting, id)
	waiter.result <- result
}
