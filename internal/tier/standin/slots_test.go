package standin

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func TestSlots_Release_GrantsByPriorityThenArrival(t *testing.T) {
	// Given a full endpoint with a queue of three
	pool := slots{capacity: 1, queue: 3}
	if _, err := pool.enqueue(5); err != nil {
		t.Fatal(err)
	}
	var queued []*waiter
	for _, priority := range []int{5, 7, 5} {
		waiting, err := pool.enqueue(priority)
		if err != nil {
			t.Fatal(err)
		}
		queued = append(queued, waiting)
	}
	// When a request arrives that is as urgent as the least urgent in the queue, then it is rejected
	if _, err := pool.enqueue(7); !errors.Is(err, errFull) {
		t.Errorf("got %v", err)
	}
	// When a more urgent request arrives, then it displaces the least urgent
	urgent, err := pool.enqueue(0)
	if err != nil {
		t.Fatal(err)
	}
	if <-queued[1].granted {
		t.Error("the least urgent request was admitted")
	}
	// And released slots go to the most urgent request, and among equals to the one that arrived first
	for i, next := range []*waiter{urgent, queued[0], queued[2]} {
		pool.release()
		select {
		case <-next.granted:
		default:
			t.Fatalf("release %d granted the slot to another request", i)
		}
	}
}

func TestSlots_Acquire_ContextEnds_ReturnsItsError(t *testing.T) {
	pool := slots{capacity: 1, queue: 1}
	if err := pool.acquire(t.Context(), 5); err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := pool.acquire(ended, 5); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	pool.release()
	if running, waiting := pool.counts(); running != 0 || waiting != 0 {
		t.Errorf("%d run and %d wait, want none", running, waiting)
	}
}

func TestSlots_AnySteps_NeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := slots{capacity: rapid.IntRange(1, 3).Draw(t, "capacity"), queue: rapid.IntRange(0, 3).Draw(t, "queue")}
		var waiting []*waiter
		holders := 0
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				entered, err := pool.enqueue(rapid.IntRange(0, 9).Draw(t, "priority"))
				if err == nil && entered == nil {
					holders++
				}
				if entered != nil {
					waiting = append(waiting, entered)
				}
			case 1:
				if holders > 0 {
					pool.release()
					holders--
				}
			case 2:
				if len(waiting) > 0 {
					pool.abandon(waiting[0])
					waiting = waiting[1:]
				}
			}
			var queuedStill []*waiter
			for _, one := range waiting {
				select {
				case admitted := <-one.granted:
					if admitted {
						holders++
					}
				default:
					queuedStill = append(queuedStill, one)
				}
			}
			waiting = queuedStill
			running, queued := pool.counts()
			if running != holders || running > pool.capacity || queued != len(waiting) || queued > pool.queue {
				t.Fatalf("slots count %d running and %d waiting; the test holds %d slots and has %d waiters", running, queued, holders, len(waiting))
			}
			if queued > 0 && running < pool.capacity {
				t.Fatalf("%d wait while %d of %d run", queued, running, pool.capacity)
			}
		}
	})
}
