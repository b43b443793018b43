package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/journal"
	"mastusher/internal/relay/standin"
	"mastusher/internal/relay/wiretest"
)

// settings have a class that is deduplicated by key and one that is safe to repeat; a call carries at most 3 messages.
const settings = `{"allowed": {"cancel": true, "max_attempts": 1, "max_open": 40, "max_retry_after": 3000000,
  "retry_after": true, "conn_idle": 15000000, "connect_timeout": 1500000},
  "family_info": {"kind_apart": [true], "per_call": [3], "workers": 8}, "peers_total": 1, "round": 1000,
  "lanes": [{"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000,
    "deadline": 16000000, "worth": 1}, {"name": "score-state", "effect": "pure", "aim": 2000000,
    "deadline": 24000000, "worth": 3}],
  "localities": ["a"], "machine_types": ["m2"], "report": {"fields": ["x0", "x1"], "how": "inline"}}`

// configure returns a configuration with one destination, of partner 7.
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

// runExchange accepts a connection and runs the exchange recorded in file on it.
func runExchange(t *testing.T, listener net.Listener, file string, done chan<- bool) {
	defer func() { done <- true }()
	conn, err := listener.Accept()
	if err != nil {
		t.Error(err)
		return
	}
	wiretest.Run(t, conn, file, "{address}", listener.Addr().String())
	_ = conn.Close()
}

// TestFront_Message_ReachesDestinationAndNotice runs the platform's protocol from the client to the destination and the notice to
// discovery.
func TestFront_Message_ReachesDestinationAndNotice(t *testing.T) {
	for _, test := range []struct {
		client, destination, discovery string
	}{
		{"testdata/client-delivered.txt", "testdata/destination-delivered.txt", ""},
		{"testdata/client-failed.txt", "testdata/destination-failed.txt", "testdata/discovery-failed.txt"},
		{"testdata/client-refused.txt", "", ""},
		{"testdata/client-tenant.txt", "testdata/destination-delivered.txt", ""},
	} {
		t.Run(test.client, func(t *testing.T) {
			destination, discovery, clients := wiretest.Listen(t), wiretest.Listen(t), wiretest.Listen(t)
			cfg := configure(t, discovery.Addr().String(), destination.Addr().String())
			if test.client == "testdata/client-tenant.txt" {
				cfg.Settings.TenantNames, cfg.Settings.Tenants = []string{"north", "acme"}, make([]control.Tenant, 2)
			}
			cfg.Settings.MustSubscribe = true // the module subscribes once, and withoutWatch ends the watch
			front, log, end := startCore(t, cfg)
			server := httpwire.NewServer(&cfg.Limits, front.Handle)
			go func() { _ = server.Serve(clients) }()
			done := make(chan bool, 2)
			if test.destination != "" {
				go runExchange(t, destination, test.destination, done)
			}
			if test.discovery != "" {
				go runExchange(t, discovery, test.discovery, done)
			}
			wiretest.Run(t, wiretest.Dial(t, clients.Addr().String()), test.client)
			for _, file := range []string{test.destination, test.discovery} {
				if file != "" {
					<-done
				}
			}
			end()
			_ = clients.Close()
			server.Close(time.Minute)
			if pending := log.Entries(); len(pending) != 0 {
				t.Errorf("%d messages have not ended", len(pending))
			}
		})
	}
}

// withoutWatch is a Front that watches nothing; Watch has tests of its own.
type withoutWatch struct{ *Front }

func (withoutWatch) Watch(context.Context, int64, func(engine.EndpointList)) error { return nil }

// startCore runs a core and its front, without a watch, until end is called, which waits for the ends of all messages.
func startCore(t *testing.T, cfg *config.Config) (front *Front, log *journal.Log, end func()) {
	t.Helper()
	log, err := journal.Open(cfg.State, cfg.Limits.DiskBytes)
	if err != nil {
		t.Fatal(err)
	}
	core, err := engine.New(cfg, log, slog.New(slog.NewTextHandler(io.Discard, nil)), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	front = New(cfg, core)
	core.AddFront(Name, withoutWatch{front}, ParseEndpointList(cfg.Known))
	core.Restore(time.Now())
	ended := make(chan bool)
	go func() { core.Run(); ended <- true }()
	return front, log, func() {
		core.Drain()
		<-core.Drained()
		core.Stop()
		<-ended
	}
}

// TestFront_EndpointRefusesConnection_IsNoLimitOnCalls: an endpoint that has reached its limit of connections, including idle ones, answers
// a new one with 503 and closes it. The relay must close its idle connections to endpoints of that kind at once, since others wait for
// them, and must not treat the answer as a rate limit.
func TestFront_EndpointRefusesConnection_IsNoLimitOnCalls(t *testing.T) {
	cfg := configure(t, "-", "-")
	closed := make(chan error, 1)
	available := wiretest.Listen(t) // an endpoint that keeps the connection open after its answer
	go answerOne(available, func(conn net.Conn) {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second)) // well before the relay would close it as idle
		_, err := conn.Read(make([]byte, 1))
		closed <- err
	})
	full := wiretest.Listen(t) // an endpoint of the same kind that accepts no more connections
	go answerOne(full, func(conn net.Conn) {
		_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	})
	known := fmt.Sprintf(`{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"a","type":"m2","group":7,"status":"ready"},
		{"name":"s-2","address":%q,"zone":"a","type":"m2","group":8,"status":"ready"}]}`, available.Addr(), full.Addr())
	cfg.Known = gjson.Parse(known)
	cfg.Settings.MustSubscribe, cfg.Settings.ConnIdle, cfg.Limits.IdleSocket = true, time.Hour, time.Hour
	front, log, end := startCore(t, cfg)
	for i, dest := range []string{"dest=7", "dest=8"} {
		request := &httpwire.Request{Method: "POST", Path: "/score-state", Header: map[string][]string{"X-Request-Id": {dest},
			"X-Timeout": {"20000m"}, "X-Envelope": {dest}}}
		if answer := front.Handle(request); answer.Status != 202 {
			t.Fatalf("%s: answered with status %d, want 202", dest, answer.Status)
		}
		for i == 0 && len(log.Entries()) > 0 { // until the message is delivered, and its connection idle
			time.Sleep(time.Millisecond)
		}
	}
	if err := <-closed; err != io.EOF {
		t.Errorf("reading the idle connection fails with %v, want io.EOF", err)
	}
	end()
}

// TestFront_ClientLosesAnswer_MessageRunsOnce: a client's connection always breaks between the acceptance of its message and the answer.
// The client submits the message again under the same id, while the call is in flight or after it has ended. There must be only one call,
// and a message that must not run twice is not answered as one that may be submitted again.
func TestFront_ClientLosesAnswer_MessageRunsOnce(t *testing.T) {
	for _, test := range []lostAnswerTest{{"order", false, 500}, {"match-event", false, 500}, {"score-state", false, 429}, {"order", true, 202}} {
		t.Run(fmt.Sprintf("%s, call ended %v", test.class, test.callEnded), test.run)
	}
}

// lostAnswerTest is a test in which a client loses the answer to a message of a class.
type lostAnswerTest struct {
	class     string
	callEnded bool // whether the call to the endpoint ends before the client submits the message again
	want      int  // status of the second answer
}

func (test lostAnswerTest) run(t *testing.T) {
	calls, release := make(chan string, 9), make(chan struct{})
	endpoint := serve(t, httpwire.NewServer(standin.Limits(), func(request *httpwire.Request) httpwire.Answer {
		calls <- request.Header.Get("X-Request-Id")
		<-release
		return httpwire.Answer{Status: 200}
	}))
	cfg := configure(t, "-", endpoint)
	cfg.Settings.MustSubscribe = true
	cfg.Settings.Classes = append(cfg.Settings.Classes, control.Class{Name: "order", LatencyTarget: time.Second, Deadline: time.Minute, Value: 1})
	front, log, end := startCore(t, cfg)
	accepted, lost, requests := make(chan struct{}), make(chan struct{}), 0
	clients := serve(t, httpwire.NewServer(&cfg.Limits, func(request *httpwire.Request) httpwire.Answer {
		answer := front.Handle(request)
		if requests++; requests > 1 {
			return answer
		}
		onLost := answer.OnLost // at this point the message is accepted, and its answer not written yet
		answer.OnLost = func() { onLost(); close(lost) }
		<-calls
		close(accepted)
		if test.callEnded {
			close(release)
			for len(log.Entries()) > 0 { // until the core has processed the end of the call
				time.Sleep(time.Millisecond)
			}
		}
		answer.Body = make([]byte, 8<<20) // too much to be buffered or written before the reset arrives
		return answer
	}))
	message := httpwire.AppendRequest(nil, "POST", "/"+test.class, "x", []string{"X-Request-ID", "m", "Idempotency-Key", "k", "X-Timeout", "20000m",
		"X-Envelope", "dest=7"}, []byte("hi"))
	first := wiretest.Dial(t, clients).(*net.TCPConn)
	_, _ = first.Write(message)
	<-accepted
	_ = first.SetLinger(0)
	_ = first.Close()
	<-lost
	second := wiretest.Dial(t, clients)
	_, _ = second.Write(message)
	answer, err := httpwire.NewReader(second, &cfg.Limits).ReadResponse()
	if err != nil || answer.Status != test.want {
		t.Errorf("the duplicate is answered %+v, error %v; want status %d", answer, err, test.want)
	}
	if !test.callEnded {
		close(release)
	}
	end()
	if len(calls) != 0 {
		t.Errorf("%d further calls for the message, want none", len(calls))
	}
}

// answerOne accepts one connection, reads a request from it, calls answer, and closes the connection.
func answerOne(listener net.Listener, answer func(net.Conn)) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = httpwire.NewReader(conn, standin.Limits()).ReadRequest(nil)
	answer(conn)
}

// serve runs a server on loopback until the end of the test, and returns its address.
func serve(t *testing.T, server *httpwire.Server) string {
	t.Helper()
	listener := wiretest.Listen(t)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close(time.Minute)
	})
	return listener.Addr().String()
}
