package node

import (
	"testing"
	"time"
)

func TestAntiEntropy_StepsOfAProcess_AskControllersInTime(t *testing.T) {
	type step struct {
		at             time.Duration
		sectionMissing bool
		count          int
		next           time.Duration
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a process asks several controllers at its start and then one per interval, however often it is woken", []step{
			{at: 0, count: controllersAfterFreeze, next: normalInterval},
			{at: normalInterval / 2, count: 0, next: normalInterval / 2},
			{at: normalInterval, count: 1, next: normalInterval},
		}},
		{"a process that lacks a section asks more often, and soon after it notices", []step{
			{at: 0, sectionMissing: true, count: controllersAfterFreeze, next: missingInterval},
			{at: missingInterval / 2, sectionMissing: true, count: 0, next: missingInterval / 2},
			{at: missingInterval, sectionMissing: true, count: 1, next: missingInterval},
			{at: 2 * missingInterval, count: 1, next: normalInterval},
			{at: 3 * missingInterval, sectionMissing: true, count: 1, next: missingInterval},
		}},
		{"a process that was frozen asks several controllers", []step{
			{at: 0, count: controllersAfterFreeze, next: normalInterval},
			{at: normalInterval + 2*frozenAfter, count: controllersAfterFreeze, next: normalInterval},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Given a process that has just started,
			var controllers antiEntropy
			for _, step := range c.steps {
				// when it steps, then it asks the expected number of controllers and waits for the expected time.
				if count, next := controllers.due(step.at, step.sectionMissing); count != step.count || next != step.next {
					t.Errorf("at %v it asks %d controllers and waits %v, want %d and %v", step.at, count, next, step.count, step.next)
				}
			}
		})
	}
}
