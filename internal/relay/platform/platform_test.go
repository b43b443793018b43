package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/journal"
	"mastusher/internal/relay/standin"
	"mastusher/internal/relay/wiretest"
)

const settings = `{"allowed": {"cancel": true, "max_attempts": 1, "max_open": 40, "max_retry_after": 3000000,
  "retry_after": true, "conn_idle": 15000000, "connect_timeout": 1500000},
  "family_info": {"kind_apart": [true], "per_call": [3], "workers": 8}, "peers_total": 1, "round": 1000,
  "lanes": [{"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000,
    "deadline": 16000000, "worth": 1}, {"name": "score-state", "effect": "pure", "aim": 2000000,
    "deadline": 24000000, "worth": 3}],
  "localities": ["a"], "machine_types": ["m2"], "report": {"fields": ["x0", "x1"], "how": "inline"}}`

func configure(t *testing.T, discovery, destination string) *config.Config {
	t.Helper()
	text, _ := json.Marshal(map[string]any{"listen": "-", "state": t.TempDir(), "discovery": discovery,
		"settings": json.RawMessage(settings), "known": map[string]any{"index": 41, "snapshot": true,
			"endpoints": []any{map[string]any{"name": "s-1", "address": destination, "zone": "a", "type": "m2",
				"group": 7, "status": "ready"}}}})
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// play waits for a connection and plays a recording over it.
func play(t *testing.T, l net.Listener, file string, done chan<- bool) {
	defer func() { done <- true }()
	conn, err := l.Accept()
	if err != nil {
		t.Error(err)
		return
	}
	wiretest.Run(t, conn, file, "{address}", l.Addr().String())
	_ = conn.Close()
}

// TestFront_ClientToDestinationToNotice plays the platform's protocol from the client to the destination and the notice.
func TestFront_ClientToDestinationToNotice(t *testing.T) {
	for _, c := range []struct {
		client, destination, discovery string
	}{
		{"testdata/client-delivered.txt", "testdata/destination-delivered.txt", ""},
		{"testdata/client-failed.txt", "testdata/destination-failed.txt", "testdata/discovery-failed.txt"},
		{"testdata/client-refused.txt", "", ""},
		{"testdata/client-tenant.txt", "testdata/destination-delivered.txt", ""},
	} {
		t.Run(c.client, func(t *testing.T) {
			destination, discovery, clients := wiretest.Listen(t), wiretest.Listen(t), wiretest.Listen(t)
			cfg := configure(t, discovery.Addr().String(), destination.Addr().String())
			if c.client == "testdata/client-tenant.txt" {
				cfg.Settings.TenantNames, cfg.Settings.Tenants = []string{"north", "acme"}, make([]control.Tenant, 2)
			}
			cfg.Settings.MustSubscribe = true // and the module asks once: the watch below fails, and is let be
			log, err := journal.Open(cfg.State, cfg.Limits.DiskBytes)
			if err != nil {
				t.Fatal(err)
			}
			core, err := engine.New(cfg, log, slog.New(slog.NewTextHandler(io.Discard, nil)), time.Now())
			if err != nil {
				t.Fatal(err)
			}
			f := New(cfg, core)
			core.AddFront(Name, quiet{f}, ParseEndpointList(cfg.Known))
			core.Restore(time.Now())
			s := httpwire.NewServer(&cfg.Limits, f.Handle)
			go func() { _ = s.Serve(clients) }()
			ended := make(chan bool)
			go func() { core.Run(); ended <- true }()
			done := make(chan bool, 2)
			if c.destination != "" {
				go play(t, destination, c.destination, done)
			}
			if c.discovery != "" {
				go play(t, discovery, c.discovery, done)
			}
			wiretest.Run(t, wiretest.Dial(t, clients.Addr().String()), c.client)
			for _, file := range []string{c.destination, c.discovery} {
				if file != "" {
					<-done
				}
			}
			core.Drain()
			<-core.Drained()
			core.Stop()
			<-ended
			_ = clients.Close()
			s.Close(time.Minute)
			if left := log.Entries(); len(left) != 0 {
				t.Errorf("%d messages are left without an end", len(left))
			}
		})
	}
}

// quiet is the front without its watch, which TestWatch_ReportsListAndChanges covers.
type quiet struct{ *Front }

func (quiet) Watch(context.Context, int64, func(engine.EndpointList)) error { return nil }

// TestFront_EveryAnswer_HasItsOutcome reads every answer that a destination may give: whether a message may be sent again hangs on it.
func TestFront_EveryAnswer_HasItsOutcome(t *testing.T) {
	f := New(configure(t, "-", "-"), nil)
	one := &engine.Attempt{Items: []engine.Item{{ID: "a"}}}
	two := &engine.Attempt{Items: []engine.Item{{ID: "a"}, {ID: "b"}}}
	h := func(kv ...string) map[string][]string {
		m := map[string][]string{}
		for i := 0; i < len(kv); i += 2 {
			m[kv[i]] = []string{kv[i+1]}
		}
		return m
	}
	type outs = []engine.Outcome
	for _, c := range []struct {
		name   string
		step   *engine.Attempt
		status int
		header map[string][]string
		body   string
		want   outs
		ends   bool // with its connection
		again  bool // it is not the first on it
	}{
		{"delivered", one, 200, nil, "", outs{{Result: control.Delivered}}, false, false},
		{"with a report", one, 200, h("X-Server-Load", "TEXT x0=0.4, x1=25"), "",
			outs{{Result: control.Delivered, Reported: true, Share: 0.4, Limit: 25}}, false, false},
		{"with half a report", one, 200, h("X-Server-Load", "TEXT x0=0.4"), "", outs{{Result: control.Delivered, Share: 0.4}}, false, false},
		{"error", one, 500, nil, "", outs{{Result: control.Errored}}, false, false},
		{"told to wait", one, 429, h("Retry-After", "0.43"), "", outs{{Result: control.Throttled, RetryAfter: 430 * time.Millisecond}}, false, false},
		{"shut", one, 503, nil, "", outs{{Result: control.Throttled}}, false, false},
		{"no slot", one, 503, h("X-No-Slot", "1"), "", outs{{Result: control.NotProcessed}}, false, false},
		{"attempts used up", one, 504, nil, "", outs{{Result: control.NotProcessed}}, false, false},
		{"over", one, 410, nil, "", outs{{Result: control.NotProcessed, Final: true}}, false, false},
		{"all alike", two, 500, nil, "", outs{{Result: control.Errored}, {Result: control.Errored}}, false, false},
		{"each by itself", two, 200, h("Retry-After", "1"), `[{"id":"b","state":"delivered"},{"id":"a","state":"refused"}]`,
			outs{{Result: control.Throttled, RetryAfter: time.Second}, {Result: control.Delivered, RetryAfter: time.Second}}, false, false},
		{"over and spent", two, 200, nil, `[{"id":"a","state":"over"},{"id":"b","state":"spent"}]`,
			outs{{Result: control.NotProcessed, Final: true}, {Result: control.NotProcessed}}, false, false},
		{"not named: may have run", two, 200, nil, `[{"id":"a","state":"failed"}]`,
			outs{{Result: control.Errored}, {Result: control.Malformed}}, false, false},
		{"broken JSON", two, 200, nil, `[{"id":"a","state":"delivered"},{"id":"b","sta`,
			outs{{Result: control.Malformed}, {Result: control.Malformed}}, false, false},
		{"figures that are none", one, 429, h("Retry-After", "Inf", "X-Server-Load", "TEXT x0=NaN, x1=-5"), "",
			outs{{Result: control.Throttled}}, false, false},
		{"a wait that nobody means", one, 503, h("Retry-After", "1e300", "X-Server-Load", "TEXT x0=0.1, x1=1e300"), "",
			outs{{Result: control.Throttled, Share: 0.1}}, false, false},
		{"its connection is turned away", one, 503, nil, "", outs{{Result: control.NoConnection}}, true, false},
		{"shut, on a connection that was kept", one, 503, nil, "", outs{{Result: control.Throttled}}, true, true},
		{"told to wait, and the end", one, 503, h("Retry-After", "1"), "", outs{{Result: control.Throttled, RetryAfter: time.Second}}, true, false},
		{"above the limit, and the end", one, 429, nil, "", outs{{Result: control.Throttled}}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := make(outs, len(c.step.Items))
			f.outcomes(&httpwire.Response{Status: c.status, Header: c.header, Body: []byte(c.body), Close: c.ends, FirstOnConnection: !c.again}, c.step, got)
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestFront_MalformedAnswer_FirstLineOfSingleCallCounts: of a spoilt answer the first line counts, and only for a call of one message.
func TestFront_MalformedAnswer_FirstLineOfSingleCallCounts(t *testing.T) {
	one, two := []engine.Item{{ID: "a"}}, []engine.Item{{ID: "a"}, {ID: "b"}}
	for _, c := range []struct {
		file  string
		items []engine.Item
		want  control.Result
	}{
		{"testdata/spoilt-200.txt", one, control.Delivered}, {"testdata/spoilt-200.txt", two, control.Malformed},
		{"testdata/spoilt-503.txt", one, control.Malformed},
	} {
		l, done := wiretest.Listen(t), make(chan bool, 1)
		go play(t, l, c.file, done)
		step := &engine.Attempt{To: engine.Destination{Address: l.Addr().String()}, Items: c.items}
		for _, o := range New(configure(t, "-", "-"), nil).Call(context.Background(), step) {
			if d := cmp.Diff(engine.Outcome{Result: c.want}, o); d != "" {
				t.Errorf("%s, %d messages (-want +got)\n%s", c.file, len(c.items), d)
			}
		}
		<-done
	}
}

// TestFront_AnswerStopsInFirstLine_MayHaveRun: an endpoint's answer stops at each byte of its first line, and the connection ends, is reset, falls silent, or goes on with
// another answer, as where half a line was left over. Only a whole line is an answer: half of one that begins with "HTTP/1.1 200" was
// taken for a delivery, and the message was lost.
func TestFront_AnswerStopsInFirstLine_MayHaveRun(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	cfg := configure(t, "-", "-")
	cfg.Limits.AnswerRead = 30 * time.Millisecond // only what falls silent waits for it
	for n := 1; n <= len(line); n++ {
		for _, how := range []string{"ends", "is reset", "falls silent", "goes on with another answer"} {
			l := wiretest.Listen(t)
			over := make(chan struct{})
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = httpwire.NewReader(conn, &cfg.Limits).ReadRequest(nil)
				_, _ = conn.Write([]byte(line[:n]))
				switch how {
				case "is reset":
					_ = conn.(*net.TCPConn).SetLinger(0)
				case "falls silent":
					<-over
				case "goes on with another answer":
					_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
			step := &engine.Attempt{To: engine.Destination{Address: l.Addr().String()}, Items: []engine.Item{{ID: "a"}}}
			got := New(cfg, nil).Call(t.Context(), step)[0].Result
			close(over)
			_ = l.Close()
			// A reset may overtake what was written before it.
			if whole := n == len(line); whole != (got == control.Delivered) && !(how == "is reset" && got == control.Reset) || !whole && got.NeverRan() {
				t.Errorf("after %q the connection %s: result %d", line[:n], how, got)
			}
		}
	}
}

// TestFront_BulkCall_Body: the body of a call with several messages.
func TestFront_BulkCall_Body(t *testing.T) {
	f := New(configure(t, "-", "-"), nil)
	got := string(f.request(&engine.Attempt{To: engine.Destination{Address: "h"}, Timeout: 1500 * time.Millisecond,
		Items: []engine.Item{{ID: "a", Key: "k", Body: []byte("hello")}, {ID: `"`}}}))
	const want = "POST /inbox/bulk HTTP/1.1\r\nHost: h\r\nX-Timeout: 1500m\r\nContent-Length: 71\r\n\r\n" +
		`[{"id":"a","key":"k","body":"aGVsbG8="},{"id":"\"","key":"","body":""}]`
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

func TestWatch_ReportsListAndChanges(t *testing.T) {
	one := engine.Destination{Name: "s-1", Address: "h:1", Zone: "a", Kind: "m2", Partner: 3, State: control.Draining}
	two := engine.Destination{Name: "s-2", State: control.Removed}
	odd := engine.Destination{Name: `s-1 }] "{`, Address: "h:1", Zone: "a", Kind: "m2", Partner: 3}
	for file, want := range map[string][]engine.EndpointList{
		"testdata/watch.txt": {{Index: 43, Destinations: []engine.Destination{one, two}}},
		"testdata/watch-indented.txt": {{Index: 43, Complete: true, Destinations: []engine.Destination{odd}},
			{Index: 44, Destinations: []engine.Destination{two}}},
	} {
		l := wiretest.Listen(t)
		f := New(configure(t, l.Addr().String(), "-"), nil)
		done := make(chan bool, 1)
		go play(t, l, file, done)
		var got []engine.EndpointList
		if err := f.Watch(context.Background(), 41, func(p engine.EndpointList) { got = append(got, p) }); err == nil || errors.Is(err, engine.ErrWatchTimeout) {
			t.Errorf("%s: the watch ended with %v", file, err)
		}
		<-done
		if d := cmp.Diff(want, got, cmpopts.IgnoreUnexported(engine.Destination{})); d != "" {
			t.Errorf("%s (-want +got)\n%s", file, d)
		}
	}
}

// TestWatch_SilentOrBroken_AreToldApart: a watch that came up and says nothing more is told apart from one that broke, also where it stops in the middle of a
// list and only empty lines follow: those are no life.
func TestWatch_SilentOrBroken_AreToldApart(t *testing.T) {
	for name, says := range map[string]string{"nothing": "\n", "half a line": `{"index":43,"endpo`, "half a list": "{\"index\":43,\n\n\n\n"} {
		l := wiretest.Listen(t)
		cfg := configure(t, l.Addr().String(), "-")
		cfg.Limits.WatchTimeout = 200 * time.Millisecond
		ended := make(chan struct{})
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = httpwire.NewReader(conn, &cfg.Limits).ReadRequest(nil)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + says))
			for alive := name == "half a list"; alive; time.Sleep(10 * time.Millisecond) { // empty lines for as long as somebody reads
				_, err := conn.Write([]byte("\n"))
				alive = err == nil
			}
			<-ended
			_ = conn.Close()
		}()
		err := New(cfg, nil).Watch(t.Context(), 41, func(engine.EndpointList) { t.Errorf("%s: a list is told", name) })
		if !errors.Is(err, engine.ErrWatchTimeout) {
			t.Errorf("%s: the watch ends with %v", name, err)
		}
		close(ended)
	}
}

// begin has a core and its front at work on a configuration, without a watch, until end.
func begin(t *testing.T, cfg *config.Config) (core *engine.Core, f *Front, log *journal.Log, end func()) {
	t.Helper()
	log, err := journal.Open(cfg.State, cfg.Limits.DiskBytes)
	if err == nil {
		core, err = engine.New(cfg, log, slog.New(slog.NewTextHandler(io.Discard, nil)), time.Now())
	}
	if err != nil {
		t.Fatal(err)
	}
	f = New(cfg, core)
	core.AddFront(Name, quiet{f}, ParseEndpointList(cfg.Known))
	core.Restore(time.Now())
	ended := make(chan bool)
	go func() { core.Run(); ended <- true }()
	return core, f, log, func() {
		core.Drain()
		<-core.Drained()
		core.Stop()
		<-ended
	}
}

// TestFront_EndpointRefusesConnection_IsNoLimitOnCalls: an endpoint that holds as many connections as it takes, idle ones counted, turns a new one away with 503 and its
// end. The relay takes that for what it is, and gives back at once what it holds idle at endpoints of that kind: others wait for those.
// Before, it slowed down as if a limit on calls were passed, and kept them.
func TestFront_EndpointRefusesConnection_IsNoLimitOnCalls(t *testing.T) {
	cfg := configure(t, "-", "-")
	gave := make(chan error, 1)
	room := wiretest.Listen(t) // an endpoint with room: it keeps the connection after its answer
	go func() {
		conn, err := room.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = httpwire.NewReader(conn, &cfg.Limits).ReadRequest(nil)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second)) // well before its idle time is over
		_, err = conn.Read(make([]byte, 1))
		gave <- err
	}()
	full := wiretest.Listen(t) // and one of that kind without any
	go func() {
		conn, err := full.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = httpwire.NewReader(conn, &cfg.Limits).ReadRequest(nil)
		_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	}()
	known := fmt.Sprintf(`{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"a","type":"m2","group":7,"status":"ready"},
		{"name":"s-2","address":%q,"zone":"a","type":"m2","group":8,"status":"ready"}]}`, room.Addr(), full.Addr())
	cfg.Known = gjson.Parse(known)
	cfg.Settings.MustSubscribe, cfg.Settings.ConnIdle, cfg.Limits.IdleSocket = true, time.Hour, time.Hour
	_, f, log, end := begin(t, cfg)
	for i, dest := range []string{"dest=7", "dest=8"} {
		q := &httpwire.Request{Method: "POST", Path: "/score-state", Header: map[string][]string{"X-Request-Id": {dest}, "X-Timeout": {"20000m"},
			"X-Envelope": {dest}}}
		if a := f.Handle(q); a.Status != 202 {
			t.Fatalf("%s: status %d", dest, a.Status)
		}
		for i == 0 && len(log.Entries()) > 0 { // until it is delivered, and its connection rests
			time.Sleep(time.Millisecond)
		}
	}
	if err := <-gave; err != io.EOF {
		t.Errorf("the idle connection of that kind ends with %v, want its end", err)
	}
	end()
}

// TestFront_ClientLosesAnswer_MessageRunsOnce: the client's connection breaks after its message was taken on and before it has its answer, every time; it hands the
// message in once more under the same id, while the call is out or when that is over. What must not run twice has one call, and the
// second request is not answered as if it could be handed in again.
func TestFront_ClientLosesAnswer_MessageRunsOnce(t *testing.T) {
	for _, c := range []struct {
		class string
		over  bool // the call has its answer before the client comes again
		want  int  // status
	}{{"order", false, 500}, {"match-event", false, 500}, {"score-state", false, 429}, {"order", true, 202}} {
		calls, answer := make(chan string, 9), make(chan struct{})
		endpoint := wiretest.Listen(t)
		ends := httpwire.NewServer(standin.Limits(), func(q *httpwire.Request) httpwire.Answer {
			calls <- q.Header.Get("X-Request-Id")
			<-answer
			return httpwire.Answer{Status: 200}
		})
		go func() { _ = ends.Serve(endpoint) }()
		cfg := configure(t, "-", endpoint.Addr().String())
		cfg.Settings.MustSubscribe = true
		cfg.Settings.Classes = append(cfg.Settings.Classes, control.Class{Name: "order", LatencyTarget: time.Second, Deadline: time.Minute, Value: 1})
		_, f, log, end := begin(t, cfg)
		clients := wiretest.Listen(t)
		broken, lost, tries := make(chan struct{}), make(chan struct{}), 0
		s := httpwire.NewServer(&cfg.Limits, func(q *httpwire.Request) httpwire.Answer {
			a := f.Handle(q)
			if tries++; tries == 1 { // it is taken on, and its answer not written yet
				was := a.OnLost
				a.OnLost = func() { was(); close(lost) }
				<-calls
				close(broken)
				if c.over {
					close(answer)
					for len(log.Entries()) > 0 { // until the core has heard of it
						time.Sleep(time.Millisecond)
					}
				}
				a.Body = make([]byte, 8<<20) // more than is written before a reset arrives, or fits into the buffers
			}
			return a
		})
		go func() { _ = s.Serve(clients) }()
		request := httpwire.AppendRequest(nil, "POST", "/"+c.class, "x", []string{"X-Request-ID", "m", "Idempotency-Key", "k", "X-Timeout", "20000m",
			"X-Envelope", "dest=7"}, []byte("hi"))
		first := wiretest.Dial(t, clients.Addr().String()).(*net.TCPConn)
		_, _ = first.Write(request)
		<-broken
		_ = first.SetLinger(0)
		_ = first.Close()
		<-lost
		second := wiretest.Dial(t, clients.Addr().String())
		_, _ = second.Write(request)
		p, err := httpwire.NewReader(second, &cfg.Limits).ReadResponse()
		if err != nil || p.Status != c.want {
			t.Errorf("%s, its call over %v: the same id again is answered %+v, %v; want %d", c.class, c.over, p, err, c.want)
		}
		if !c.over {
			close(answer)
		}
		end()
		if len(calls) != 0 {
			t.Errorf("%s: it was called %d times more", c.class, len(calls))
		}
		_, _ = clients.Close(), endpoint.Close()
		s.Close(time.Minute)
		ends.Close(time.Minute)
	}
}

// TestFront_PluginHeaders_GoOutOnce: what plug-ins have set goes out with single calls and bulk ones, once, beside the protocol's own.
func TestFront_PluginHeaders_GoOutOnce(t *testing.T) {
	f := New(configure(t, "-", "-"), nil)
	set := []string{"X-Desk", "sports"}
	for n := 1; n <= 2; n++ {
		step := &engine.Attempt{To: engine.Destination{Address: "d"}}
		for i := range n {
			step.Items = append(step.Items, engine.Item{ID: fmt.Sprint("m", i), Key: "k", Body: []byte("b"), Headers: set})
		}
		q, err := httpwire.NewReader(bytes.NewReader(f.request(step)), &config.Limits{HeadSize: 1 << 14, BodySize: 1 << 16}).ReadRequest(func() error { return nil })
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff([]string{"sports"}, q.Header["X-Desk"]); d != "" {
			t.Errorf("%d messages: %s", n, d)
		}
	}
}
