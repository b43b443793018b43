package virtualtime

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestEventsAreInOrder(t *testing.T) {
	// Given events that are asked for out of order, two of them for one moment, and one by another,
	var loop Loop
	var played []string
	note := func(name string) func() {
		return func() { played = append(played, name+" at "+loop.Now().String()) }
	}
	loop.After(3*time.Second, note("late"))
	loop.After(time.Second, note("first"))
	loop.After(time.Second, note("second"))
	loop.After(2*time.Second, func() { loop.After(-time.Second, note("overdue")) })
	// when two seconds pass,
	loop.RunFor(2 * time.Second)
	// then those that were due have been played at their times, and the clock shows the end.
	want := []string{"first at 1s", "second at 1s", "overdue at 2s"}
	if difference := cmp.Diff(want, played); difference != "" {
		t.Error(difference)
	}
	if loop.Now() != 2*time.Second {
		t.Errorf("it is %v", loop.Now())
	}
	// When a step is asked for, then the next event is played, and there is no other.
	if !loop.Step() || loop.Now() != 3*time.Second || loop.Step() {
		t.Errorf("it is %v, and %d events are left", loop.Now(), len(loop.events))
	}
}
