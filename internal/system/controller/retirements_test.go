package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"mastusher/internal/system/membership"
	"mastusher/internal/system/retire"
	"mastusher/internal/system/storage/memorydisk"
)

// watchFor has the planner see the members for longer than it takes to gather them.
func (b *bed) watchFor(d time.Duration) {
	const step = 500 * time.Millisecond
	now := time.Now()
	for passed := time.Duration(0); passed <= d; passed += step {
		b.planner.Watch().Observe(now.Add(passed-d), b.fleet.Members(), b.group.Status().Epoch)
	}
}

// retireOrderFor is an order to empty a machine, of which enough others remain.
func retireOrderFor(node string) *retire.Order {
	order := &retire.Order{Machine: retire.Machine{Node: node, ID: node + "-id"}, Least: 3}
	for number := range 4 {
		order.Running = append(order.Running, retire.Machine{Node: fmt.Sprint("other-", number), ID: fmt.Sprint("other-id-", number)})
	}
	return order
}

func TestRetirementAnswers(t *testing.T) {
	down := func(m membership.Member) membership.Member { m.State = membership.Dead; return m }
	const path = "/mastusher/retire/storage-1"
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
		{"too large", storeMembers(4), 3 * time.Second, `{"x":"` + strings.Repeat("x", mostSmallOrderBytes) + `"}`, http.StatusRequestEntityTooLarge},
		{"unknown machine", storeMembers(0), 3 * time.Second, `{"overS":10}`, http.StatusNotFound},
		{"unknown machine, shortly after the start", storeMembers(0), 0, `{"overS":10}`, http.StatusServiceUnavailable},
		{"two remain", storeMembers(3), 3 * time.Second, `{"overS":10}`, http.StatusConflict},
		{"two remain, shortly after the start", storeMembers(3), 0, `{"overS":10}`, http.StatusServiceUnavailable},
		{"the machine is down", append(storeMembers(4)[1:], down(storeMember(1))), 3 * time.Second, `{"overS":10}`, http.StatusOK},
		{"another has just gone down", append(storeMembers(3), down(storeMember(4))), 3 * time.Second, `{"overS":10}`, http.StatusServiceUnavailable},
		{"another has long been down", append(storeMembers(3), down(storeMember(4))), 8 * time.Second, `{"overS":10}`, http.StatusConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startBed(t, memorydisk.New())
			b.fleet.set(test.members...)
			b.watchFor(test.watched)
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
