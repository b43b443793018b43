package controller

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/replica"
)

// TestReconciler_DesiredControllers checks which members the configuration shard's group is to have, step by step of a replacement.
func TestReconciler_DesiredControllers(t *testing.T) {
	running := func(name string) membership.Member {
		return controllerMember(name, name, name+":7000", name+":8144")
	}
	in := func(state membership.State, m membership.Member) membership.Member {
		m.State = state
		return m
	}
	voter := func(name string) replica.Member { return replica.Member{ID: name, Address: name + ":7000"} }
	learner := voter("new")
	learner.Learner = true
	first, second, third, added := running("first"), running("second"), running("third"), running("new")
	missing := in(membership.StateSuspect, third)
	tests := []struct {
		name    string
		group   []replica.Member
		members []membership.Member
		passed  time.Duration // since the members are as they are
		want    []replica.Member
		answers map[string]bool // the group's leader, whatever membership says
	}{
		{"all run", []replica.Member{voter("first"), voter("second"), voter("third")},
			[]membership.Member{first, second, third, added}, 3 * time.Second,
			[]replica.Member{voter("first"), voter("second"), voter("third")}, nil},
		{"one is missing and another has come", []replica.Member{voter("first"), voter("second"), voter("third")},
			[]membership.Member{first, second, missing, added}, 2 * time.Second,
			[]replica.Member{voter("first"), voter("second"), voter("new")}, nil},
		{"its successor has been taken in", []replica.Member{voter("first"), voter("second"), voter("third"), learner},
			[]membership.Member{first, second, missing, added}, 2 * time.Second,
			[]replica.Member{voter("first"), voter("second"), voter("new")}, nil},
		{"its successor votes already", []replica.Member{voter("first"), voter("second"), voter("third"), voter("new")},
			[]membership.Member{first, second, missing, added}, 2 * time.Second,
			[]replica.Member{voter("first"), voter("second"), voter("new")}, nil},
		{"it is back before its successor votes", []replica.Member{voter("first"), voter("second"), voter("third"), learner},
			[]membership.Member{first, second, third, added}, 2 * time.Second,
			[]replica.Member{voter("first"), voter("second"), voter("third")}, nil},
		{"two are missing and one has come", []replica.Member{voter("first"), voter("second"), voter("third")},
			[]membership.Member{first, in(membership.StateSuspect, second), in(membership.StateDead, third), added}, 9 * time.Second,
			[]replica.Member{voter("first"), voter("second"), voter("new")}, nil},
		{"two are not known to membership and answer the leader", []replica.Member{voter("first"), voter("second"), voter("third")},
			[]membership.Member{first, added}, 9 * time.Second,
			[]replica.Member{voter("first"), voter("second"), voter("third")}, map[string]bool{"first": true, "second": true, "third": true}},
		{"two are taken for dead and one of them answers the leader", []replica.Member{voter("first"), voter("second"), voter("third")},
			[]membership.Member{first, in(membership.StateDead, second), in(membership.StateDead, third), added}, 9 * time.Second,
			[]replica.Member{voter("first"), voter("second"), voter("new")}, map[string]bool{"first": true, "second": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reconciler := NewReconciler(3)
			now := time.UnixMilli(1_700_000_000_000)
			reconciler.Tracker().Observe(now, []membership.Member{first, second, third}, 1)
			for passed := time.Duration(0); passed <= test.passed; passed += 500 * time.Millisecond {
				now = now.Add(500 * time.Millisecond)
				reconciler.Tracker().Observe(now, test.members, 1)
			}
			got := reconciler.desiredControllers(now, replica.Status{ID: "first", Members: test.group, CaughtUp: test.answers})
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("members (-want +got):\n%s", diff)
			}
		})
	}
}
