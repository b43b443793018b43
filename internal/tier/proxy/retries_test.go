package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
)

// behaviour is a way in which an endpoint handles a request.
type behaviour struct {
	name   string
	script func(net.Conn, receivedRequest) bool
	mayRun bool // nothing guarantees that the endpoint does not run the request
}

func behaviours() []behaviour {
	write := func(text func(receivedRequest) string, keep bool) func(net.Conn, receivedRequest) bool {
		return func(socket net.Conn, request receivedRequest) bool {
			_, _ = io.WriteString(socket, text(request))
			return keep
		}
	}
	return []behaviour{
		{"reset", resetConnection, true},
		{"close", func(net.Conn, receivedRequest) bool { return false }, true},
		{"status 500", respondWith(500, "failed"), true},
		{"status 504", respondWith(504, "late"), true},
		{"no seal", write(func(r receivedRequest) string {
			return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + r.id() + "\r\nContent-Length: 2\r\n\r\nno"
		}, true), true},
		{"another id", write(func(receivedRequest) string {
			return "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nno"
		}, false), true},
		{"garbage", write(func(receivedRequest) string { return "\x16\x03\x01 garbage\r\n\r\n" }, false), true},
		{"interrupted head", write(func(r receivedRequest) string { return sealedHead(200, r)[:20] }, false), true},
		{"interrupted body", write(func(r receivedRequest) string { return sealedHead(200, r, "Content-Length: 10") + "12345" }, false), true},
		{"interrupted event", write(func(r receivedRequest) string { return sealedHead(200, r, streamHead) + chunk("id: 1\nda") }, false), true},
		{"interrupted stream", write(func(r receivedRequest) string { return sealedHead(200, r, streamHead) + chunk(event(1, "one")) }, false), true},
		{"full", respondNotRun, false},
		{"misdirected", write(func(r receivedRequest) string {
			return "HTTP/1.1 421 Other\r\nX-Attempt-Id: " + r.id() + "\r\nContent-Length: 0\r\n\r\n"
		}, true), false},
	}
}

func TestRequest_AnyFailures_StaysWithinMaxAttempts(t *testing.T) {
	const rounds, endpoints = 150, 5
	random := rand.New(rand.NewPCG(3, 4))
	all, routes := behaviours(), newConfiguration().Routes
	for range rounds {
		route, attempts := routes[random.IntN(len(routes))], 1+random.IntN(3)
		var drawn []behaviour
		var list []*endpoint
		var names []string
		for range endpoints {
			b := all[random.IntN(len(all))]
			drawn, names, list = append(drawn, b), append(names, b.name), append(list, newEndpoint(t, b.script))
		}
		t.Run(fmt.Sprint(route.Name, " ", attempts, " ", strings.Join(names, ",")), func(t *testing.T) {
			f := newFixture(t, list...)
			f.setMaxAttempts(attempts)
			c := f.dial()
			c.request("POST", "/"+route.Name+"/x", "id", "body", turnFields...)
			status := c.readStatus()
			f.stop()
			ran := 0
			for i, b := range drawn {
				if sends := int(list[i].count.Load()); b.mayRun {
					ran += sends
				}
			}
			maxRuns := 1
			if retryable(&route) {
				maxRuns = attempts
			}
			if ran > maxRuns {
				t.Errorf("the request may have run at %d endpoints, want at most %d; the endpoints received:%s", ran, maxRuns, requestsOf(list))
			}
			if ran > 0 && !retryable(&route) && impliesNotRun(status) {
				t.Errorf("got status %d, but the request may have run", status)
			}
		})
		for _, e := range list {
			e.listener.Close()
		}
	}
}

// requestsOf describes the requests that each endpoint received.
func requestsOf(list []*endpoint) string {
	var text strings.Builder
	for i, e := range list {
		for len(e.requests) > 0 {
			request := <-e.requests
			fmt.Fprintf(&text, "\n  e%d: %s %v, connection %d", i+1, request.requestLine, request.header, request.connection)
		}
	}
	return text.String()
}

// readStatus returns the status of a response, or 0 if the connection ends without one.
func (c *client) readStatus() int {
	var version, status int
	_, _ = fmt.Fscanf(c.reader, "HTTP/1.%d %d ", &version, &status)
	return status
}

// setMaxAttempts sets MaxAttempts of all routes.
func (f *fixture) setMaxAttempts(attempts int) {
	config := newConfiguration()
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = attempts
	}
	f.views.routes.Store(NewRoutes(config))
}
