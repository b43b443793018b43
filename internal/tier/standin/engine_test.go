package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestEngine_Stream_ResumesAfterLastEventID(t *testing.T) {
	server := startEngine(t, EngineOptions{TokensPerEvent: 3})
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, EventData([]byte("prompt"), id)) }
	got := ask(testContext(t), "POST", server.Address(), "/", "prompt", "X-Attempt-Id", "1", "X-Token-Counts", "20,9")
	if want := event(1) + event(2) + event(3); got.Body != want || !got.Complete || got.Header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("got %+v", got)
	}
	resumed := ask(testContext(t), "POST", server.Address(), "/", "prompt", "X-Attempt-Id", "2", "X-Token-Counts", "20,9", "Last-Event-Id", "2")
	if resumed.Body != event(3) {
		t.Errorf("got %+v", resumed)
	}
	if runs := server.RunLog().All(); len(runs) != 2 || runs[0].Tokens != 9 || runs[1].Tokens != 3 {
		t.Errorf("got %v", runs)
	}
}

func TestEngine_ClientDisconnectsBeforeFirstEvent_DoesNotRun(t *testing.T) {
	server := startEngine(t, EngineOptions{})
	resume := server.Pause()
	ctx, cancel := context.WithCancel(testContext(t))
	disconnected := make(chan clientResponse, 1)
	go func() { disconnected <- ask(ctx, "POST", server.Address(), "/", "x", "X-Attempt-Id", "1") }()
	askUntil(t, server.Address(), "/mastusher/report", func(got clientResponse) bool { return strings.Contains(got.Body, `"active":1`) })
	cancel()
	<-disconnected
	// The slot is released once the endpoint notices the disconnect
	askUntil(t, server.Address(), "/health", func(got clientResponse) bool { return got.Status == 200 })
	resume()
	if runs := server.RunLog().All(); len(runs) != 0 {
		t.Errorf("ran: %v", runs)
	}
}

// askUntil repeats a request until a response fulfils a condition.
func askUntil(t *testing.T, address, path string, condition func(clientResponse) bool) {
	t.Helper()
	ctx := testContext(t)
	for !condition(ask(ctx, "GET", address, path, "")) {
		if ctx.Err() != nil {
			t.Fatal("the condition never held")
		}
	}
}

func TestEngine_Report_ReturnsModelsAndLoad(t *testing.T) {
	server := startEngine(t, EngineOptions{Models: []string{"m"}, CacheTokens: 90})
	got := ask(testContext(t), "GET", server.Address(), "/mastusher/report", "")
	var report Report
	if err := json.Unmarshal([]byte(got.Body), &report); err != nil {
		t.Fatal(err)
	}
	want := Report{Phase: "both", Models: []ReportModel{{Name: "m", Number: 1, Adapters: []string{}}}, CacheTotal: 90}
	if diff := cmp.Diff(want, report); diff != "" {
		t.Error(diff)
	}
}
