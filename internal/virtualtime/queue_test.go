package virtualtime

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestQueue_RandomTimes_PopsByTimeThenByPush(t *testing.T) {
	// Given a queue with events at random times, many of them equal, where some are popped between the pushes,
	type pushed struct {
		at     time.Duration
		number int
	}
	random := rand.New(rand.NewPCG(1, 1))
	var queue Queue[pushed]
	var waiting []pushed
	byTime := func(a, b pushed) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.number, b.number)) }
	pop := func() {
		slices.SortFunc(waiting, byTime)
		if at := queue.NextAt(); at != waiting[0].at {
			t.Fatalf("the next event is due at %v, want %v", at, waiting[0].at)
		}
		// then each pop returns the earliest event, and among events of the same time the one that was pushed first.
		if at, event := queue.Pop(); event != waiting[0] || at != event.at {
			t.Fatalf("popped %+v at %v, want %+v", event, at, waiting[0])
		}
		waiting = waiting[1:]
	}
	for number := range 5000 {
		event := pushed{at: time.Duration(random.IntN(50)), number: number}
		queue.Push(event.at, event)
		waiting = append(waiting, event)
		if random.IntN(3) == 0 {
			pop()
		}
		if queue.Len() != len(waiting) {
			t.Fatalf("%d events are queued, want %d", queue.Len(), len(waiting))
		}
	}
	for len(waiting) > 0 {
		pop()
	}
	if queue.Len() != 0 {
		t.Errorf("%d events are left", queue.Len())
	}
}

func TestLoop_RunUntil_EndsAtConditionOrTimeout(t *testing.T) {
	// Given an event each second,
	var loop Loop
	ticks := 0
	var tick func()
	tick = func() {
		ticks++
		loop.After(time.Second, tick)
	}
	loop.After(time.Second, tick)
	// when the loop runs until the third event, then the clock stops at its time.
	if !loop.RunUntil(time.Minute, func() bool { return ticks == 3 }) || loop.Now() != 3*time.Second {
		t.Errorf("the clock shows %v after %d ticks", loop.Now(), ticks)
	}
	// When the condition never holds, then the clock shows the end of the timeout.
	if loop.RunUntil(1500*time.Millisecond, func() bool { return false }) || loop.Now() != 4500*time.Millisecond {
		t.Errorf("the clock shows %v after %d ticks", loop.Now(), ticks)
	}
	// When all events are removed, then the loop has none to run.
	loop.Clear()
	if loop.Step() {
		t.Error("a removed event has run")
	}
}
