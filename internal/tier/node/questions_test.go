package node

import (
	"testing"
	"time"
)

func TestControllersAreAskedInTime(t *testing.T) {
	type turn struct {
		at    time.Duration
		lacks bool
		count int
		next  time.Duration
	}
	for _, c := range []struct {
		name  string
		turns []turn
	}{
		{"a process asks several at its start, and then one now and then, whatever wakes it", []turn{
			{at: 0, count: askedAnew, next: usualInterval},
			{at: usualInterval / 2, count: 0, next: usualInterval / 2},
			{at: usualInterval, count: 1, next: usualInterval},
		}},
		{"one that lacks a section asks often, and at once when it finds that", []turn{
			{at: 0, lacks: true, count: askedAnew, next: missingInterval},
			{at: missingInterval / 2, lacks: true, count: 0, next: missingInterval / 2},
			{at: missingInterval, lacks: true, count: 1, next: missingInterval},
			{at: 2 * missingInterval, count: 1, next: usualInterval},
			{at: 3 * missingInterval, lacks: true, count: 1, next: missingInterval},
		}},
		{"one that stood still asks several", []turn{
			{at: 0, count: askedAnew, next: usualInterval},
			{at: usualInterval + 2*thawedAfter, count: askedAnew, next: usualInterval},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Given a process that has just started,
			var q questions
			for _, turn := range c.turns {
				// when it has a turn, then it asks so many controllers, and again so much later.
				if count, next := q.due(turn.at, turn.lacks); count != turn.count || next != turn.next {
					t.Errorf("at %v it asks %d and waits %v, want %d and %v", turn.at, count, next, turn.count, turn.next)
				}
			}
		})
	}
}
