package controller

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/storage/memorydisk"
)

// TestAPI_NoLeader_NotReady sends requests to a controller whose group has no leader.
func TestAPI_NoLeader_NotReady(t *testing.T) {
	f := newFixture(t, memorydisk.New(), nil)
	for _, request := range []struct{ method, path, body string }{
		{http.MethodPut, settingsPath, document(3)},
		{http.MethodGet, settingsPath, ""},
		{http.MethodPost, "/mastusher/rollouts", `{"service":"lm","target":"v2","overS":12}`},
		{http.MethodGet, "/mastusher/rollouts/lm", ""},
		{http.MethodPost, "/mastusher/retire/storage-1", `{"overS":10}`},
		{http.MethodGet, "/mastusher/retire/storage-1", ""},
	} {
		t.Run(request.method+" "+request.path, func(t *testing.T) {
			wantStatus(t, f.send(request.method, request.path, request.body, "If-Match", "0"), http.StatusServiceUnavailable)
		})
	}
}

// TestAPI_Follower_RedirectsToLeader sends requests to each follower in a group of three controllers.
func TestAPI_Follower_RedirectsToLeader(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	leader := cluster.leader()
	accepted := mustMarshal(t, json.RawMessage(document(3)))
	cluster.propose(Command{Configuration: &configuration.Proposal{Base: 0, Number: 3, Raw: accepted}})
	cluster.run(500 * time.Millisecond)
	for _, m := range cluster.sorted() {
		if m.controller == nil || m == leader {
			continue
		}
		f := &fixture{Controller: m.controller}
		response := f.put("3", document(8)+strings.Repeat(" ", 1<<20))
		wantStatus(t, response, http.StatusTemporaryRedirect)
		if got, want := response.Header().Get("Location"), "http://"+leader.member.Control+settingsPath; got != want {
			t.Errorf("%s redirects to %s, want %s", m.member.Name, got, want)
		}
		wantStatus(t, f.send(http.MethodGet, "/mastusher/retire/a?b=c", ""), http.StatusTemporaryRedirect)

		// A follower itself acknowledges a configuration that it knows to be accepted.
		wantStatus(t, f.put("0", document(3)), http.StatusOK)
	}

	// Once the leader is dead, nobody redirects to it.
	leader.kill()
	cluster.run(deathDelay + clusterStep)
	for _, m := range cluster.sorted() {
		if m.controller != nil && m != leader && !m.controller.Group().Status().IsLeader && m.controller.Group().Status().Leader != "" {
			f := &fixture{Controller: m.controller}
			if got := f.send(http.MethodGet, settingsPath, "").Header().Get("Location"); strings.Contains(got, leader.member.Control) {
				t.Errorf("%s still redirects to the dead leader", m.member.Name)
			}
		}
	}
}

// TestAPI_NonMember_RedirectsToPeer sends requests to a controller that isn't in the group.
func TestAPI_NonMember_RedirectsToPeer(t *testing.T) {
	f := newFixture(t, memorydisk.New(), func(options *Options) { options.Initial = nil })
	wantStatus(t, f.send(http.MethodGet, settingsPath, ""), http.StatusServiceUnavailable)

	self := f.fleet.Members()[0]
	self.Incarnation = 1
	dead := controllerMember("core-2", "dead", "10.0.0.2:7000", "10.0.0.2:8144")
	dead.State = membership.StateDead
	old, young := controllerMember("core-3", "old", "10.0.0.3:7000", "10.0.0.3:8144"), controllerMember("core-4", "young", "10.0.0.4:7000", "10.0.0.4:8144")
	old.Incarnation, young.Incarnation = 5, 9
	f.fleet.set(self, dead, young, old, storeMember(1))
	response := f.send(http.MethodGet, settingsPath, "")
	wantStatus(t, response, http.StatusTemporaryRedirect)
	if got, want := response.Header().Get("Location"), "http://10.0.0.3:8144"+settingsPath; got != want {
		t.Errorf("redirected to %s, want %s", got, want)
	}
	// The next requests are redirected to the peers in turn: the first one may not be in the group either, and redirect back here.
	for _, want := range []string{"10.0.0.4", "10.0.0.3"} {
		if got := f.send(http.MethodGet, settingsPath, "").Header().Get("Location"); !strings.Contains(got, want) {
			t.Errorf("redirected to %s, want %s", got, want)
		}
	}
}
