package standin

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func TestSlotsAreGivenByPriorityThenByArrival(t *testing.T) {
	// Given a full endpoint with a queue of three
	places := slots{capacity: 1, queue: 3}
	places.enqueue(5)
	var queued []*waiter
	for _, priority := range []int{5, 7, 5} {
		waiting, err := places.enqueue(priority)
		if err != nil {
			t.Fatal(err)
		}
		queued = append(queued, waiting)
	}
	// When another as urgent as the least urgent comes, then it is turned away
	if _, err := places.enqueue(7); !errors.Is(err, errFull) {
		t.Errorf("got %v", err)
	}
	// When a more urgent one comes, then it displaces the least urgent
	urgent, err := places.enqueue(0)
	if err != nil {
		t.Fatal(err)
	}
	if <-queued[1].granted {
		t.Error("the least urgent was admitted")
	}
	// And slots go to the most urgent, then to the first
	for i, next := range []*waiter{urgent, queued[0], queued[2]} {
		places.release()
		select {
		case <-next.granted:
		default:
			t.Fatalf("release %d went to another", i)
		}
	}
}

func TestAcquireEndsWithItsContext(t *testing.T) {
	places := slots{capacity: 1, queue: 1}
	if err := places.acquire(t.Context(), 5); err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := places.acquire(ended, 5); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	places.release()
	if running, waiting := places.counts(); running != 0 || waiting != 0 {
		t.Errorf("%d run, %d wait", running, waiting)
	}
}

func TestSlotsAreNeverOverfull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := slots{capacity: rapid.IntRange(1, 3).Draw(t, "capacity"), queue: rapid.IntRange(0, 3).Draw(t, "queue")}
		var waiting []*waiter
		held := 0
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				entered, err := places.enqueue(rapid.IntRange(0, 9).Draw(t, "priority"))
				if err == nil && entered == nil {
					held++
				}
				if entered != nil {
					waiting = append(waiting, entered)
				}
			case 1:
				if held > 0 {
					places.release()
					held--
				}
			case 2:
				if len(waiting) > 0 {
					places.abandon(waiting[0])
					waiting = waiting[1:]
				}
			}
			var still []*waiter
			for _, one := range waiting {
				select {
				case admitted := <-one.granted:
					if admitted {
						held++
					}
				default:
					still = append(still, one)
				}
			}
			waiting = still
			running, queued := places.counts()
			if running != held || running > places.capacity || queued != len(waiting) || queued > places.queue {
				t.Fatalf("%d run and %d wait; %d hold a slot, %d a place", running, queued, held, len(waiting))
			}
			if queued > 0 && running < places.capacity {
				t.Fatalf("%d wait while %d of %d run", queued, running, places.capacity)
			}
		}
	})
}
