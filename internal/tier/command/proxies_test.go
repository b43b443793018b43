package command

import (
	"testing"
	"time"

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
		t.Errorf("%d proxies, want 2", got)
	}
}

func TestDrainDuration_CoversTwoReadinessChecks(t *testing.T) {
	cases := map[time.Duration]time.Duration{
		8 * time.Second:  2400 * time.Millisecond,
		30 * time.Second: 2400 * time.Millisecond,
		6 * time.Second:  2400 * time.Millisecond,
		2 * time.Second:  800 * time.Millisecond,
		0:                0,
	}
	for grace, want := range cases {
		if got := drainDuration(grace); got != want {
			t.Errorf("grace of %v: drains for %v, want %v", grace, got, want)
		}
	}
}

func TestMaxClients_LeavesDescriptorsForEndpoints(t *testing.T) {
	cases := map[int64]int{0: 0, 100: 64, 200: 64, 4100: 2340}
	for openFiles, want := range cases {
		if got := maxClients(openFiles); got != want {
			t.Errorf("of %d descriptors: %d clients, want %d", openFiles, got, want)
		}
	}
}
