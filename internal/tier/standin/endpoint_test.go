package standin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
)

// testTimeout bounds every wait of a test.
const testTimeout = 10 * time.Second

// clientResponse is the response that a client received.
type clientResponse struct {
	Status   int
	Header   http.Header
	Body     string
	Complete bool
}

// ask sends one request on a connection of its own; a status of 0 means that there was no response.
func ask(ctx context.Context, method, address, path, body string, header ...string) clientResponse {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return clientResponse{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return clientResponse{Status: response.StatusCode, Header: response.Header, Body: string(text), Complete: err == nil}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startPlain(t *testing.T, options PlainOptions) *Plain {
	t.Helper()
	if options.ID == "" {
		options.ID = "i-1"
	}
	options.Capacity = max(1, options.Capacity)
	started, err := NewPlain(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func startEngine(t *testing.T, options EngineOptions) *Engine {
	t.Helper()
	if options.ID == "" {
		options.ID = "i-2"
	}
	options.Capacity = max(1, options.Capacity)
	started, err := NewEngine(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func TestPlain_Request_IsAnsweredAndRecorded(t *testing.T) {
	server := startPlain(t, PlainOptions{
		EndpointOptions: EndpointOptions{Capacity: 6, ReportLoad: true, KeepAlive: 15 * time.Second},
		ResponseBytes:   800,
	})
	got := ask(testContext(t), "POST", server.Address(), "/a/b?c=d", "body", "X-Attempt-Id", "7", "X-Expected-Server", "i-1")
	if got.Status != 200 || !got.Complete || got.Body != PlainBody("i-1", "7", 800) || len(got.Body) != 800 {
		t.Fatalf("got %+v", got)
	}
	for name, want := range map[string]string{
		"X-Attempt-Id": "7", "X-Server-Seal": Seal("i-1", "7"), "X-Server-Load": "1,0,6", "Keep-Alive": "timeout=15", "X-Not-Run": "",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, got.Header.Get(name), want)
		}
	}
	runs := server.RunLog().Runs("7")
	if len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
	run := runs[0]
	run.Header = nil
	want := Run{Attempt: "7", Endpoint: "i-1", Method: "POST", Target: "/a/b?c=d", Host: server.Address(), Body: []byte("body"), Complete: true}
	if diff := cmp.Diff(want, run); diff != "" {
		t.Error(diff)
	}
}

func TestEndpoint_RejectedRequest_DoesNotRun(t *testing.T) {
	plain := startPlain(t, PlainOptions{})
	engine := startEngine(t, EngineOptions{WeightsVersion: 3, CacheTokens: 100})
	cases := []struct {
		name    string
		address string
		header  []string
		status  int
	}{
		{name: "no attempt ID", address: plain.Address(), status: 400},
		{name: "meant for another", address: plain.Address(), header: []string{"X-Attempt-Id", "1", "X-Expected-Server", "i-9"}, status: 421},
		{name: "other weights", address: engine.Address(), header: []string{"X-Attempt-Id", "1", "Expect-Version", "2"}, status: 421},
		{name: "more tokens than the cache holds", address: engine.Address(), header: []string{"X-Attempt-Id", "1", "X-Token-Counts", "90,11"}, status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ask(testContext(t), "POST", c.address, "/", "", c.header...)
			if got.Status != c.status || got.Header.Get("X-Not-Run") == "" || got.Header.Get("X-Server-Seal") != "" {
				t.Errorf("got %+v", got)
			}
			if c.name == "meant for another" && got.Header.Get("X-Server-Id") != "i-1" {
				t.Errorf("X-Server-Id is %q, want i-1", got.Header.Get("X-Server-Id"))
			}
		})
	}
	if runs := append(plain.RunLog().All(), engine.RunLog().All()...); len(runs) != 0 {
		t.Errorf("ran: %v", runs)
	}
	if count := plain.RunLog().Rejections("1"); count != 1 {
		t.Errorf("%d rejections recorded", count)
	}
}

// waitFor waits until a condition on the run log holds.
func waitFor(t *testing.T, log *RunLog, condition func() bool) {
	t.Helper()
	ctx := testContext(t)
	for {
		changed := log.Changed()
		if condition() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatal("the condition never held")
		}
	}
}

func TestEndpoint_QueueIsFull_RejectsRequestsAndHealthChecks(t *testing.T) {
	// Given an endpoint whose only slot is taken, without a queue
	server := startPlain(t, PlainOptions{})
	resume := server.Pause()
	defer resume()
	first := make(chan clientResponse, 1)
	go func() { first <- ask(testContext(t), "GET", server.Address(), "/", "", "X-Attempt-Id", "1") }()
	waitFor(t, server.RunLog(), func() bool { return len(server.RunLog().Runs("1")) == 1 })
	// When further requests and health checks arrive, then they are rejected
	for _, path := range []string{"/", "/health"} {
		got := ask(testContext(t), "GET", server.Address(), path, "", "X-Attempt-Id", "2")
		if got.Status != 503 || got.Header.Get("X-Not-Run") == "" {
			t.Errorf("%s: got %+v", path, got)
		}
	}
	// And when the first request continues, it is answered
	resume()
	if got := <-first; got.Status != 200 {
		t.Errorf("got %+v", got)
	}
	if runs := server.RunLog().Runs("2"); len(runs) != 0 {
		t.Errorf("ran: %v", runs)
	}
}

func TestEndpoint_DeadlinePasses_AnswersAsItRanOrNot(t *testing.T) {
	// Given an endpoint whose slot is taken
	server := startPlain(t, PlainOptions{EndpointOptions: EndpointOptions{Queue: 1}})
	resume := server.Pause()
	first := make(chan clientResponse, 1)
	go func() { first <- ask(testContext(t), "GET", server.Address(), "/", "", "X-Attempt-Id", "1") }()
	waitFor(t, server.RunLog(), func() bool { return len(server.RunLog().Runs("1")) == 1 })
	// A request whose deadline passes in the queue is rejected
	got := ask(testContext(t), "GET", server.Address(), "/", "", "X-Attempt-Id", "2", "X-Time-Left-Ms", "1")
	if got.Status != 503 || got.Header.Get("X-Not-Run") == "" || len(server.RunLog().Runs("2")) != 0 {
		t.Errorf("got %+v", got)
	}
	resume()
	<-first
	// A request whose deadline passes during its run counts as run
	defer server.Pause()()
	got = ask(testContext(t), "GET", server.Address(), "/", "", "X-Attempt-Id", "3", "X-Time-Left-Ms", "1")
	if got.Status != 504 || got.Header.Get("X-Not-Run") != "" || got.Header.Get("X-Server-Seal") == "" {
		t.Errorf("got %+v", got)
	}
}

func TestEndpoint_Fault_AnswersAndRecordsAccordingly(t *testing.T) {
	cases := []struct {
		name     string
		fault    Fault
		status   int
		complete bool
		runs     int
	}{
		{name: "none", fault: NoFault, status: 200, complete: true, runs: 1},
		{name: "response lost", fault: LoseResponse, runs: 1},
		{name: "response truncated", fault: TruncateResponse, status: 200, runs: 1},
		{name: "failed", fault: FailResponse, status: 500, complete: true, runs: 1},
		{name: "rejected", fault: RejectFull, status: 503, complete: true},
		{name: "request dropped", fault: DropRequest},
	}
	for _, c := range cases {
		options := EndpointOptions{ID: "i-5", Capacity: 1, Fault: func(*http.Request) Fault { return c.fault }}
		plain := startPlain(t, PlainOptions{EndpointOptions: options})
		engine := startEngine(t, EngineOptions{EndpointOptions: options, Events: 4})
		for name, server := range map[string]interface {
			Address() string
			RunLog() *RunLog
		}{"plain": plain, "engine": engine} {
			t.Run(name+" "+c.name, func(t *testing.T) {
				got := ask(testContext(t), "POST", server.Address(), "/", "x", "X-Attempt-Id", "1")
				if got.Status != c.status || got.Complete != c.complete {
					t.Errorf("got %+v", got)
				}
				runs := server.RunLog().Runs("1")
				if len(runs) != c.runs {
					t.Fatalf("%d runs", len(runs))
				}
				if c.runs == 1 && runs[0].Complete != (c.fault == NoFault) {
					t.Errorf("the run is recorded with complete: %v", runs[0].Complete)
				}
			})
		}
	}
}

func TestEndpoint_UnhealthyOrDraining_FailsHealthChecks(t *testing.T) {
	server := startPlain(t, PlainOptions{EndpointOptions: EndpointOptions{ReportLoad: true, Service: "s", Zone: "z", Version: "v1"}})
	health := func() clientResponse { return ask(testContext(t), "GET", server.Address(), "/health", "") }
	if got := health(); got.Status != 200 || got.Header.Get("X-Server-Id") != "i-1" || got.Header.Get("X-Server-Load") == "" {
		t.Errorf("got %+v", got)
	}
	server.SetHealthy(false)
	if got := health(); got.Status != 503 || got.Header.Get("X-Not-Run") != "" {
		t.Errorf("unhealthy: got %+v", got)
	}
	server.SetHealthy(true)
	server.Drain()
	if got := health(); got.Status != 503 {
		t.Errorf("draining: got %+v", got)
	}
	if got := ask(testContext(t), "GET", server.Address(), "/", "", "X-Attempt-Id", "1"); got.Status != 200 {
		t.Errorf("draining: got %+v", got)
	}
	want := model.Endpoint{ID: "i-1", Service: "s", Address: server.Address(), Zone: "z", Version: "v1", Capacity: 1, State: model.Draining}
	if diff := cmp.Diff(want, server.Entry()); diff != "" {
		t.Error(diff)
	}
}
