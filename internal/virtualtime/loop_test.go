package virtualtime

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestLoop_EventsOutOfOrder_RunAtTheirTimes(t *testing.T) {
	// Given events that are asked for out of order, two of them for one moment, and one by another,
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
	// then those that were due have run at their times, and the clock shows the end.
	want := []string{"first at 1s", "second at 1s", "overdue at 2s"}
	if difference := cmp.Diff(want, ran); difference != "" {
		t.Error(difference)
	}
	if loop.Now() != 2*time.Second {
		t.Errorf("it is %v", loop.Now())
	}
	// When a step is asked for, then the next event runs, and there is no other.
	if !loop.Step() || loop.Now() != 3*time.Second || loop.Step() {
		t.Errorf("it is %v, and %d events are left", loop.Now(), loop.events.Len())
	}
}
