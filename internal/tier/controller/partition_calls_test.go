package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// callResult is what a caller got at the end of a call, after redirects.
type callResult struct {
	method, path string
	order        *sentOrder // of a PUT
	began, ended time.Time
	first        int // machine that was called
	code         int // 0: none in time
	body         string
	redirects    []redirectHop
}

// redirectHop is one redirect.
type redirectHop struct {
	at   time.Time
	from int
	to   string
}

// call makes a call as the operator does.
func (c *core) call(first int, method, path, body string, base string) *callResult {
	a := &callResult{method: method, path: path, began: time.Now(), first: first}
	defer func() { a.ended = time.Now() }()
	machine := c.machines[first]
	for range maxRedirectsFollowed + 1 {
		recorder := machine.exchange(method, path, body, base)
		if recorder == nil {
			return a
		}
		a.code, a.body = recorder.Code, recorder.Body.String()
		if a.code != http.StatusTemporaryRedirect {
			return a
		}
		location := recorder.Header().Get("Location")
		a.redirects = append(a.redirects, redirectHop{at: time.Now(), from: machine.number, to: location})
		for _, other := range c.machines {
			if strings.Contains(location, other.member.Control) {
				machine = other
			}
		}
	}
	return a
}

// exchange has a machine answer; nil: not within the caller's time-out.
func (m *coreMachine) exchange(method, path, body, base string) *httptest.ResponseRecorder {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		m.waitWhileFrozen()
		if ctx.Err() != nil && method == http.MethodPost {
			return // its connection is closed by now. Late repeats of such orders have rules of their own
		}
		m.count(1)
		defer m.count(-1)
		request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
		request.Header.Set("If-Match", base)
		recorder := httptest.NewRecorder()
		m.handler.ServeHTTP(recorder, request)
		m.waitWhileFrozen() // nothing leaves a machine that is frozen
		answered <- recorder
	}()
	select {
	case recorder := <-answered:
		return recorder
	case <-ctx.Done():
		return nil
	}
}

func (m *coreMachine) count(change int) {
	m.core.mutex.Lock()
	m.calls += change
	m.core.mutex.Unlock()
	m.wakeUp()
}
