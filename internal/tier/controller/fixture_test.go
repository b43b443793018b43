package controller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// waitTimeout bounds the waits of tests. A passing test stays far below it.
const waitTimeout = 10 * time.Second

// selfID and selfAddress are the identity and the address of the controller under test.
const (
	selfID      = "core-1-id"
	selfAddress = "10.0.0.1:7000"
)

// fleet implements Fleet with members that a test sets, and records the published updates.
type fleet struct {
	mutex     sync.Mutex
	members   []membership.Member
	published []view.Update
}

func (f *fleet) Members() []membership.Member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.members
}

func (f *fleet) Publish(update view.Update) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.published = append(f.published, update)
}

func (f *fleet) set(members ...membership.Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.members = members
}

// staticReader implements EndpointReader with a fixed list or error.
type staticReader struct {
	endpoints []model.Endpoint
	err       error
}

func (r *staticReader) ReadAll(context.Context) ([]model.Endpoint, error) { return r.endpoints, r.err }

func controllerMember(name, id, address, control string) membership.Member {
	return membership.Member{Name: name + "/controller", ID: id, Role: membership.Controller, Address: address, Control: control, Incarnation: 1}
}

// storeMember returns the store storage-NUMBER with the identity s-NUMBER.
func storeMember(number int) membership.Member {
	return membership.Member{Name: fmt.Sprintf("storage-%d/store", number), ID: fmt.Sprintf("s-%d", number), Role: membership.Store,
		Zone: fmt.Sprintf("zone-%d", number), Address: fmt.Sprintf("10.0.1.%d:7002", number), Incarnation: 1}
}

func storeMembers(count int) []membership.Member {
	var members []membership.Member
	for number := range count {
		members = append(members, storeMember(number+1))
	}
	return members
}

// fixture is a controller with its fleet and disk.
type fixture struct {
	*Controller
	fleet *fleet
	disk  *memorydisk.Disk
}

func testOptions(disk *memorydisk.Disk, fleetOfTest *fleet) Options {
	return Options{ID: selfID, Address: selfAddress, Settings: &settings.Settings{FaultTolerance: settings.FaultTolerance{Machines: 1}},
		Initial: []replica.Member{{ID: selfID, Address: selfAddress}}, Disk: disk, Fleet: fleetOfTest, Reader: &staticReader{},
		Logger: log.NewNopLogger(), Seed: 1,
		QueryStore: func(string, func(wire.ShardMembersResponse, error)) {}}
}

// newFixture opens a controller without running it.
func newFixture(t testing.TB, disk *memorydisk.Disk, change func(*Options)) *fixture {
	t.Helper()
	fleetOfTest := &fleet{members: []membership.Member{controllerMember("core-1", selfID, selfAddress, "10.0.0.1:8144")}}
	options := testOptions(disk, fleetOfTest)
	if change != nil {
		change(&options)
	}
	opened, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{Controller: opened, fleet: fleetOfTest, disk: disk}
}

// startFixture opens a controller that is the only member of its group, runs the group without the controller's loops, and waits
// until the controller leads.
func startFixture(t testing.TB, disk *memorydisk.Disk) *fixture {
	t.Helper()
	f := newFixture(t, disk, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.group.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	bounded, stop := context.WithTimeout(ctx, waitTimeout)
	defer stop()
	for f.group.Read(bounded, func() {}) != nil {
		if bounded.Err() != nil {
			t.Fatal("the only member doesn't become the leader")
		}
	}
	return f
}

// send sends a request to the API and returns the response.
func (f *fixture) send(method, target, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	f.Handler().ServeHTTP(recorder, request)
	return recorder
}

func wantStatus(t testing.TB, response *httptest.ResponseRecorder, status int) {
	t.Helper()
	if response.Code != status {
		t.Fatalf("status %d %s, want %d", response.Code, strings.TrimSpace(response.Body.String()), status)
	}
	if status == http.StatusServiceUnavailable && response.Header().Get("Retry-After") == "" {
		t.Error("a 503 without Retry-After")
	}
}
