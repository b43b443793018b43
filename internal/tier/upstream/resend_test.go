package upstream_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/upstream"
)

// refusal returns a response which states that the endpoint has not run the request.
func refusal(id string) string {
	return "HTTP/1.1 503 Full\r\nX-Attempt-Id: " + id + "\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n"
}

// newRefusingEndpoint returns an endpoint that refuses each request once. The second copy of a refusal comes late: on the same connection,
// before the response to the next request.
func newRefusingEndpoint(t *testing.T) *endpoint {
	var mutex sync.Mutex
	refused := map[string]bool{}
	late := map[int]string{} // by connection
	return newEndpoint(t, func(socket net.Conn, request received) bool {
		mutex.Lock()
		defer mutex.Unlock()
		_, _ = io.WriteString(socket, late[request.connection])
		delete(late, request.connection)
		id := request.header.Get("X-Attempt-Id")
		if !refused[id] {
			refused[id] = true
			late[request.connection] = refusal(id)
			_, _ = io.WriteString(socket, refusal(id))
			return true
		}
		return respondKeepAlive(socket, request)
	})
}

// statusOf sends a request and returns the status of its response.
func statusOf(t *testing.T, pool *upstream.Pool, target upstream.Endpoint, request *upstream.Request) int {
	t.Helper()
	response, err := pool.Do(t.Context(), target, request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	_, _ = io.Copy(io.Discard, response)
	return response.Status
}

// TestDo_RefusedRequestSentAgain_LateCopyOfRefusalIsNoAnswer guards against review case 1: a late second copy of a refusal counted as the
// refusal of the next send of the same request, which the endpoint ran.
func TestDo_RefusedRequestSentAgain_LateCopyOfRefusalIsNoAnswer(t *testing.T) {
	for _, maxConnections := range []int{0, 1, 2} {
		t.Run(fmt.Sprint("MaxConnections ", maxConnections), func(t *testing.T) {
			e := newRefusingEndpoint(t)
			pool := newPool(t, upstream.Options{})
			target := e.target("e")
			target.MaxConnections = maxConnections
			request := newRequest("POST", "/", "id", "body")
			if status := statusOf(t, pool, target, request); status != 503 {
				t.Fatalf("the first send got status %d, want 503", status)
			}
			if status := statusOf(t, pool, target, request); status != 200 {
				t.Errorf("the second send got status %d, want 200: the endpoint ran it", status)
			}
		})
	}
}

func TestDo_RequestSentAgain_UsesOtherIdleConnection(t *testing.T) {
	e := newEndpoint(t, respondKeepAlive)
	pool := newPool(t, upstream.Options{})
	// Given three idle connections to an endpoint,
	var open []*upstream.Response
	for i := range 3 {
		response, err := pool.Do(t.Context(), e.target("e"), newRequest("GET", "/", fmt.Sprint("earlier ", i)))
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, response)
	}
	for _, response := range open {
		_, _ = io.Copy(io.Discard, response)
		response.Close()
	}
	// when a request is sent four times, and then another one,
	request := newRequest("POST", "/", "id", "body")
	for range 4 {
		statusOf(t, pool, e.target("e"), request)
	}
	statusOf(t, pool, e.target("e"), newRequest("GET", "/", "later"))
	// then it goes over each connection once, before a new one is opened, and the other one over the connection that was used last.
	var used []int
	requests, _ := e.seen()
	for _, request := range requests[3:] {
		used = append(used, request.connection)
	}
	if diff := cmp.Diff([]int{3, 2, 1, 4, 4}, used); diff != "" {
		t.Errorf("connections of the requests (-want +got):\n%s", diff)
	}
}
