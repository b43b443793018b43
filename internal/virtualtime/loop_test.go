package virtualtime

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestLoop_EventsOutOfOrder_RunAtTheirTimes(t *testing.T) {
	// Given events scheduled out of order, two of them for the same time, and one scheduled by another event,
	var loop Loop
	var ran []string
	record := func(name string) func() {
		return func() { ran = append(ran, name+" at "+loop.Now().String()) }
	}
	loop.After(3*time.Second, record("late"))
	loop.After(time.Second, record("first"))
	loop.After(time.Second, record("second"))
	loop.After(2*time.Second, func() { loop.After(-time.Second, record("overdue")) })
	// when two seconds pass,
	loop.RunFor(2 * time.Second)
	// then the events that were due have run at their times, and the clock shows the end of the two seconds.
	want := []string{"first at 1s", "second at 1s", "overdue at 2s"}
	if difference := cmp.Diff(want, ran); difference != "" {
		t.Error(difference)
	}
	if loop.Now() != 2*time.Second {
		t.Errorf("the clock shows %v, want 2s", loop.Now())
	}
	// When the loop steps, then the last event runs, and a second step finds none.
	if !loop.Step() || loop.Now() != 3*time.Second || loop.Step() {
		t.Errorf("the clock shows %v and %d events are left, want 3s and none", loop.Now(), loop.events.Len())
	}
}
