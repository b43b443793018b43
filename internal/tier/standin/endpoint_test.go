package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
)

// patience bounds every wait of a test that goes as it should.
const patience = 10 * time.Second

// seen is what a client got.
type seen struct {
	Status int
	Header http.Header
	Body   string
	Whole  bool
}

// ask sends one request on a connection of its own; a status of 0 means that no answer came.
func ask(ctx context.Context, method, address, path, body string, header ...string) seen {
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
		return seen{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return seen{Status: response.StatusCode, Header: response.Header, Body: string(text), Whole: err == nil}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
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

func TestAPlainEndpointAnswersAndRecords(t *testing.T) {
	stand := startPlain(t, PlainOptions{
		EndpointOptions: EndpointOptions{Capacity: 6, ReportLoad: true, KeepAlive: 15 * time.Second},
		ResponseBytes:   800,
	})
	got := ask(testContext(t), "POST", stand.Address(), "/a/b?c=d", "body", "X-Attempt-Id", "7", "X-Expected-Server", "i-1")
	if got.Status != 200 || !got.Whole || got.Body != PlainBody("i-1", "7", 800) || len(got.Body) != 800 {
		t.Fatalf("got %+v", got)
	}
	for name, want := range map[string]string{
		"X-Attempt-Id": "7", "X-Server-Seal": Seal("i-1", "7"), "X-Server-Load": "1,0,6", "Keep-Alive": "timeout=15", "X-Not-Run": "",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, got.Header.Get(name), want)
		}
	}
	runs := stand.RunLog().Runs("7")
	if len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
	run := runs[0]
	run.Header = nil
	want := Run{Attempt: "7", Endpoint: "i-1", Method: "POST", Target: "/a/b?c=d", Host: stand.Address(), Body: []byte("body"), Complete: true}
	if diff := cmp.Diff(want, run); diff != "" {
		t.Error(diff)
	}
}

func TestWhatAnEndpointRefusesDoesNotRun(t *testing.T) {
	plain := startPlain(t, PlainOptions{})
	engine := startEngine(t, EngineOptions{WeightsVersion: 3, CacheTokens: 100})
	cases := []struct {
		name    string
		address string
		header  []string
		status  int
	}{
		{name: "no id", address: plain.Address(), status: 400},
		{name: "meant for another", address: plain.Address(), header: []string{"X-Attempt-Id", "1", "X-Expected-Server", "i-9"}, status: 421},
		{name: "other weights", address: engine.Address(), header: []string{"X-Attempt-Id", "1", "Expect-Version", "2"}, status: 421},
		{name: "larger than the memory", address: engine.Address(), header: []string{"X-Attempt-Id", "1", "X-Token-Counts", "90,11"}, status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ask(testContext(t), "POST", c.address, "/", "", c.header...)
			if got.Status != c.status || got.Header.Get("X-Not-Run") == "" || got.Header.Get("X-Server-Seal") != "" {
				t.Errorf("got %+v", got)
			}
			if c.name == "meant for another" && got.Header.Get("X-Server-Id") != "i-1" {
				t.Errorf("named as %q", got.Header.Get("X-Server-Id"))
			}
		})
	}
	if runs := append(plain.RunLog().All(), engine.RunLog().All()...); len(runs) != 0 {
		t.Errorf("ran: %v", runs)
	}
	if count := plain.RunLog().Rejections("1"); count != 1 {
		t.Errorf("%d refusals noted", count)
	}
}

// waitFor waits until the ledger shows what is wanted.
func waitFor(t *testing.T, ledger *RunLog, shown func() bool) {
	t.Helper()
	ctx := testContext(t)
	for {
		changed := ledger.Changed()
		if shown() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatal("it never came")
		}
	}
}

func TestAFullEndpoint(t *testing.T) {
	// Given an endpoint with one slot, taken, and no queue
	stand := startPlain(t, PlainOptions{})
	release := stand.Pause()
	defer release()
	first := make(chan seen, 1)
	go func() { first <- ask(testContext(t), "GET", stand.Address(), "/", "", "X-Attempt-Id", "1") }()
	waitFor(t, stand.RunLog(), func() bool { return len(stand.RunLog().Runs("1")) == 1 })
	// When others come, then they and health checks are refused
	for _, path := range []string{"/", "/health"} {
		got := ask(testContext(t), "GET", stand.Address(), path, "", "X-Attempt-Id", "2")
		if got.Status != 503 || got.Header.Get("X-Not-Run") == "" {
			t.Errorf("%s: got %+v", path, got)
		}
	}
	// And when the slot is free again, the first is answered
	release()
	if got := <-first; got.Status != 200 {
		t.Errorf("got %+v", got)
	}
	if runs := stand.RunLog().Runs("2"); len(runs) != 0 {
		t.Errorf("ran: %v", runs)
	}
}

func TestADeadline(t *testing.T) {
	// Given an endpoint whose slot is taken
	stand := startPlain(t, PlainOptions{EndpointOptions: EndpointOptions{Queue: 1}})
	release := stand.Pause()
	first := make(chan seen, 1)
	go func() { first <- ask(testContext(t), "GET", stand.Address(), "/", "", "X-Attempt-Id", "1") }()
	waitFor(t, stand.RunLog(), func() bool { return len(stand.RunLog().Runs("1")) == 1 })
	// A deadline in the queue is a refusal
	got := ask(testContext(t), "GET", stand.Address(), "/", "", "X-Attempt-Id", "2", "X-Time-Left-Ms", "1")
	if got.Status != 503 || got.Header.Get("X-Not-Run") == "" || len(stand.RunLog().Runs("2")) != 0 {
		t.Errorf("got %+v", got)
	}
	release()
	<-first
	// A deadline at work counts as run
	defer stand.Pause()()
	got = ask(testContext(t), "GET", stand.Address(), "/", "", "X-Attempt-Id", "3", "X-Time-Left-Ms", "1")
	if got.Status != 504 || got.Header.Get("X-Not-Run") != "" || got.Header.Get("X-Server-Seal") == "" {
		t.Errorf("got %+v", got)
	}
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		fault  Fault
		status int
		whole  bool
		runs   int
	}{
		{name: "none", fault: NoFault, status: 200, whole: true, runs: 1},
		{name: "lost", fault: LoseResponse, runs: 1},
		{name: "cut", fault: TruncateResponse, status: 200, runs: 1},
		{name: "failed", fault: FailResponse, status: 500, whole: true, runs: 1},
		{name: "refused", fault: RejectFull, status: 503, whole: true},
		{name: "dropped", fault: DropRequest},
	}
	for _, c := range cases {
		options := EndpointOptions{ID: "i-5", Capacity: 1, Fault: func(*http.Request) Fault { return c.fault }}
		plain := startPlain(t, PlainOptions{EndpointOptions: options})
		engine := startEngine(t, EngineOptions{EndpointOptions: options, Events: 4})
		for name, stand := range map[string]interface {
			Address() string
			RunLog() *RunLog
		}{"plain": plain, "engine": engine} {
			t.Run(name+" "+c.name, func(t *testing.T) {
				got := ask(testContext(t), "POST", stand.Address(), "/", "x", "X-Attempt-Id", "1")
				if got.Status != c.status || got.Whole != c.whole {
					t.Errorf("got %+v", got)
				}
				runs := stand.RunLog().Runs("1")
				if len(runs) != c.runs {
					t.Fatalf("%d runs", len(runs))
				}
				if c.runs == 1 && runs[0].Complete != (c.fault == NoFault) {
					t.Errorf("whole: %v", runs[0].Complete)
				}
			})
		}
	}
}

func TestHealthAndDraining(t *testing.T) {
	stand := startPlain(t, PlainOptions{EndpointOptions: EndpointOptions{ReportLoad: true, Service: "s", Zone: "z", Version: "v1"}})
	health := func() seen { return ask(testContext(t), "GET", stand.Address(), "/health", "") }
	if got := health(); got.Status != 200 || got.Header.Get("X-Server-Id") != "i-1" || got.Header.Get("X-Server-Load") == "" {
		t.Errorf("got %+v", got)
	}
	stand.SetHealthy(false)
	if got := health(); got.Status != 503 || got.Header.Get("X-Not-Run") != "" {
		t.Errorf("sick: got %+v", got)
	}
	stand.SetHealthy(true)
	stand.Drain()
	if got := health(); got.Status != 503 {
		t.Errorf("draining: got %+v", got)
	}
	if got := ask(testContext(t), "GET", stand.Address(), "/", "", "X-Attempt-Id", "1"); got.Status != 200 {
		t.Errorf("draining: got %+v", got)
	}
	want := model.Endpoint{ID: "i-1", Service: "s", Address: stand.Address(), Zone: "z", Version: "v1", Capacity: 1, State: model.Draining}
	if diff := cmp.Diff(want, stand.Entry()); diff != "" {
		t.Error(diff)
	}
}

func TestAStream(t *testing.T) {
	stand := startEngine(t, EngineOptions{TokensPerEvent: 3})
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, EventData([]byte("prompt"), id)) }
	got := ask(testContext(t), "POST", stand.Address(), "/", "prompt", "X-Attempt-Id", "1", "X-Token-Counts", "20,9")
	if want := event(1) + event(2) + event(3); got.Body != want || !got.Whole || got.Header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("got %+v", got)
	}
	resumed := ask(testContext(t), "POST", stand.Address(), "/", "prompt", "X-Attempt-Id", "2", "X-Token-Counts", "20,9", "Last-Event-Id", "2")
	if resumed.Body != event(3) {
		t.Errorf("got %+v", resumed)
	}
	if runs := stand.RunLog().All(); len(runs) != 2 || runs[0].Tokens != 9 || runs[1].Tokens != 3 {
		t.Errorf("got %v", runs)
	}
}

func TestAClientThatGoesBeforeTheFirstEventHasNotRun(t *testing.T) {
	stand := startEngine(t, EngineOptions{})
	release := stand.Pause()
	ctx, cancel := context.WithCancel(testContext(t))
	gone := make(chan seen, 1)
	go func() { gone <- ask(ctx, "POST", stand.Address(), "/", "x", "X-Attempt-Id", "1") }()
	askUntil(t, stand.Address(), "/mastusher/report", func(got seen) bool { return strings.Contains(got.Body, `"active":1`) })
	cancel()
	<-gone
	// The slot is free again once the endpoint has noticed
	askUntil(t, stand.Address(), "/health", func(got seen) bool { return got.Status == 200 })
	release()
	if runs := stand.RunLog().All(); len(runs) != 0 {
		t.Errorf("ran: %v", runs)
	}
}

// askUntil asks again and again until an answer is as wanted.
func askUntil(t *testing.T, address, path string, wanted func(seen) bool) {
	t.Helper()
	ctx := testContext(t)
	for !wanted(ask(ctx, "GET", address, path, "")) {
		if ctx.Err() != nil {
			t.Fatal("it never came")
		}
	}
}

func TestReport(t *testing.T) {
	stand := startEngine(t, EngineOptions{Models: []string{"m"}, CacheTokens: 90})
	got := ask(testContext(t), "GET", stand.Address(), "/mastusher/report", "")
	var report Report
	if err := json.Unmarshal([]byte(got.Body), &report); err != nil {
		t.Fatal(err)
	}
	want := Report{Phase: "both", Models: []ReportModel{{Name: "m", Number: 1, Adapters: []string{}}}, CacheTotal: 90}
	if diff := cmp.Diff(want, report); diff != "" {
		t.Error(diff)
	}
}

func TestTheListOfThePlatform(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	stand, err := NewPlatform(PlatformOptions{PageSize: 2, RatePerS: 3, Now: func() time.Time { return now }})
	if err != nil {
		t.Fatal(err)
	}
	defer stand.Close()
	for i, zone := range []string{"a", "b", "a", "a"} {
		stand.Put(model.Endpoint{ID: fmt.Sprint("i-", i), Zone: zone, State: model.Ready})
	}
	stand.Remove("i-0")
	if !stand.SetState("i-2", model.Draining) || stand.SetState("i-0", model.Draining) {
		t.Error("states are set of the wrong ones")
	}
	get := func(path string) (status int, ids []string, next string) {
		got := ask(testContext(t), "GET", stand.Address(), path, "")
		var answer listAnswer
		_ = json.Unmarshal([]byte(got.Body), &answer)
		for _, entry := range answer.Servers {
			ids = append(ids, entry.ID+" "+string(entry.State))
		}
		if answer.NextToken != nil {
			next = *answer.NextToken
		}
		return got.Status, ids, next
	}
	status, ids, next := get("/servers")
	if diff := cmp.Diff([]string{"i-1 ready", "i-2 draining"}, ids); diff != "" || status != 200 || next != "p-2" {
		t.Errorf("%d, %s, %s", status, diff, next)
	}
	_, ids, next = get("/servers?pageToken=p-2")
	if diff := cmp.Diff([]string{"i-3 ready"}, ids); diff != "" || next != "" {
		t.Errorf("%s, %s", diff, next)
	}
	_, ids, _ = get("/servers?zone=a")
	if diff := cmp.Diff([]string{"i-2 draining", "i-3 ready"}, ids); diff != "" {
		t.Error(diff)
	}
	if status, _, _ = get("/servers"); status != 429 {
		t.Errorf("the fourth call in a second: %d", status)
	}
	now = now.Add(time.Second)
	if status, _, _ = get("/servers?pageToken=q"); status != 400 {
		t.Errorf("an unknown page: %d", status)
	}
	stand.SetDown(true)
	if status, _, _ = get("/servers"); status != 503 {
		t.Errorf("down: %d", status)
	}
	if all, overRate := stand.Calls(); all != 6 || overRate != 1 {
		t.Errorf("%d calls, %d over the rate", all, overRate)
	}
}
