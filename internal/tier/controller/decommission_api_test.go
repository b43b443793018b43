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

// watchFor has the planner see the members for longer than it takes to gather them.
func (b *fixture) watchFor(now time.Time, d time.Duration) {
	const step = 500 * time.Millisecond
	for passed := time.Duration(0); passed <= d; passed += step {
		b.reconciler.Tracker().Observe(now.Add(passed-d), b.fleet.Members(), b.group.Status().Term)
	}
}

// decommissionFor is an order to empty a machine, of which enough others remain.
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
	const sure = 13 * time.Second // as leader, with all members in sight
	tests := []struct {
		name    string
		members []membership.Member
		watched time.Duration
		body    string
		want    int
	}{
		{"three remain", storeMembers(4), 3 * time.Second, `{"overS":10}`, http.StatusOK},
		{"without a time", storeMembers(4), 3 * time.Second, ``, http.StatusOK},
		{"with more than is known", storeMembers(4), 3 * time.Second, `{"overS":1.5,"new":[1]}`, http.StatusOK},
		{"no JSON", storeMembers(4), 3 * time.Second, `{"overS`, http.StatusBadRequest},
		{"a time below 0", storeMembers(4), 3 * time.Second, `{"overS":-1}`, http.StatusBadRequest},
		{"too large", storeMembers(4), 3 * time.Second, `{"x":"` + strings.Repeat("x", maxRequestBytes) + `"}`, http.StatusRequestEntityTooLarge},
		{"unknown machine", storeMembers(0), sure, `{"overS":10}`, http.StatusNotFound},
		{"unknown machine, soon after the election", storeMembers(0), 3 * time.Second, `{"overS":10}`, http.StatusServiceUnavailable},
		{"unknown machine, shortly after the start", storeMembers(0), 0, `{"overS":10}`, http.StatusServiceUnavailable},
		{"two remain", storeMembers(3), sure, `{"overS":10}`, http.StatusConflict},
		{"two remain, soon after the election", storeMembers(3), 3 * time.Second, `{"overS":10}`, http.StatusServiceUnavailable},
		{"two remain, shortly after the start", storeMembers(3), 0, `{"overS":10}`, http.StatusServiceUnavailable},
		{"the machine is down", append(storeMembers(4)[1:], down(storeMember(1))), 3 * time.Second, `{"overS":10}`, http.StatusOK},
		{"another has just gone down", append(storeMembers(3), down(storeMember(4))), 3 * time.Second, `{"overS":10}`, http.StatusServiceUnavailable},
		{"another was down when this one was elected", append(storeMembers(3), down(storeMember(4))), 8 * time.Second, `{"overS":10}`, http.StatusServiceUnavailable},
		{"another has long been down", append(storeMembers(3), down(storeMember(4))), sure, `{"overS":10}`, http.StatusConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startFixture(t, memorydisk.New())
			b.fleet.set(test.members...)
			b.watchFor(time.Now(), test.watched)
			wantStatus(t, b.send(http.MethodPost, path, test.body), test.want)
			state := b.send(http.MethodGet, path, "")
			if test.want != http.StatusOK {
				wantStatus(t, state, http.StatusNotFound)
				return
			}
			wantStatus(t, state, http.StatusOK)
			if got := strings.TrimSpace(state.Body.String()); got != `{"state":"in_service"}` {
				t.Errorf("state %s", got)
			}
			wantStatus(t, b.send(http.MethodPost, path, test.body), http.StatusOK)
		})
	}
}

// TestDecommissionAPI_StoreJustDown_NotReady asks a leader that has long seen all machines run.
func TestDecommissionAPI_StoreJustDown_NotReady(t *testing.T) {
	const path = "/mastusher/retire/storage-1"
	for down, want := range map[time.Duration]int{3 * time.Second: http.StatusServiceUnavailable, 8 * time.Second: http.StatusConflict} {
		b := startFixture(t, memorydisk.New())
		b.fleet.set(storeMembers(4)...)
		now := time.Now()
		b.watchFor(now.Add(-down), 13*time.Second)
		removed := storeMember(4)
		removed.State = membership.StateDead
		b.fleet.set(append(storeMembers(3), removed)...)
		b.watchFor(now, down)
		wantStatus(t, b.send(http.MethodPost, path, `{"overS":10}`), want)
	}
}

// TestDecommissionAPI_LeaderWithoutMajority_RejectsNothing asks a leader that has just been partitioned, when it doesn't know it yet, for a
// machine that it doesn't know and for one too many.
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
	for _, asked := range []struct{ method, path string }{
		{http.MethodPost, "/mastusher/retire/storage-1"},
		{http.MethodPost, "/mastusher/retire/storage-9"},
		{http.MethodGet, "/mastusher/retire/storage-1"},
		{http.MethodGet, "/mastusher/rollouts/lm"},
		{http.MethodGet, settingsPath},
	} {
		if !leader.controller.Group().Status().IsLeader {
			t.Fatal("the leader knows already that it is partitioned")
		}
		// Its group has no turn while it answers, as if no message came any more.
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		request := httptest.NewRequestWithContext(ctx, asked.method, asked.path, strings.NewReader(`{"overS":10}`))
		recorder := httptest.NewRecorder()
		leader.controller.Handler().ServeHTTP(recorder, request)
		cancel()
		wantStatus(t, recorder, http.StatusServiceUnavailable)
	}
}
