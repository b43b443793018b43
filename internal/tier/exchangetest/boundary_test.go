package exchangetest

import (
	"fmt"
	"testing"
	"time"
)

var (
	allRoutes  = []routeKind{onceRoute, safeRoute, streamRoute, resumeRoute}
	withTurns  = append(allRoutes, turnRoute, resumeTurnRoute) // allRoutes and those of turns
	allEndings = []ending{orderlyClose, resetClose, halfClose}
	endings    = map[ending]string{orderlyClose: "closed", resetClose: "reset", halfClose: "half-closed"}
	framings   = map[responseKind]string{success: "success", withLength: "with a length", chunked: "chunked", closeDelimited: "close-delimited", informational: "after 1xx",
		failure: "failure", rejected: "rejected", notRun: "not run", misdirected: "misdirected"}
)

// newRequest returns a request whose client causes no fault, with a script for each attempt.
func newRequest(route routeKind, id int, scripts ...attemptScript) *requestScript {
	return &requestScript{id: fmt.Sprint("r", id), route: route, method: "POST", size: 5, sendLimit: -1, timeLeft: time.Second, attempts: scripts}
}

// responseLength returns the length of the response to a request's first attempt.
func responseLength(request *requestScript) int {
	return len(endpointAttempt{request: request, endpoint: "e0"}.answer())
}

// runRequests runs requests of one client, one after the other, and checks the scenario.
func runRequests(t *testing.T, requests []*requestScript) []clientResult {
	t.Helper()
	results := checkScenario(t, scenario{clients: [][]*requestScript{requests}}).clients[0].results
	if len(results) != len(requests) {
		t.Fatalf("%d results of %d requests", len(results), len(requests))
	}
	return results
}

// forEachFraming runs a test for each route and each kind of response for which that route is tested.
func forEachFraming(t *testing.T, routes []routeKind, test func(t *testing.T, route routeKind, kind responseKind)) {
	for _, route := range routes {
		for kind, name := range framings {
			if !isDistinct(route, kind) {
				continue
			}
			t.Run(fmt.Sprint(route, "/", name), func(t *testing.T) { test(t, route, kind) })
		}
	}
}

// isDistinct reports whether a kind of response is worth a test of its own on a route: streams are chunked anyway, a 421 is the same on
// all routes, and turns differ from other streams only in their framing.
func isDistinct(route routeKind, kind responseKind) bool {
	switch {
	case route == turnRoute:
		return kind == success || kind == chunked
	case route == resumeTurnRoute:
		return kind == chunked
	case kind == withLength:
		return false
	case route.streaming() && kind == chunked:
		return false
	}
	return route == onceRoute || kind != misdirected
}

// TestResponse_PausesAtEachByte_IsForwarded has an endpoint pause after each byte of its response, which must be forwarded completely.
func TestResponse_PausesAtEachByte_IsForwarded(t *testing.T) {
	forEachFraming(t, []routeKind{onceRoute, resumeRoute, turnRoute}, func(t *testing.T, route routeKind, kind responseKind) {
		var requests []*requestScript
		for at := range responseLength(newRequest(route, 0, completeScript(kind, 2))) {
			paused := completeScript(kind, 2)
			paused.split, paused.splitDelay = at, 5*time.Millisecond
			requests = append(requests, newRequest(route, at, paused, completeScript(success, 2)))
		}
		want := 200
		switch {
		case kind == failure && !route.retryable():
			want = 500
		case kind == rejected:
			want = 400
		}
		for at, result := range runRequests(t, requests) {
			if !result.complete() || result.status != want {
				t.Errorf("pause after %d bytes: status %d, %v", at, result.status, result.err)
			}
		}
	})
}

// TestResponse_EndsAtEachByte_LooksIncomplete has an endpoint end its connection after each byte of its response. A retryable request must
// be served by another endpoint, any other request must be sent once, and no truncated response may look complete.
func TestResponse_EndsAtEachByte_LooksIncomplete(t *testing.T) {
	forEachFraming(t, withTurns, func(t *testing.T, route routeKind, kind responseKind) {
		for _, end := range allEndings {
			if end == halfClose && kind != success && kind != closeDelimited {
				continue
			}
			var requests []*requestScript
			for at := range responseLength(newRequest(route, 0, completeScript(kind, 4))) {
				broken := completeScript(kind, 4)
				broken.breakAfter, broken.end = at, end
				next := completeScript(success, 4)
				next.pieceSize = 10
				requests = append(requests, newRequest(route, at, broken, next))
			}
			for at, result := range runRequests(t, requests) {
				if ended := kind == closeDelimited && end != resetClose; route.retryable() && !ended && (!result.complete() || result.status != 200) {
					t.Errorf("%s after %d bytes: status %d, %v", endings[end], at, result.status, result.err)
				}
			}
		}
	})
}

// TestRequest_EndpointClosesAtEachByte_KeepsRules has an endpoint end its connection after each byte that it reads of a request.
func TestRequest_EndpointClosesAtEachByte_KeepsRules(t *testing.T) {
	for _, route := range allRoutes {
		for _, end := range allEndings {
			t.Run(fmt.Sprint(route, "/", endings[end]), func(t *testing.T) {
				var requests []*requestScript
				for at := range len(newRequest(route, 100).wire()) + 60 {
					broken := completeScript(success, 2)
					broken.readLimit, broken.end = at, end
					requests = append(requests, newRequest(route, at, broken, completeScript(success, 2)))
				}
				want := 502
				if route.retryable() {
					want = 200
				}
				for at, result := range runRequests(t, requests) {
					if !result.complete() || result.status != want {
						t.Errorf("after %d bytes: status %d, %v", at, result.status, result.err)
					}
				}
			})
		}
	}
}

// TestClient_PausesOrClosesAtEachByte_KeepsRules has a client pause, or disconnect, after each byte of its request.
func TestClient_PausesOrClosesAtEachByte_KeepsRules(t *testing.T) {
	for _, route := range allRoutes {
		for _, chunks := range []int{0, 2} {
			for _, leave := range append(allEndings, keepOpen) {
				t.Run(fmt.Sprint(route, "/", chunks, "/", leave), func(t *testing.T) {
					var requests []*requestScript
					for at := range len(newRequest(route, 100).wire()) + 20 {
						request := newRequest(route, at, completeScript(success, 2))
						request.chunks, request.disconnect = chunks, leave
						if leave == keepOpen {
							request.split, request.splitDelay = at, 5*time.Millisecond
						} else {
							request.sendLimit, request.disconnectDelay = at, 5*time.Millisecond
						}
						requests = append(requests, request)
					}
					for at, result := range runRequests(t, requests) {
						if leave == keepOpen && (!result.complete() || result.status != 200) {
							t.Errorf("pause after %d bytes: status %d, %v", at, result.status, result.err)
						}
					}
				})
			}
		}
	}
}

// TestClient_ClosesWhileResponseComes_EndsWork has a client disconnect at each millisecond of a slow response, which must end the work
// for its request.
func TestClient_ClosesWhileResponseComes_EndsWork(t *testing.T) {
	for _, route := range allRoutes {
		for _, leave := range allEndings {
			t.Run(fmt.Sprint(route, "/", endings[leave]), func(t *testing.T) {
				var requests []*requestScript
				for at := range 40 {
					slow := completeScript(success, 8)
					slow.delay, slow.split, slow.splitDelay = 10*time.Millisecond, 150, 800*time.Millisecond
					request := newRequest(route, at, slow)
					request.disconnect, request.disconnectDelay = leave, time.Duration(at)*time.Millisecond
					requests = append(requests, request)
				}
				runRequests(t, requests)
			})
		}
	}
}

// TestConnection_ClosesAtEachMomentOfReuse_SendsOnce has an endpoint end a kept-alive connection at each moment around the next request. A
// request that isn't retryable must be sent only once, whether or not it has run.
func TestConnection_ClosesAtEachMomentOfReuse_SendsOnce(t *testing.T) {
	const between = 20 * time.Millisecond
	for _, route := range allRoutes {
		for _, end := range allEndings {
			t.Run(fmt.Sprint(route, "/", endings[end]), func(t *testing.T) {
				var requests []*requestScript
				for at := range 80 {
					closing := completeScript(success, 2)
					closing.end, closing.endDelay = end, between-10*time.Millisecond+time.Duration(at)*250*time.Microsecond
					first, second := newRequest(route, 2*at, closing), newRequest(route, 2*at+1, completeScript(success, 2))
					first.id, second.id = idForFirstEndpoint(2*at), idForFirstEndpoint(2*at+1)
					second.startDelay = between
					requests = append(requests, first, second)
				}
				results := runRequests(t, requests)
				served := 0
				for _, result := range results {
					if result.complete() && result.status == 200 {
						served++
					} else if route.retryable() {
						t.Errorf("%s: status %d, %v", result.request.id, result.status, result.err)
					}
				}
				if served < len(results)/2 {
					t.Errorf("only %d of %d requests were served", served, len(results))
				}
			})
		}
	}
}

// idForFirstEndpoint returns an ID whose request is first sent to endpoint 0.
func idForFirstEndpoint(number int) string {
	for suffix := 0; ; suffix++ {
		if id := fmt.Sprintf("r%d-%d", number, suffix); firstEndpoint(id) == 0 {
			return id
		}
	}
}

// TestEarlyResponse_LongBody_LeavesNoForeignBytes has endpoints answer before they have read a long body, keep the connection, and read on
// later. They must never receive another request's bytes in place of the rest of the body.
func TestEarlyResponse_LongBody_LeavesNoForeignBytes(t *testing.T) {
	for _, route := range allRoutes {
		for _, kind := range []responseKind{notRun, success, failure} {
			t.Run(fmt.Sprint(route, "/", framings[kind]), func(t *testing.T) {
				var requests []*requestScript
				for i, size := range []int{1, 1000, 30_000, 33_000, 66_000, 100_000, 300_000} {
					for j, readOn := range []time.Duration{0, 2, 20, 400} {
						early := completeScript(kind, 2)
						early.early, early.readOnDelay = true, readOn*time.Millisecond
						first := newRequest(route, 0, early, completeScript(success, 2))
						first.id, first.size = idForFirstEndpoint(10*i+2*j), size
						second := newRequest(route, 0, completeScript(success, 2))
						second.id = idForFirstEndpoint(10*i + 2*j + 1)
						requests = append(requests, first, second)
					}
				}
				requireResponses(t, runRequests(t, requests))
			})
		}
	}
}

// TestSecondResponse_IsNeverForwarded has endpoints answer each request twice, the second time at each moment around the next request. No
// client may receive a second response.
func TestSecondResponse_IsNeverForwarded(t *testing.T) {
	for _, route := range allRoutes {
		for _, kind := range []responseKind{success, chunked, informational, failure, notRun} {
			t.Run(fmt.Sprint(route, "/", framings[kind]), func(t *testing.T) {
				var requests []*requestScript
				for at := range 60 {
					twice := completeScript(kind, 2)
					twice.secondResponse, twice.secondDelay = true, time.Duration(at)*500*time.Microsecond
					request := newRequest(route, 0, twice, completeScript(success, 2))
					request.id, request.startDelay = idForFirstEndpoint(at), 15*time.Millisecond
					requests = append(requests, request)
				}
				requireResponses(t, runRequests(t, requests))
			})
		}
	}
}

// TestResponse_ClientReadsNothing_LooksIncomplete has a client read nothing of a long response until the proxy abandons it. What the client
// then reads must not look complete, not even where only the end of its connection marks the end of the response.
func TestResponse_ClientReadsNothing_LooksIncomplete(t *testing.T) {
	for _, isHTTP10 := range []bool{false, true} {
		for _, route := range []routeKind{onceRoute, safeRoute} {
			for _, kind := range []responseKind{success, chunked, closeDelimited} {
				t.Run(fmt.Sprint(route, "/", framings[kind], "/", isHTTP10), func(t *testing.T) {
					request := newRequest(route, 0, completeScript(kind, 200_000))
					request.http10, request.timeLeft, request.readStall = isHTTP10, 300*time.Millisecond, time.Second
					if result := runRequests(t, []*requestScript{request})[0]; !result.truncated() {
						t.Errorf("a response of %d bytes looks complete, or there was none: %v", len(result.body), result.err)
					}
				})
			}
		}
	}
}

// TestProxy_Killed_ResponseLooksIncomplete kills the proxy at each millisecond of a slow response. The operating system then closes the
// proxy's connections in an orderly way, and a truncated response must not look complete. The proxy forwards a short response at once,
// after it has read all of it, so that a kill may not truncate any; of the long responses, some kill must truncate one.
func TestProxy_Killed_ResponseLooksIncomplete(t *testing.T) {
	const (
		short = 10_000 // bytes, less than the proxy buffers of a response
		long  = 80_000 // more than the proxy buffers, even in the part before the pause
	)
	for _, size := range []int{short, long} {
		for _, isHTTP10 := range []bool{false, true} {
			for _, kind := range []responseKind{success, chunked, closeDelimited} {
				t.Run(fmt.Sprint(size, "/", framings[kind], "/", isHTTP10), func(t *testing.T) {
					broken := 0
					for at := range 40 {
						slow := completeScript(kind, size)
						slow.split, slow.splitDelay = size*9/10, 20*time.Millisecond
						request := newRequest(onceRoute, 0, slow)
						request.http10 = isHTTP10
						killed := scenarioEvent{at: time.Duration(at) * time.Millisecond, kind: kill}
						env := checkScenario(t, scenario{clients: [][]*requestScript{{request}}, events: []scenarioEvent{killed}})
						if results := env.clients[0].results; len(results) > 0 && results[0].truncated() {
							broken++
						}
					}
					if size == long && broken == 0 {
						t.Error("no kill truncated the response")
					}
				})
			}
		}
	}
}

// requireResponses checks that every request got a complete response, with status 200 or 500.
func requireResponses(t *testing.T, results []clientResult) {
	t.Helper()
	for _, result := range results {
		if !result.complete() || result.status != 200 && result.status != 500 {
			t.Errorf("%s: status %d, %v", result.request.id, result.status, result.err)
		}
	}
}
