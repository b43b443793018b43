package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
)

// repeatingSelector selects its endpoints in turn, up to a number of times for each request, whether or not they have refused it.
type repeatingSelector struct {
	endpoints []Selection
	maxSends  int
}

func (s *repeatingSelector) Select(_ context.Context, info *RequestInfo) (Selection, error) {
	sends := len(info.Excluded)
	if sends >= s.maxSends {
		return Selection{}, &RejectionError{RetryAfter: 10 * time.Millisecond}
	}
	return s.endpoints[sends%len(s.endpoints)], nil
}

func (s *repeatingSelector) FirstEvent(Selection, string) {}

func (s *repeatingSelector) Done(Selection, Outcome) {}

// lateCopies is the state of endpoints that send second copies of some of their answers late: on the same connection, in the place of the
// next answer.
type lateCopies struct {
	mutex  sync.Mutex
	random *rand.Rand
	late   map[string]string // answer of which a copy is still to come, by endpoint and connection
	copies int               // copies sent
	runs   map[string]int    // how often an endpoint has begun to run a request, by id
}

// answer draws an answer. It returns the answer's bytes, and whether the endpoint runs the request.
func (l *lateCopies) answer(request receivedRequest) (text string, runs bool) {
	interim := ""
	if l.random.Float64() < 0.2 {
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	}
	refused := func(status int, fields ...string) string {
		fields = append(fields, "Content-Length: 5")
		return interim + strings.Replace(sealedHead(status, request, fields...), "X-Server-Seal", "X-Other", 1) + "full\n"
	}
	body := "answer to " + request.id()
	switch draw := l.random.Float64(); {
	case draw < 0.35:
		return refused(http.StatusServiceUnavailable, "X-Not-Run: 1"), false
	case draw < 0.45:
		return refused(http.StatusTooManyRequests, "X-Not-Run: 1"), false
	case draw < 0.55:
		return refused(http.StatusMisdirectedRequest), false
	case draw < 0.65:
		return interim + sealedHead(http.StatusInternalServerError, request, withLength(body)) + body, true
	case strings.HasPrefix(request.requestLine, "POST /safe/"), strings.HasPrefix(request.requestLine, "POST /once/"):
		return interim + sealedHead(http.StatusOK, request, withLength(body)) + body, true
	}
	return interim + sealedHead(http.StatusOK, request, streamHead) + chunk(event(1, body)) + lastChunk, true
}

// script is the behaviour of one endpoint.
func (l *lateCopies) script(endpoint int) func(net.Conn, receivedRequest) bool {
	return func(socket net.Conn, request receivedRequest) bool {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		connection := fmt.Sprint(endpoint, " ", request.connection)
		if late := l.late[connection]; late != "" {
			delete(l.late, connection)
			l.copies++
			_, _ = io.WriteString(socket, late)
		}
		text, runs := l.answer(request)
		if runs {
			l.runs[request.id()]++
		}
		if l.random.Float64() < 0.4 {
			l.late[connection] = text
		}
		_, _ = io.WriteString(socket, text)
		return true
	}
}

// TestRequest_LateSecondCopies_NeverCountAsAnswer guards against review case 1: a request that may run once ran twice, or ran after the
// client had got 503, since a late copy of an endpoint's refusal counted as the refusal of a later send.
func TestRequest_LateSecondCopies_NeverCountAsAnswer(t *testing.T) {
	const seeds, requests = 4, 200
	for seed := range uint64(seeds) {
		copies := &lateCopies{random: rand.New(rand.NewPCG(seed, 67)), late: map[string]string{}, runs: map[string]int{}}
		selector := &repeatingSelector{maxSends: 6}
		f := newFixtureWith(t, func(options *Options) { options.Selector = selector })
		f.programs.ended = make(chan program.EndTurn, requests)
		for i := range 2 {
			e := newEndpoint(t, copies.script(i))
			go discardRequests(e)
			selector.endpoints = append(selector.endpoints, Selection{ID: fmt.Sprint("e", i), Address: e.listener.Addr().String()})
		}
		answers := f.sendEachKind(requests)
		f.stop()
		copies.judge(t, answers)
		if copies.copies < requests/4 {
			t.Errorf("seed %d: %d late copies were sent, want %d at least", seed, copies.copies, requests/4)
		}
	}
}

// discardRequests takes what an endpoint records.
func discardRequests(e *endpoint) {
	for range e.requests {
		continue
	}
}

// clientAnswer is what the client got for one request.
type clientAnswer struct {
	id     string
	route  model.Route
	status int // 0: the connection ended without an answer
	body   string
}

// sendEachKind sends requests of all kinds of routes, one after the other, over a connection that is kept while that is possible.
func (f *fixture) sendEachKind(requests int) []clientAnswer {
	routes := newConfiguration().Routes
	var answers []clientAnswer
	c := f.dial()
	for number := range requests {
		got := clientAnswer{id: fmt.Sprint("id-", number), route: routes[number%len(routes)]}
		c.request("POST", "/"+got.route.Name+"/x", got.id, "body", turnFields...)
		response, err := http.ReadResponse(c.reader, &http.Request{Method: "POST"})
		if err != nil {
			c = f.dial()
			answers = append(answers, got)
			continue
		}
		body, err := io.ReadAll(response.Body)
		got.status, got.body = response.StatusCode, string(body)
		answers = append(answers, got)
		if err != nil || response.Close {
			c = f.dial()
		}
	}
	return answers
}

// judge checks what ran against what the client was told.
func (l *lateCopies) judge(t *testing.T, answers []clientAnswer) {
	t.Helper()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, got := range answers {
		runs := l.runs[got.id]
		if !retryable(&got.route) && runs > 1 {
			t.Errorf("%s on %s got status %d and ran %d times, want once at most", got.id, got.route.Name, got.status, runs)
		}
		if !retryable(&got.route) && impliesNotRun(got.status) && runs > 0 {
			t.Errorf("%s on %s got status %d and ran %d times, want never", got.id, got.route.Name, got.status, runs)
		}
		if got.status == http.StatusOK && !strings.Contains(got.body, "answer to "+got.id) {
			t.Errorf("%s on %s got body %q, want its own answer", got.id, got.route.Name, got.body)
		}
	}
}
