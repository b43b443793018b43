package controller

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
)

// voters returns members that are voters.
func voters(names ...string) []replica.Member {
	var members []replica.Member
	for _, name := range names {
		members = append(members, replica.Member{ID: name, Address: name + ":7000"})
	}
	return members
}

// TestReconciler_DesiredControllers checks the target members of the configuration shard's group at each step of a replacement.
func TestReconciler_DesiredControllers(t *testing.T) {
	running := func(name string) membership.Member {
		return controllerMember(name, name, name+":7000", name+":8144")
	}
	withState := func(state membership.State, m membership.Member) membership.Member {
		m.State = state
		return m
	}
	learner := replica.Member{ID: "new", Address: "new:7000", Learner: true}
	first, second, third, added := running("first"), running("second"), running("third"), running("new")
	missing := withState(membership.StateSuspect, third)
	tests := []struct {
		name     string
		group    []replica.Member
		caughtUp map[string]bool // members that respond to the group's leader, whatever their membership state
		members  []membership.Member
		passed   time.Duration // since membership has these states
		want     []replica.Member
	}{
		{name: "all run", group: voters("first", "second", "third"), members: []membership.Member{first, second, third, added}, passed: 3 * time.Second, want: voters("first", "second", "third")},
		{name: "one is missing and another has joined", group: voters("first", "second", "third"), members: []membership.Member{first, second, missing, added},
			passed: 2 * time.Second, want: voters("first", "second", "new")},
		{name: "the successor of the missing one is a learner", group: append(voters("first", "second", "third"), learner),
			members: []membership.Member{first, second, missing, added}, passed: 2 * time.Second, want: voters("first", "second", "new")},
		{name: "the successor of the missing one is a voter", group: voters("first", "second", "third", "new"),
			members: []membership.Member{first, second, missing, added}, passed: 2 * time.Second, want: voters("first", "second", "new")},
		{name: "the missing one is back before its successor is a voter", group: append(voters("first", "second", "third"), learner),
			members: []membership.Member{first, second, third, added}, passed: 2 * time.Second, want: voters("first", "second", "third")},
		{name: "two are missing and one has joined", group: voters("first", "second", "third"),
			members: []membership.Member{first, withState(membership.StateSuspect, second), withState(membership.StateDead, third), added},
			passed:  9 * time.Second, want: voters("first", "second", "new")},
		{name: "membership doesn't list two that respond to the leader", group: voters("first", "second", "third"),
			caughtUp: map[string]bool{"first": true, "second": true, "third": true},
			members:  []membership.Member{first, added}, passed: 9 * time.Second, want: voters("first", "second", "third")},
		{name: "membership considers two dead and one of them responds to the leader", group: voters("first", "second", "third"),
			caughtUp: map[string]bool{"first": true, "second": true},
			members:  []membership.Member{first, withState(membership.StateDead, second), withState(membership.StateDead, third), added},
			passed:   9 * time.Second, want: voters("first", "second", "new")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reconciler := NewReconciler(placement.Policy{Replicas: 3})
			now := time.UnixMilli(1_700_000_000_000)
			reconciler.Tracker().Observe(now, []membership.Member{first, second, third}, 1)
			for passed := time.Duration(0); passed <= test.passed; passed += 500 * time.Millisecond {
				now = now.Add(500 * time.Millisecond)
				reconciler.Tracker().Observe(now, test.members, 1)
			}
			got := reconciler.desiredControllers(now, replica.Status{ID: "first", Members: test.group, CaughtUp: test.caughtUp})
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("members (-want +got):\n%s", diff)
			}
		})
	}
}
