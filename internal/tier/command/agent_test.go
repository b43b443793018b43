package command

import (
	"testing"

	"mastusher/internal/tier/membership"
)

func TestCountProxies_CountsAgents(t *testing.T) {
	members := []membership.Member{
		{Name: "a", Role: membership.Agent},
		{Name: "b", Role: membership.Agent, State: membership.StateDead},
		{Name: "c", Role: membership.Agent, State: membership.StateLeft},
		{Name: "d", Role: membership.Controller},
		{Name: "e", Role: membership.Store},
		{Name: "f", Role: membership.Agent, State: membership.StateSuspect},
	}
	if got := countProxies(members); got != 2 {
		t.Errorf("%d proxies counted, want 2", got)
	}
}
