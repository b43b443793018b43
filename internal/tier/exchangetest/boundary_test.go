package exchangetest

import (
	"fmt"
	"testing"
	"time"
)

var (
	allRoutes  = []routeKind{onceRoute, safeRoute, streamRoute, resumeRoute}
	withTurns  = append(allRoutes, turnRoute)
	allEndings = []ending{finish, reset, halfOnly}
	endings    = map[ending]string{finish: "closed", reset: "reset", halfOnly: "half-closed"}
	framings   = map[answerKind]string{success: "usual", chunked: "in chunks", unframed: "unframed", informational: "after 1xx",
		failure: "failure", rejected: "rejected", notRun: "not run", misdirected: "misdirected"}
)

// newRequest is a request that goes well.
func newRequest(route routeKind, id int, sends ...sendScript) *requestScript {
	return &requestScript{id: fmt.Sprint("r", id), route: route, method: "POST", size: 5, sent: -1, timeIn: time.Second, sends: sends}
}

// answerLength is the length of the answer to a request's first send.
func answerLength(request *requestScript) int {
	return len(run{request: request, endpoint: "e0"}.answer())
}

// playAll plays requests of one client, one after the other.
func playAll(t *testing.T, requests []*requestScript) []got {
	t.Helper()
	results := check(t, plan{clients: [][]*requestScript{requests}}).clients[0].results
	if len(results) != len(requests) {
		t.Fatalf("%d results of %d requests", len(results), len(requests))
	}
	return results
}

// forEachFraming runs a test for some routes and each form of an answer that they have of their own.
func forEachFraming(t *testing.T, routes []routeKind, test func(t *testing.T, route routeKind, kind answerKind)) {
	for _, route := range routes {
		for kind, name := range framings {
			if !hasOwn(route, kind) {
				continue
			}
			t.Run(fmt.Sprint(route, "/", name), func(t *testing.T) { test(t, route, kind) })
		}
	}
}

// hasOwn tells whether a form of an answer is another one on that route than on the others: streams are in chunks as usual, what
// is misdirected is the same for all, and turns are streams in other frames.
func hasOwn(route routeKind, kind answerKind) bool {
	switch {
	case route == turnRoute:
		return kind == success || kind == chunked
	case route.streaming() && kind == chunked:
		return false
	}
	return route == onceRoute || kind != misdirected
}

// TestResponse_PausesAtEachByte_IsForwarded has an endpoint pause after each byte of its answer: it is passed on whole all the same.
func TestResponse_PausesAtEachByte_IsForwarded(t *testing.T) {
	forEachFraming(t, []routeKind{onceRoute, resumeRoute, turnRoute}, func(t *testing.T, route routeKind, kind answerKind) {
		var requests []*requestScript
		for at := range answerLength(newRequest(route, 0, whole(kind, 2))) {
			paused := whole(kind, 2)
			paused.split, paused.pause = at, 5*time.Millisecond
			requests = append(requests, newRequest(route, at, paused, whole(success, 2)))
		}
		want := 200
		switch {
		case kind == failure && !route.repeatable():
			want = 500
		case kind == rejected:
			want = 400
		}
		for at, result := range playAll(t, requests) {
			if !result.complete() || result.status != want {
				t.Errorf("pause after %d bytes: status %d, %v", at, result.status, result.err)
			}
		}
	})
}

// TestResponse_EndsAtEachByte_LooksIncomplete has an endpoint end its connection after each byte of its answer. A request that may run again is
// served by another one; a request that may not is sent once, and no broken answer looks complete.
func TestResponse_EndsAtEachByte_LooksIncomplete(t *testing.T) {
	forEachFraming(t, withTurns, func(t *testing.T, route routeKind, kind answerKind) {
		for _, end := range allEndings {
			if end == halfOnly && kind != success && kind != unframed {
				continue
			}
			var requests []*requestScript
			for at := range answerLength(newRequest(route, 0, whole(kind, 2))) {
				cut := whole(kind, 2)
				cut.cut, cut.end = at, end
				requests = append(requests, newRequest(route, at, cut, whole(success, 2)))
			}
			for at, result := range playAll(t, requests) {
				if ended := kind == unframed && end != reset; route.repeatable() && !ended && (!result.complete() || result.status != 200) {
					t.Errorf("%s after %d bytes: status %d, %v", endings[end], at, result.status, result.err)
				}
			}
		}
	})
}

// TestRequest_EndpointClosesAtEachByte_KeepsRules has an endpoint end its connection after it has read each byte of a request.
func TestRequest_EndpointClosesAtEachByte_KeepsRules(t *testing.T) {
	for _, route := range allRoutes {
		for _, end := range allEndings {
			t.Run(fmt.Sprint(route, "/", endings[end]), func(t *testing.T) {
				var requests []*requestScript
				for at := range len(newRequest(route, 100).wire()) + 60 {
					broken := whole(success, 2)
					broken.takes, broken.end = at, end
					requests = append(requests, newRequest(route, at, broken, whole(success, 2)))
				}
				want := 502
				if route.repeatable() {
					want = 200
				}
				for at, result := range playAll(t, requests) {
					if !result.complete() || result.status != want {
						t.Errorf("after %d bytes: status %d, %v", at, result.status, result.err)
					}
				}
			})
		}
	}
}

// TestClient_PausesOrClosesAtEachByte_KeepsRules has a client pause, or leave, after each byte of its request.
func TestClient_PausesOrClosesAtEachByte_KeepsRules(t *testing.T) {
	for _, route := range allRoutes {
		for _, chunks := range []int{0, 2} {
			for _, leave := range append(allEndings, stay) {
				t.Run(fmt.Sprint(route, "/", chunks, "/", leave), func(t *testing.T) {
					var requests []*requestScript
					for at := range len(newRequest(route, 100).wire()) + 20 {
						request := newRequest(route, at, whole(success, 2))
						request.chunks, request.leave = chunks, leave
						if leave == stay {
							request.split, request.pause = at, 5*time.Millisecond
						} else {
							request.sent, request.waits = at, 5*time.Millisecond
						}
						requests = append(requests, request)
					}
					for at, result := range playAll(t, requests) {
						if leave == stay && (!result.complete() || result.status != 200) {
							t.Errorf("pause after %d bytes: status %d, %v", at, result.status, result.err)
						}
					}
				})
			}
		}
	}
}

// TestClient_ClosesWhileResponseComes_EndsWork has a client leave at each moment of a slow answer.
func TestClient_ClosesWhileResponseComes_EndsWork(t *testing.T) {
	for _, route := range allRoutes {
		for _, leave := range allEndings {
			t.Run(fmt.Sprint(route, "/", endings[leave]), func(t *testing.T) {
				var requests []*requestScript
				for at := range 40 {
					slow := whole(success, 8)
					slow.delay, slow.split, slow.pause = 10*time.Millisecond, 150, 800*time.Millisecond
					request := newRequest(route, at, slow)
					request.leave, request.waits = leave, time.Duration(at)*time.Millisecond
					requests = append(requests, request)
				}
				playAll(t, requests)
			})
		}
	}
}

// TestConnection_ClosesAtEachMomentOfReuse_SendsOnce has an endpoint end a kept connection at each moment around the next request: one that
// may not run again is sent once, whatever became of it.
func TestConnection_ClosesAtEachMomentOfReuse_SendsOnce(t *testing.T) {
	const between = 20 * time.Millisecond
	for _, route := range allRoutes {
		for _, end := range allEndings {
			t.Run(fmt.Sprint(route, "/", endings[end]), func(t *testing.T) {
				var requests []*requestScript
				for at := range 80 {
					closing := whole(success, 2)
					closing.end, closing.endWait = end, between-10*time.Millisecond+time.Duration(at)*250*time.Microsecond
					first, second := newRequest(route, 2*at, closing), newRequest(route, 2*at+1, whole(success, 2))
					first.id, second.id = sameEndpoint(2*at), sameEndpoint(2*at+1)
					second.before = between
					requests = append(requests, first, second)
				}
				results := playAll(t, requests)
				served := 0
				for _, result := range results {
					if result.complete() && result.status == 200 {
						served++
					} else if route.repeatable() {
						t.Errorf("%s: status %d, %v", result.request.id, result.status, result.err)
					}
				}
				if served < len(results)/2 {
					t.Errorf("%d of %d served", served, len(results))
				}
			})
		}
	}
}

// sameEndpoint returns an id whose request goes to the first endpoint first.
func sameEndpoint(number int) string {
	for suffix := 0; ; suffix++ {
		if id := fmt.Sprintf("r%d-%d", number, suffix); firstEndpoint(id) == 0 {
			return id
		}
	}
}

// TestEarlyResponse_LongBody_LeavesNoForeignBytes has endpoints answer before they have read a long body, keep the connection, and read on at
// another time: they never get another request's bytes where the rest of the body is due.
func TestEarlyResponse_LongBody_LeavesNoForeignBytes(t *testing.T) {
	for _, route := range allRoutes {
		for _, kind := range []answerKind{notRun, success, failure} {
			t.Run(fmt.Sprint(route, "/", framings[kind]), func(t *testing.T) {
				var requests []*requestScript
				for i, size := range []int{1, 1000, 30_000, 33_000, 66_000, 100_000, 300_000} {
					for j, readOn := range []time.Duration{0, 2, 20, 400} {
						early := whole(kind, 2)
						early.early, early.readOn = true, readOn*time.Millisecond
						first := newRequest(route, 0, early, whole(success, 2))
						first.id, first.size = sameEndpoint(10*i+2*j), size
						second := newRequest(route, 0, whole(success, 2))
						second.id = sameEndpoint(10*i + 2*j + 1)
						requests = append(requests, first, second)
					}
				}
				mustAnswer(t, playAll(t, requests))
			})
		}
	}
}

// TestSecondResponse_IsNeverForwarded has endpoints answer each request twice, the second time at each moment around the next request.
func TestSecondResponse_IsNeverForwarded(t *testing.T) {
	for _, route := range allRoutes {
		for _, kind := range []answerKind{success, chunked, informational, failure, notRun} {
			t.Run(fmt.Sprint(route, "/", framings[kind]), func(t *testing.T) {
				var requests []*requestScript
				for at := range 60 {
					twice := whole(kind, 2)
					twice.extra, twice.late = true, time.Duration(at)*500*time.Microsecond
					request := newRequest(route, 0, twice, whole(success, 2))
					request.id, request.before = sameEndpoint(at), 15*time.Millisecond
					requests = append(requests, request)
				}
				mustAnswer(t, playAll(t, requests))
			})
		}
	}
}

// TestResponse_ClientReadsNothing_LooksIncomplete has a client read nothing of a long answer until the proxy gives it up: what it reads then
// doesn't look complete, also where only the end of its connection tells the end of the answer.
func TestResponse_ClientReadsNothing_LooksIncomplete(t *testing.T) {
	for _, old := range []bool{false, true} {
		for _, route := range []routeKind{onceRoute, safeRoute} {
			for _, kind := range []answerKind{success, chunked, unframed} {
				t.Run(fmt.Sprint(route, "/", framings[kind], "/", old), func(t *testing.T) {
					request := newRequest(route, 0, whole(kind, 200_000))
					request.old, request.timeIn, request.stalls = old, 300*time.Millisecond, time.Second
					if result := playAll(t, []*requestScript{request})[0]; !result.cutOff() {
						t.Errorf("%d bytes, %v", len(result.body), result.err)
					}
				})
			}
		}
	}
}

// TestProxy_Killed_ResponseLooksIncomplete kills the proxy at each millisecond of a slow answer: the system closes its
// connections in order then, and what the client has got doesn't look complete.
func TestProxy_Killed_ResponseLooksIncomplete(t *testing.T) {
	const slowest = 400 // ms: where no kill of the first 40 has cut an answer, later ones are tried until one has
	for _, old := range []bool{false, true} {
		for _, kind := range []answerKind{success, chunked, unframed} {
			t.Run(fmt.Sprint(framings[kind], "/", old), func(t *testing.T) {
				cut := 0
				for at := 0; at < 40 || at < slowest && cut == 0 && kind != success; at++ {
					slow := whole(kind, 10_000)
					slow.split, slow.pause = 9000, 20*time.Millisecond
					request := newRequest(onceRoute, 0, slow)
					request.old = old
					killed := worldEvent{at: time.Duration(at) * time.Millisecond, kind: kill}
					w := check(t, plan{clients: [][]*requestScript{{request}}, events: []worldEvent{killed}})
					if results := w.clients[0].results; len(results) > 0 && results[0].cutOff() {
						cut++
					}
				}
				if cut == 0 && kind != success {
					t.Error("no answer was cut")
				}
			})
		}
	}
}

// mustAnswer checks that every request got a whole answer of an endpoint.
func mustAnswer(t *testing.T, results []got) {
	t.Helper()
	for _, result := range results {
		if !result.complete() || result.status != 200 && result.status != 500 {
			t.Errorf("%s: status %d, %v", result.request.id, result.status, result.err)
		}
	}
}
