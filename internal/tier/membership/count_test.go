package membership_test

import (
	"testing"

	"mastusher/internal/tier/membership"
)

func TestCountRunning_DeadAndLeft_NotCounted(t *testing.T) {
	members := []membership.Member{
		{Name: "a", Role: membership.Agent},
		{Name: "b", Role: membership.Agent, State: membership.StateDead},
		{Name: "c", Role: membership.Agent, State: membership.StateLeft},
		{Name: "d", Role: membership.Controller},
		{Name: "e", Role: membership.Store},
		{Name: "f", Role: membership.Agent, State: membership.StateSuspect},
	}
	if got := membership.CountRunning(members, membership.Agent); got != 2 {
		t.Errorf("%d agents counted, want 2", got)
	}
}
