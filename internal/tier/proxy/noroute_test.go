package proxy

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"mastusher/internal/tier/program"
)

// isDenial reports whether the status of an error response denies a request permanently, and not only for the moment.
func isDenial(status int) bool {
	return status/100 == 3 || status/100 == 4 && status != 408 && status != 421 && status != 429
}

func TestProperRequest_AnyCondition_IsNotDenied(t *testing.T) {
	limits := newConfiguration().Limits
	head := "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n"
	longest := func(end string) string {
		free := limits.MaxHeaderBytes - len(head) - len("X-Long: \r\n") - len(end)
		return head + "X-Long: " + strings.Repeat("h", free) + "\r\n" + end
	}
	largest := strings.Repeat("b", int(limits.MaxBodyBytes))
	cases := map[string]string{
		"capitals in the host":               "GET /once/x HTTP/1.1\r\nHost: A.Example\r\nX-Attempt-Id: id\r\n\r\n",
		"a port in the host":                 "GET /once/x HTTP/1.1\r\nHost: a.example:8149\r\nX-Attempt-Id: id\r\n\r\n",
		"fields in lower case":               "GET /once/x HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: id\r\n\r\n",
		"a target in absolute form":          "GET http://a.example/once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n\r\n",
		"an HTTP/1.0 client":                 "GET /once/x HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: id\r\n\r\n",
		"the shortest path of the route":     "GET /once/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n\r\n",
		"a path that is not normalized":      "GET /once//../x/. HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n\r\n",
		"no body, with a length":             head + "Content-Length: 0\r\n\r\n",
		"a body after Expect: 100-continue":  head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
		"a body in chunks":                   head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"the largest body":                   head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(largest)) + largest,
		"the largest body in chunks":         head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(largest) + lastChunk,
		"the longest head":                   longest("\r\n"),
		"the longest head with a body":       longest("Content-Length: 2\r\n\r\n") + "ab",
		"the longest head with a large body": longest(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(largest))) + largest,
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newEndpoint(t, respondWith(200, "good")))
			c := f.dial()
			c.send(request)
			got := c.readHead("POST")
			for got.StatusCode == 100 {
				got = c.readHead("POST")
			}
			if got.StatusCode != 200 {
				t.Errorf("got status %d", got.StatusCode)
			}
		})
	}
}

func TestRequest_NoConfiguration_IsNotDenied(t *testing.T) {
	f := newFixture(t)
	f.views.routes.Store(nil)
	for _, host := range []string{"a.example", "other.example"} {
		for _, target := range []string{"/safe/x", "/none/x", "/", "/mastusher/ready"} {
			for _, method := range []string{"GET", "POST", "DELETE", "OPTIONS"} {
				c := f.dial()
				c.send(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: id\r\nContent-Length: 2\r\n\r\nab")
				if got := c.readResponse(method); got.status != 503 || got.header.Get("Retry-After") == "" {
					t.Errorf("%s %s%s: %+v", method, host, target, got)
				}
			}
		}
	}
}

func TestTurn_StoreFaults_AreNoDenial(t *testing.T) {
	cases := map[string]func(*fixture){
		"no endpoint": func(f *fixture) { f.selector.endpoints = nil },
		"all endpoints decline requests": func(f *fixture) {
			f.selector.endpoints[0].Address = newEndpoint(f.t, respondNotRun).listener.Addr().String()
		},
		"no endpoint can be reached": func(f *fixture) { f.selector.endpoints[0].Address = "127.0.0.1:1" },
		"no store answers": func(f *fixture) {
			f.programs.begin = func(program.BeginTurn) (program.Result, error) { return program.Result{}, errors.New("no owner") }
		},
		"a store returns an unknown verdict": func(f *fixture) {
			f.programs.begin = func(program.BeginTurn) (program.Result, error) { return program.Result{Verdict: "new"}, nil }
		},
		"the stores don't know the turn": func(f *fixture) {
			f.programs.begin = func(program.BeginTurn) (program.Result, error) {
				return program.Result{Verdict: program.UnknownTurn}, nil
			}
		},
		"the service was removed": func(f *fixture) {
			config := newConfiguration()
			config.Services = nil
			f.views.routes.Store(NewRoutes(config))
		},
	}
	for name, injectFault := range cases {
		for _, route := range newConfiguration().Routes {
			t.Run(name+", "+route.Name, func(t *testing.T) {
				f := newFixture(t, newEndpoint(t, stream(event(1, "one"))))
				injectFault(f)
				c := f.dial()
				c.request("POST", "/"+route.Name+"/x", "id", "body", turnFields...)
				if got := c.readResponse("POST"); isDenial(got.status) {
					t.Errorf("got %+v", got)
				}
			})
		}
	}
}
