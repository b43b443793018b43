package controller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/storage/memorydisk"
)

// observeMembersFor has the reconciler observe the current members for that long, up to now.
func (f *fixture) observeMembersFor(now time.Time, d time.Duration) {
	const step = 500 * time.Millisecond
	for passed := time.Duration(0); passed <= d; passed += step {
		f.reconciler.Tracker().Observe(now.Add(passed-d), f.fleet.Members(), f.group.Status().Term)
	}
}

// decommissionFor returns a proposal to drain a machine, with enough other stores running.
func decommissionFor(node string) *decommission.Proposal {
	order := &decommission.Proposal{Store: decommission.Store{Node: node, ID: node + "-id"}, MinRemaining: 3}
	for number := range 4 {
		order.RunningStores = append(order.RunningStores, decommission.Store{Node: fmt.Sprint("other-", number), ID: fmt.Sprint("other-id-", number)})
	}
	return order
}

func TestDecommissionAPI_Statuses(t *testing.T) {
	down := func(m membership.Member) membership.Member { m.State = membership.StateDead; return m }
	const path = "/mastusher/retire/storage-1"
	const untilComplete = 13 * time.Second // time after its election at which a leader's view of the members is complete
	tests := []struct {
		name        string
		members     []membership.Member
		observedFor time.Duration
		body        string
		want        int
	}{
		{"three remain", storeMembers(4), 3 * time.Second, `{"overS":10}`, http.StatusOK},
		{"without a duration", storeMembers(4), 3 * time.Second, ``, http.StatusOK},
		{"with an unknown field", storeMembers(4), 3 * time.Second, `{"overS":1.5,"new":[1]}`, http.StatusOK},
		{"invalid JSON", storeMembers(4), 3 * time.Second, `{"overS`, http.StatusBadRequest},
		{"a duration below 0", storeMembers(4), 3 * time.Second, `{"overS":-1}`, http.StatusBadRequest},
		{"too large", storeMembers(4), 3 * time.Second, `{"x":"` + strings.Repeat("x", maxRequestBytes) + `"}`, http.StatusRequestEntityTooLarge},
		{"unknown machine", storeMembers(0), untilComplete, `{"overS":10}`, http.StatusNotFound},
		{"unknown machine, soon after the election", storeMembers(0), 3 * time.Second, `{"overS":10}`, http.StatusServiceUnavailable},
		{"unknown machine, shortly after the start", storeMembers(0), 0, `{"overS":10}`, http.StatusServiceUnavailable},
		{"two remain", storeMembers(3), untilComplete, `{"overS":10}`, http.StatusConflict},
		{"two remain, soon after the election", storeMembers(3), 3 * time.Second, `{"overS":10}`, http.StatusServiceUnavailable},
		{"two remain, shortly after the start", storeMembers(3), 0, `{"overS":10}`, http.StatusServiceUnavailable},
		{"the machine is down", append(storeMembers(4)[1:], down(storeMember(1))), 3 * time.Second, `{"overS":10}`, http.StatusOK},
		{"another machine has just gone down", append(storeMembers(3), down(storeMember(4))), 3 * time.Second, `{"overS":10}`, http.StatusServiceUnavailable},
		{"another machine was down when the leader was elected", append(storeMembers(3), down(storeMember(4))), 8 * time.Second, `{"overS":10}`, http.StatusServiceUnavailable},
		{"another machine has long been down", append(storeMembers(3), down(storeMember(4))), untilComplete, `{"overS":10}`, http.StatusConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFixture(t, memorydisk.New())
			f.fleet.set(test.members...)
			f.observeMembersFor(time.Now(), test.observedFor)
			wantStatus(t, f.send(http.MethodPost, path, test.body), test.want)
			state := f.send(http.MethodGet, path, "")
			if test.want != http.StatusOK {
				wantStatus(t, state, http.StatusNotFound)
				return
			}
			wantStatus(t, state, http.StatusOK)
			if got := strings.TrimSpace(state.Body.String()); got != `{"state":"in_service"}` {
				t.Errorf("state %s", got)
			}
			wantStatus(t, f.send(http.MethodPost, path, test.body), http.StatusOK)
		})
	}
}

// TestDecommissionAPI_StoreJustDown_NotReady has a store go down that the leader has long known: the rejection is final only once the
// store can't be expected back.
func TestDecommissionAPI_StoreJustDown_NotReady(t *testing.T) {
	const path = "/mastusher/retire/storage-1"
	for down, want := range map[time.Duration]int{3 * time.Second: http.StatusServiceUnavailable, 8 * time.Second: http.StatusConflict} {
		f := startFixture(t, memorydisk.New())
		f.fleet.set(storeMembers(4)...)
		now := time.Now()
		f.observeMembersFor(now.Add(-down), 13*time.Second)
		removed := storeMember(4)
		removed.State = membership.StateDead
		f.fleet.set(append(storeMembers(3), removed)...)
		f.observeMembersFor(now, down)
		wantStatus(t, f.send(http.MethodPost, path, `{"overS":10}`), want)
	}
}

// TestDecommissionAPI_LeaderWithoutMajority_RejectsNothing sends requests to a leader that has just lost its majority and hasn't
// detected that yet. It must not reject a machine that it doesn't know, nor one without which too few would remain.
func TestDecommissionAPI_LeaderWithoutMajority_RejectsNothing(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.awaitPlacement()
	cluster.run(13 * time.Second)
	leader := cluster.leader()
	for _, m := range cluster.sorted() {
		if m.controller != nil && m != leader {
			m.kill()
		}
	}
	for _, call := range []struct{ method, path string }{
		{http.MethodPost, "/mastusher/retire/storage-1"},
		{http.MethodPost, "/mastusher/retire/storage-9"},
		{http.MethodGet, "/mastusher/retire/storage-1"},
		{http.MethodGet, "/mastusher/rollouts/lm"},
		{http.MethodGet, settingsPath},
	} {
		if !leader.controller.Group().Status().IsLeader {
			t.Fatal("the leader has already stepped down")
		}
		// Its group doesn't run meanwhile, as if it received no messages any more.
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		request := httptest.NewRequestWithContext(ctx, call.method, call.path, strings.NewReader(`{"overS":10}`))
		recorder := httptest.NewRecorder()
		leader.controller.Handler().ServeHTTP(recorder, request)
		cancel()
		wantStatus(t, recorder, http.StatusServiceUnavailable)
	}
}
