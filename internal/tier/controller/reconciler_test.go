package controller

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
)

// voters are members with a vote.
func voters(names ...string) []replica.Member {
	var members []replica.Member
	for _, name := range names {
		members = append(members, replica.Member{ID: name, Address: name + ":7000"})
	}
	return members
}

// TestReconciler_DesiredControllers checks which members the configuration shard's group is to have, step by step of a replacement.
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
		caughtUp map[string]bool // members that answer the group's leader, whatever membership says
		members  []membership.Member
		passed   time.Duration // since the members are as they are
		want     []replica.Member
	}{
		{name: "all run", group: voters("first", "second", "third"), members: []membership.Member{first, second, third, added}, passed: 3 * time.Second, want: voters("first", "second", "third")},
		{name: "one is missing and another has come", group: voters("first", "second", "third"), members: []membership.Member{first, second, missing, added},
			passed: 2 * time.Second, want: voters("first", "second", "new")},
		{name: "its successor has been taken in", group: append(voters("first", "second", "third"), learner),
			members: []membership.Member{first, second, missing, added}, passed: 2 * time.Second, want: voters("first", "second", "new")},
		{name: "its successor votes already", group: voters("first", "second", "third", "new"),
			members: []membership.Member{first, second, missing, added}, passed: 2 * time.Second, want: voters("first", "second", "new")},
		{name: "it is back before its successor votes", group: append(voters("first", "second", "third"), learner),
			members: []membership.Member{first, second, third, added}, passed: 2 * time.Second, want: voters("first", "second", "third")},
		{name: "two are missing and one has come", group: voters("first", "second", "third"),
			members: []membership.Member{first, withState(membership.StateSuspect, second), withState(membership.StateDead, third), added},
			passed:  9 * time.Second, want: voters("first", "second", "new")},
		{name: "two are not known to membership and answer the leader", group: voters("first", "second", "third"),
			caughtUp: map[string]bool{"first": true, "second": true, "third": true},
			members:  []membership.Member{first, added}, passed: 9 * time.Second, want: voters("first", "second", "third")},
		{name: "two are taken for dead and one of them answers the leader", group: voters("first", "second", "third"),
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
