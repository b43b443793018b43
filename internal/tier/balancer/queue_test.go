package balancer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestQueue_Pop_MostUrgentFirst(t *testing.T) {
	// Given waiters of two ranks.
	q := NewQueue(10)
	q.Push(QueuedRequest{ID: 1, Priority: 1, Deadline: 100, ExpiresAt: 50})
	q.Push(QueuedRequest{ID: 2, Priority: 0, Deadline: 300, ExpiresAt: 50})
	q.Push(QueuedRequest{ID: 3, Priority: 0, Deadline: 200, ExpiresAt: 50})
	// When they leave, then by rank, and by deadline within it.
	var got []uint64
	for w, ok := q.Pop(); ok; w, ok = q.Pop() {
		got = append(got, w.ID)
	}
	if want := []uint64{3, 2, 1}; !slices.Equal(got, want) {
		t.Errorf("left in order %v, want %v", got, want)
	}
}

func TestQueue_PushWhenFull_RejectsLeastUrgent(t *testing.T) {
	q := NewQueue(2)
	q.Push(QueuedRequest{ID: 1, Priority: 1, Deadline: 100, ExpiresAt: 50})
	q.Push(QueuedRequest{ID: 2, Priority: 2, Deadline: 100, ExpiresAt: 50})
	if w, full := q.Push(QueuedRequest{ID: 3, Priority: 0, Deadline: 100, ExpiresAt: 50}); !full || w.ID != 2 {
		t.Errorf("rejected %v (%v), want 2", w.ID, full)
	}
	if w, full := q.Push(QueuedRequest{ID: 4, Priority: 3, Deadline: 100, ExpiresAt: 50}); !full || w.ID != 4 {
		t.Errorf("rejected %v (%v), want 4", w.ID, full)
	}
}

func TestNewQueuedRequest_Expiry_QuarterOfLatencyTarget(t *testing.T) {
	if got := NewQueuedRequest(1, 0, time.Second, 400*time.Millisecond, 2*time.Second).ExpiresAt; got != 1100*time.Millisecond {
		t.Errorf("waits until %v, want 1.1s", got)
	}
	if got := NewQueuedRequest(1, 0, time.Second, 400*time.Millisecond, 30*time.Millisecond).ExpiresAt; got != 1030*time.Millisecond {
		t.Errorf("waits until %v, want the end of its time, 1.03s", got)
	}
}

func TestQueue_RandomOperations_KeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(rt, "limit")
		q, waiting, now, id := NewQueue(limit), map[uint64]QueuedRequest{}, time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				id++
				left := time.Duration(rapid.IntRange(1, 500).Draw(rt, "left")) * time.Millisecond
				w := NewQueuedRequest(id, rapid.IntRange(0, 2).Draw(rt, "rank"), now, 400*time.Millisecond, left)
				waiting[id] = w
				if rejected, full := q.Push(w); full {
					for _, other := range waiting {
						if rejected.before(&other) {
							rt.Fatalf("rejected %+v while %+v is less urgent", rejected, other)
						}
					}
					delete(waiting, rejected.ID)
				}
			case 2:
				if w, ok := q.Pop(); ok {
					for _, other := range waiting {
						if other.before(&w) {
							rt.Fatalf("%+v left before %+v", w, other)
						}
					}
					delete(waiting, w.ID)
				}
			default:
				removed := rapid.Uint64Range(1, max(1, id)).Draw(rt, "gone")
				if _, there := waiting[removed]; q.Remove(removed) != there {
					rt.Fatalf("removing %d: want %v", removed, there)
				}
				delete(waiting, removed)
			}
			for w, ok := q.PopExpired(now); ok; w, ok = q.PopExpired(now) {
				if w.ExpiresAt > now {
					rt.Fatalf("%+v rejected at %v", w, now)
				}
				delete(waiting, w.ID)
			}
			if next, ok := q.NextExpiry(); ok && next <= now {
				rt.Fatalf("one still waits past its bound")
			}
			if q.Len() != len(waiting) || q.Len() > limit {
				rt.Fatalf("%d wait, want %d, at most %d", q.Len(), len(waiting), limit)
			}
		}
	})
}
