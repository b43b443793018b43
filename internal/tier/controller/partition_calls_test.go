package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// callResult is the result of a call after redirects.
type callResult struct {
	method, path string
	order        *sentOrder // of a PUT or POST; nil: none
	began, ended time.Time
	first        int // number of the machine that was called first
	code         int // status; 0: no response in time
	body         string
	redirects    []redirectHop
}

// redirectHop is one redirect.
type redirectHop struct {
	at   time.Time
	from int
	to   string
}

// call sends a request to a machine and follows redirects, as a real operator does.
func (c *partitionedCluster) call(first int, method, path, body string, base string) *callResult {
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

// exchange sends a request to a machine and returns the response; nil: none within callTimeout.
func (m *partitionedMachine) exchange(method, path, body, base string) *httptest.ResponseRecorder {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		m.waitWhileFrozen()
		if ctx.Err() != nil && method == http.MethodPost {
			return // the caller has closed the connection; late duplicates of these orders have rules of their own
		}
		m.count(1)
		defer m.count(-1)
		request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
		request.Header.Set("If-Match", base)
		recorder := httptest.NewRecorder()
		m.handler.ServeHTTP(recorder, request)
		m.waitWhileFrozen() // a frozen machine sends nothing
		response <- recorder
	}()
	select {
	case recorder := <-response:
		return recorder
	case <-ctx.Done():
		return nil
	}
}

func (m *partitionedMachine) count(change int) {
	m.cluster.mutex.Lock()
	m.calls += change
	m.cluster.mutex.Unlock()
	m.wakeUp()
}
