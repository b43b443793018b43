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

// waitTimeout bounds every wait of a test that goes as it should.
const waitTimeout = 10 * time.Second

// selfID is the identity of the controller under test, and selfAddress its link's.
const (
	selfID      = "core-1-id"
	selfAddress = "10.0.0.1:7000"
)

// fleet is a membership that tests set by hand.
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

// list is the platform's list.
type list struct {
	endpoints []model.Endpoint
	err       error
}

func (l *list) ReadAll(context.Context) ([]model.Endpoint, error) { return l.endpoints, l.err }

func controllerMember(name, id, address, control string) membership.Member {
	return membership.Member{Name: name + "/controller", ID: id, Role: membership.Controller, Address: address, Control: control, Incarnation: 1}
}

// storeMember is the store storage-NUMBER with the identity s-NUMBER.
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

// fixture is a controller with its environment.
type fixture struct {
	*Controller
	fleet *fleet
	disk  *memorydisk.Disk
}

func testOptions(disk *memorydisk.Disk, fleetOfTest *fleet) Options {
	return Options{ID: selfID, Address: selfAddress, Settings: &settings.Settings{FaultTolerance: settings.FaultTolerance{Machines: 1}},
		Initial: []replica.Member{{ID: selfID, Address: selfAddress}}, Disk: disk, Fleet: fleetOfTest, Reader: &list{},
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

// startFixture runs the group of a controller that is its only member, and waits until that leads it. Its loops don't run.
func startFixture(t testing.TB, disk *memorydisk.Disk) *fixture {
	t.Helper()
	b := newFixture(t, disk, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.group.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	bounded, stop := context.WithTimeout(ctx, waitTimeout)
	defer stop()
	for b.group.Read(bounded, func() {}) != nil {
		if bounded.Err() != nil {
			t.Fatal("the only member doesn't become the leader")
		}
	}
	return b
}

// send asks the API and returns the answer.
func (b *fixture) send(method, target, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	b.Handler().ServeHTTP(recorder, request)
	return recorder
}

func wantStatus(t testing.TB, answer *httptest.ResponseRecorder, status int) {
	t.Helper()
	if answer.Code != status {
		t.Fatalf("answer %d %s, want %d", answer.Code, strings.TrimSpace(answer.Body.String()), status)
	}
	if status == http.StatusServiceUnavailable && answer.Header().Get("Retry-After") == "" {
		t.Error("a 503 without Retry-After")
	}
}
