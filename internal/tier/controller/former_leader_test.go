package controller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/configuration"
)

// sendWhileStepping sends a request to a controller of the cluster, and steps the cluster each time the handler waits for its
// group. It must be called in a synctest bubble.
func (c *cluster) sendWhileStepping(m *testMachine, method, path, body, base string) *httptest.ResponseRecorder {
	c.t.Helper()
	recorder, done := httptest.NewRecorder(), make(chan struct{})
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("If-Match", base)
	go func() {
		defer close(done)
		m.controller.Handler().ServeHTTP(recorder, request)
	}()
	for end := c.now + proposeTimeout; c.now < end; c.step() {
		synctest.Wait()
		select {
		case <-done:
			return recorder
		default:
		}
	}
	c.t.Fatal("no response within the time-out of a proposal")
	return nil
}

// formerLeaderCall is a request to a leader that already has a successor.
type formerLeaderCall struct{ method, path, body, base string }

// TestFormerLeader_UnawareOfSuccessor_AnswersNothing freezes a leader for less than an election time-out. Meanwhile the others
// restart, so that they elect a successor without waiting for that time-out, and commit another configuration. The former leader must
// neither return old state nor reject anything.
func TestFormerLeader_UnawareOfSuccessor_AnswersNothing(t *testing.T) {
	for _, call := range []formerLeaderCall{
		{http.MethodGet, settingsPath, "", ""},
		{http.MethodGet, rolloutsPath + "/lm", "", ""},
		{http.MethodGet, retirePath + "storage-1", "", ""},
		{http.MethodPost, retirePath + "storage-9", `{}`, ""},
		{http.MethodPut, settingsPath, document(9), "3"},
		{http.MethodPut, settingsPath, document(9), "8"},
	} {
		t.Run(call.method+" "+call.path+" "+call.base, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { askFormerLeader(t, call) })
		})
	}
}

// askFormerLeader sends a request to a former leader that doesn't know of its successor yet.
func askFormerLeader(t *testing.T, call formerLeaderCall) {
	// Given a leader that is frozen, and others that have elected another leader and committed a configuration,
	cluster := newCluster(t, 0)
	cluster.until("a leader", 5*time.Second, func() bool { return cluster.leader() != nil })
	cluster.propose(Command{Configuration: &configuration.Proposal{Number: 3, Raw: mustMarshal(t, []byte(document(3)))}})
	cluster.run(time.Second)
	former := cluster.leader()
	former.running = false
	for _, m := range cluster.sorted() {
		if m != former {
			m.kill()
			m.start()
		}
	}
	began := cluster.now
	cluster.propose(Command{Configuration: &configuration.Proposal{Base: 3, Number: 8, Raw: mustMarshal(t, []byte(document(8)))}})
	if frozen := cluster.now - began; frozen >= electionTimeout || !former.controller.Group().Status().IsLeader {
		t.Fatalf("electing a successor took %v, or the former leader has stepped down already", frozen)
	}
	// when the former leader continues, and gets a request before any message,
	former.running = true
	response := cluster.sendWhileStepping(former, call.method, call.path, call.body, call.base)
	// then it returns no state, and rejects nothing.
	switch response.Code {
	case http.StatusServiceUnavailable, http.StatusTemporaryRedirect:
	case http.StatusGatewayTimeout:
		if call.method == http.MethodGet {
			t.Errorf("status %d", response.Code)
		}
	default:
		t.Errorf("status %d %s", response.Code, response.Body)
	}
}
