package platform

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/wiretest"
)

// header returns a header with one value per name.
func header(namesAndValues ...string) map[string][]string {
	all := map[string][]string{}
	for i := 0; i < len(namesAndValues); i += 2 {
		all[namesAndValues[i]] = []string{namesAndValues[i+1]}
	}
	return all
}

// TestFront_EveryAnswer_HasItsOutcome: each kind of answer is converted to the right outcome, which decides whether a message may be
// retried.
func TestFront_EveryAnswer_HasItsOutcome(t *testing.T) {
	front := New(configure(t, "-", "-"), nil)
	one := &engine.Attempt{Items: []engine.Item{{ID: "a"}}}
	two := &engine.Attempt{Items: []engine.Item{{ID: "a"}, {ID: "b"}}}
	type outs = []engine.Outcome
	for _, test := range []struct {
		name    string
		attempt *engine.Attempt
		status  int
		header  map[string][]string
		body    string
		want    outs
		close   bool // the connection ends with the answer
		reused  bool // the answer is not the first on its connection
	}{
		{"delivered", one, 200, nil, "", outs{{Result: control.Delivered}}, false, false},
		{"with a report", one, 200, header("X-Server-Load", "TEXT x0=0.4, x1=25"), "",
			outs{{Result: control.Delivered, Reported: true, Share: 0.4, Limit: 25}}, false, false},
		{"with half a report", one, 200, header("X-Server-Load", "TEXT x0=0.4"), "", outs{{Result: control.Delivered, Share: 0.4}}, false, false},
		{"error", one, 500, nil, "", outs{{Result: control.Errored}}, false, false},
		{"throttled with Retry-After", one, 429, header("Retry-After", "0.43"), "", outs{{Result: control.Throttled, RetryAfter: 430 * time.Millisecond}},
			false, false},
		{"throttled", one, 503, nil, "", outs{{Result: control.Throttled}}, false, false},
		{"no slot", one, 503, header("X-No-Slot", "1"), "", outs{{Result: control.NotProcessed}}, false, false},
		{"attempts used up", one, 504, nil, "", outs{{Result: control.NotProcessed}}, false, false},
		{"final", one, 410, nil, "", outs{{Result: control.NotProcessed, Final: true}}, false, false},
		{"bulk call, one status for all", two, 500, nil, "", outs{{Result: control.Errored}, {Result: control.Errored}}, false, false},
		{"bulk call, a state each", two, 200, header("Retry-After", "1"), `[{"id":"b","state":"delivered"},{"id":"a","state":"refused"}]`,
			outs{{Result: control.Throttled, RetryAfter: time.Second}, {Result: control.Delivered, RetryAfter: time.Second}}, false, false},
		{"over and spent", two, 200, nil, `[{"id":"a","state":"over"},{"id":"b","state":"spent"}]`,
			outs{{Result: control.NotProcessed, Final: true}, {Result: control.NotProcessed}}, false, false},
		{"missing in the body: may have run", two, 200, nil, `[{"id":"a","state":"failed"}]`,
			outs{{Result: control.Errored}, {Result: control.Malformed}}, false, false},
		{"broken JSON", two, 200, nil, `[{"id":"a","state":"delivered"},{"id":"b","sta`,
			outs{{Result: control.Malformed}, {Result: control.Malformed}}, false, false},
		{"values that are not numbers", one, 429, header("Retry-After", "Inf", "X-Server-Load", "TEXT x0=NaN, x1=-5"), "",
			outs{{Result: control.Throttled}}, false, false},
		{"implausible Retry-After", one, 503, header("Retry-After", "1e300", "X-Server-Load", "TEXT x0=0.1, x1=1e300"), "",
			outs{{Result: control.Throttled, Share: 0.1}}, false, false},
		{"connection rejected", one, 503, nil, "", outs{{Result: control.NoConnection}}, true, false},
		{"throttled, on a reused connection", one, 503, nil, "", outs{{Result: control.Throttled}}, true, true},
		{"throttled with Retry-After, connection closed", one, 503, header("Retry-After", "1"), "", outs{{Result: control.Throttled, RetryAfter: time.Second}},
			true, false},
		{"rate limit exceeded, connection closed", one, 429, nil, "", outs{{Result: control.Throttled}}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := make(outs, len(test.attempt.Items))
			front.outcomes(&httpwire.Response{Status: test.status, Header: test.header, Body: []byte(test.body), Close: test.close,
				FirstOnConnection: !test.reused}, test.attempt, got)
			if d := cmp.Diff(test.want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestFront_MalformedAnswer_StatusOfSingleCallCounts: the status of a malformed answer is used, but only for a call of one message.
func TestFront_MalformedAnswer_StatusOfSingleCallCounts(t *testing.T) {
	one, two := []engine.Item{{ID: "a"}}, []engine.Item{{ID: "a"}, {ID: "b"}}
	for _, test := range []struct {
		file  string
		items []engine.Item
		want  control.Result
	}{
		{"testdata/spoilt-200.txt", one, control.Delivered}, {"testdata/spoilt-200.txt", two, control.Malformed},
		{"testdata/spoilt-503.txt", one, control.Malformed},
	} {
		listener, done := wiretest.Listen(t), make(chan bool, 1)
		go runExchange(t, listener, test.file, done)
		attempt := &engine.Attempt{To: engine.Destination{Address: listener.Addr().String()}, Items: test.items}
		for _, outcome := range New(configure(t, "-", "-"), nil).Call(context.Background(), attempt) {
			if d := cmp.Diff(engine.Outcome{Result: test.want}, outcome); d != "" {
				t.Errorf("%s, %d messages (-want +got)\n%s", test.file, len(test.items), d)
			}
		}
		<-done
	}
}

// TestFront_AnswerTruncatedInStatus_MayHaveRun: an endpoint's answer stops after each byte of its status line; then the connection ends, is
// reset, is silent, or continues with another answer. Only a complete status line may count as an answer: taking a truncated
// "HTTP/1.1 200" for a delivery loses the message.
func TestFront_AnswerTruncatedInStatus_MayHaveRun(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	cfg := configure(t, "-", "-")
	cfg.Limits.AnswerRead = 30 * time.Millisecond // only the silent connection waits for it
	for size := 1; size <= len(statusLine); size++ {
		for _, how := range []string{"ends", "is reset", "falls silent", "goes on with another answer"} {
			listener := wiretest.Listen(t)
			read := make(chan struct{})
			go answerOne(listener, func(conn net.Conn) {
				_, _ = conn.Write([]byte(statusLine[:size]))
				switch how {
				case "is reset":
					_ = conn.(*net.TCPConn).SetLinger(0)
				case "falls silent":
					<-read
				case "goes on with another answer":
					_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
				}
			})
			attempt := &engine.Attempt{To: engine.Destination{Address: listener.Addr().String()}, Items: []engine.Item{{ID: "a"}}}
			got := New(cfg, nil).Call(t.Context(), attempt)[0].Result
			close(read)
			_ = listener.Close()
			// A reset may arrive before the bytes written ahead of it.
			if complete := size == len(statusLine); complete != (got == control.Delivered) && !(how == "is reset" &&
				got == control.Reset) || !complete && got.NeverRan() {
				t.Errorf("after %q the connection %s: result %d", statusLine[:size], how, got)
			}
		}
	}
}

// TestFront_BulkCall_EncodesMessages: a call with several messages has them in its body as JSON.
func TestFront_BulkCall_EncodesMessages(t *testing.T) {
	front := New(configure(t, "-", "-"), nil)
	got := string(front.request(&engine.Attempt{To: engine.Destination{Address: "h"}, Timeout: 1500 * time.Millisecond,
		Items: []engine.Item{{ID: "a", Key: "k", Body: []byte("hello")}, {ID: `"`}}}))
	const want = "POST /inbox/bulk HTTP/1.1\r\nHost: h\r\nX-Timeout: 1500m\r\nContent-Length: 71\r\n\r\n" +
		`[{"id":"a","key":"k","body":"aGVsbG8="},{"id":"\"","key":"","body":""}]`
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestFront_PluginHeaders_GoOutOnce: headers that plug-ins have set are sent once, in single and in bulk calls.
func TestFront_PluginHeaders_GoOutOnce(t *testing.T) {
	front := New(configure(t, "-", "-"), nil)
	set := []string{"X-Desk", "sports"}
	for messages := 1; messages <= 2; messages++ {
		attempt := &engine.Attempt{To: engine.Destination{Address: "d"}}
		for i := range messages {
			attempt.Items = append(attempt.Items, engine.Item{ID: fmt.Sprint("m", i), Key: "k", Body: []byte("b"), Headers: set})
		}
		request, err := httpwire.NewReader(bytes.NewReader(front.request(attempt)), &config.Limits{HeadSize: 1 << 14,
			BodySize: 1 << 16}).ReadRequest(func() error { return nil })
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff([]string{"sports"}, request.Header["X-Desk"]); d != "" {
			t.Errorf("%d messages: %s", messages, d)
		}
	}
}
