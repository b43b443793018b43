package node

import (
	"testing"
	"time"
)

func TestAntiEntropy_StepsOfAProcess_AskControllersInTime(t *testing.T) {
	type step struct {
		at    time.Duration
		lacks bool
		count int
		next  time.Duration
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a process asks several at its start, and then one now and then, whatever wakes it", []step{
			{at: 0, count: controllersAfterFreeze, next: normalInterval},
			{at: normalInterval / 2, count: 0, next: normalInterval / 2},
			{at: normalInterval, count: 1, next: normalInterval},
		}},
		{"one that lacks a section asks often, and at once when it notices", []step{
			{at: 0, lacks: true, count: controllersAfterFreeze, next: missingInterval},
			{at: missingInterval / 2, lacks: true, count: 0, next: missingInterval / 2},
			{at: missingInterval, lacks: true, count: 1, next: missingInterval},
			{at: 2 * missingInterval, count: 1, next: normalInterval},
			{at: 3 * missingInterval, lacks: true, count: 1, next: missingInterval},
		}},
		{"one that was frozen asks several", []step{
			{at: 0, count: controllersAfterFreeze, next: normalInterval},
			{at: normalInterval + 2*frozenAfter, count: controllersAfterFreeze, next: normalInterval},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Given a process that has just started,
			var q antiEntropy
			for _, step := range c.steps {
				// when it steps, then it asks so many controllers, and again so much later.
				if count, next := q.due(step.at, step.lacks); count != step.count || next != step.next {
					t.Errorf("at %v it asks %d and waits %v, want %d and %v", step.at, count, next, step.count, step.next)
				}
			}
		})
	}
}
