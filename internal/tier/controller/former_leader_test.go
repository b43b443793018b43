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

// answerWhile has a controller of the cluster answer while time goes on, step by step, each time the handler waits for its
// group. It runs in a synctest bubble.
func (c *cluster) answerWhile(m *testMachine, method, path, body, base string) *httptest.ResponseRecorder {
	c.t.Helper()
	recorder, answered := httptest.NewRecorder(), make(chan struct{})
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("If-Match", base)
	go func() {
		defer close(answered)
		m.controller.Handler().ServeHTTP(recorder, request)
	}()
	for end := c.now + proposeTimeout; c.now < end; c.step() {
		synctest.Wait()
		select {
		case <-answered:
			return recorder
		default:
		}
	}
	c.t.Fatal("no answer")
	return nil
}

// formerLeaderCall is what a leader is asked that has a successor.
type formerLeaderCall struct{ method, path, body, base string }

// TestFormerLeader_UnawareOfSuccessor_AnswersNothing freezes a leader for less than an election time-out. Meanwhile the others
// have begun anew, so that they didn't wait for it, and have taken another configuration.
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

// askFormerLeader asks a leader that doesn't know yet that it isn't one any more.
func askFormerLeader(t *testing.T, call formerLeaderCall) {
	// Given a leader that is frozen, and others that have elected another one and gone on,
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
		t.Fatalf("it knows after %v that it isn't the leader", frozen)
	}
	// when it goes on, and is asked before it has heard of that,
	former.running = true
	answer := cluster.answerWhile(former, call.method, call.path, call.body, call.base)
	// then it tells nothing, and refuses nothing.
	switch answer.Code {
	case http.StatusServiceUnavailable, http.StatusTemporaryRedirect:
	case http.StatusGatewayTimeout:
		if call.method == http.MethodGet {
			t.Errorf("answer %d", answer.Code)
		}
	default:
		t.Errorf("answer %d %s", answer.Code, answer.Body)
	}
}
