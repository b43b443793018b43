package balancer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestQueue_Pop_MostUrgentFirst(t *testing.T) {
	// Given requests of two priorities.
	q := NewQueue(10)
	q.Push(QueuedRequest{ID: 1, Priority: 1, Deadline: 100, ExpiresAt: 50})
	q.Push(QueuedRequest{ID: 2, Priority: 0, Deadline: 300, ExpiresAt: 50})
	q.Push(QueuedRequest{ID: 3, Priority: 0, Deadline: 200, ExpiresAt: 50})
	// When they are popped, then they are ordered by priority, and within a priority by deadline.
	var got []uint64
	for w, ok := q.Pop(); ok; w, ok = q.Pop() {
		got = append(got, w.ID)
	}
	if want := []uint64{3, 2, 1}; !slices.Equal(got, want) {
		t.Errorf("popped in the order %v, want %v", got, want)
	}
}

func TestQueue_PushWhenFull_RejectsLeastUrgent(t *testing.T) {
	q := NewQueue(2)
	q.Push(QueuedRequest{ID: 1, Priority: 1, Deadline: 100, ExpiresAt: 50})
	q.Push(QueuedRequest{ID: 2, Priority: 2, Deadline: 100, ExpiresAt: 50})
	if w, hasRejected := q.Push(QueuedRequest{ID: 3, Priority: 0, Deadline: 100, ExpiresAt: 50}); !hasRejected || w.ID != 2 {
		t.Errorf("rejected %v (%v), want 2", w.ID, hasRejected)
	}
	if w, hasRejected := q.Push(QueuedRequest{ID: 4, Priority: 3, Deadline: 100, ExpiresAt: 50}); !hasRejected || w.ID != 4 {
		t.Errorf("rejected %v (%v), want 4", w.ID, hasRejected)
	}
}

func TestNewQueuedRequest_Expiry_QuarterOfLatencyTarget(t *testing.T) {
	if got := NewQueuedRequest(1, 0, time.Second, 400*time.Millisecond, 2*time.Second).ExpiresAt; got != 1100*time.Millisecond {
		t.Errorf("expires at %v, want 1.1s", got)
	}
	if got := NewQueuedRequest(1, 0, time.Second, 400*time.Millisecond, 30*time.Millisecond).ExpiresAt; got != 1030*time.Millisecond {
		t.Errorf("expires at %v, want its deadline, 1.03s", got)
	}
}

func TestQueue_RandomOperations_KeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		queue, queued, now, id := NewQueue(limit), map[uint64]QueuedRequest{}, time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				id++
				left := time.Duration(rapid.IntRange(1, 500).Draw(t, "time left")) * time.Millisecond
				request := NewQueuedRequest(id, rapid.IntRange(0, 2).Draw(t, "priority"), now, 400*time.Millisecond, left)
				queued[id] = request
				if rejected, hasRejected := queue.Push(request); hasRejected {
					for _, other := range queued {
						if rejected.before(&other) {
							t.Fatalf("rejected %+v while %+v is less urgent", rejected, other)
						}
					}
					delete(queued, rejected.ID)
				}
			case 2:
				if request, ok := queue.Pop(); ok {
					for _, other := range queued {
						if other.before(&request) {
							t.Fatalf("%+v is popped before %+v", request, other)
						}
					}
					delete(queued, request.ID)
				}
			default:
				removed := rapid.Uint64Range(1, max(1, id)).Draw(t, "removed")
				if _, isQueued := queued[removed]; queue.Remove(removed) != isQueued {
					t.Fatalf("Remove(%d): the wrong result, want %v", removed, isQueued)
				}
				delete(queued, removed)
			}
			for request, ok := queue.PopExpired(now); ok; request, ok = queue.PopExpired(now) {
				if request.ExpiresAt > now {
					t.Fatalf("%+v is returned as expired at %v", request, now)
				}
				delete(queued, request.ID)
			}
			if next, ok := queue.NextExpiry(); ok && next <= now {
				t.Fatalf("a request is still queued after its expiry")
			}
			if queue.Len() != len(queued) || queue.Len() > limit {
				t.Fatalf("%d requests are queued, want %d, and at most %d", queue.Len(), len(queued), limit)
			}
		}
	})
}
