package platformlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
)

// steppingClock is a clock that advances only by calls of Sleep.
type steppingClock struct {
	now    time.Time
	slept  []time.Duration
	onNext func() // called at each Sleep
}

func (c *steppingClock) Now() time.Time { return c.now }

func (c *steppingClock) Sleep(ctx context.Context, duration time.Duration) error {
	c.now = c.now.Add(duration)
	c.slept = append(c.slept, duration)
	if c.onNext != nil {
		c.onNext()
	}
	return ctx.Err()
}

func (c *steppingClock) total() time.Duration {
	var sum time.Duration
	for _, duration := range c.slept {
		sum += duration
	}
	return sum
}

// platform serves a list in pages of pageSize entries. The answers, unless nil, replace the first responses.
type platform struct {
	*httptest.Server
	mutex    sync.Mutex
	list     []model.Endpoint
	pageSize int
	queries  []string
	answers  []func(http.ResponseWriter)
	opened   atomic.Int64 // connections
}

func startPlatform(t *testing.T, pageSize int, list ...model.Endpoint) *platform {
	t.Helper()
	server := &platform{list: list, pageSize: pageSize}
	server.Server = httptest.NewUnstartedServer(server)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			server.opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Server.Close)
	return server
}

func (p *platform) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.queries = append(p.queries, request.URL.RequestURI())
	if len(p.answers) > 0 {
		answer := p.answers[0]
		p.answers = p.answers[1:]
		if answer != nil {
			answer(response)
			return
		}
	}
	first, _ := strconv.Atoi(strings.TrimPrefix(request.URL.Query().Get("pageToken"), "p-"))
	last := min(first+p.pageSize, len(p.list))
	answer := page{Servers: p.list[first:last]}
	if last < len(p.list) {
		token := fmt.Sprint("p-", last)
		answer.NextToken = &token
	}
	_ = json.NewEncoder(response).Encode(answer)
}

func newTestReader(t *testing.T, server *platform, clock *steppingClock, ratePerS float64) *Reader {
	t.Helper()
	clock.now = time.Unix(1_000_000, 0)
	reader, err := NewReader(Options{Address: server.Listener.Addr().String(), RatePerS: ratePerS, Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reader.Close)
	return reader
}

func endpoints(count int) []model.Endpoint {
	var all []model.Endpoint
	for i := range count {
		all = append(all, endpoint(fmt.Sprint(100+i), model.Ready))
	}
	return all
}

func status(code int, header ...string) func(http.ResponseWriter) {
	return func(response http.ResponseWriter) {
		for i := 0; i+1 < len(header); i += 2 {
			response.Header().Set(header[i], header[i+1])
		}
		response.WriteHeader(code)
	}
}

func body(text string) func(http.ResponseWriter) {
	return func(response http.ResponseWriter) { fmt.Fprint(response, text) }
}

func TestReadAll_ReadsAllPages(t *testing.T) {
	want := endpoints(7)
	server := startPlatform(t, 3, want...)
	got, err := newTestReader(t, server, &steppingClock{}, 47).ReadAll(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"/servers", "/servers?pageToken=p-3", "/servers?pageToken=p-6"}, server.queries); diff != "" {
		t.Error(diff)
	}
	if opened := server.opened.Load(); opened != 1 {
		t.Errorf("%d connections were opened, want 1", opened)
	}
}

func TestReadAll_KeepsRate(t *testing.T) {
	server := startPlatform(t, 1, endpoints(40)...)
	clock := &steppingClock{}
	if _, err := newTestReader(t, server, clock, 10).ReadAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if clock.total() < 3900*time.Millisecond {
		t.Errorf("40 pages at 10 calls per second took %v, want at least 3.9s", clock.total())
	}
}

func TestReadAll_FailedPage_Retried(t *testing.T) {
	cases := []struct {
		name    string
		answer  func(http.ResponseWriter)
		minWait time.Duration
	}{
		{name: "rate limit exceeded", answer: status(http.StatusTooManyRequests), minWait: 50 * time.Millisecond},
		{name: "rate limit exceeded, with Retry-After", answer: status(http.StatusTooManyRequests, "Retry-After", "1.5"),
			minWait: 1500 * time.Millisecond},
		{name: "rate limit exceeded, with excessive Retry-After", answer: status(http.StatusTooManyRequests, "Retry-After", "1e300"),
			minWait: 5 * time.Second},
		{name: "internal error", answer: status(http.StatusInternalServerError), minWait: 50 * time.Millisecond},
		{name: "a redirect", answer: status(http.StatusFound, "Location", "http://127.0.0.1:1/"), minWait: 50 * time.Millisecond},
		{name: "truncated page", answer: body(`{"servers":[{"id":`), minWait: 50 * time.Millisecond},
		{name: "field servers missing", answer: body(`{}`), minWait: 50 * time.Millisecond},
		{name: "closed connection", answer: func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, minWait: 50 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// Given a platform whose second response fails once
			want := endpoints(4)
			server := startPlatform(t, 2, want...)
			server.answers = []func(http.ResponseWriter){nil, c.answer}
			clock := &steppingClock{}
			// When the list is read
			got, err := newTestReader(t, server, clock, 47).ReadAll(t.Context())
			// Then it is complete, after a backoff, and the first page was read once
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
			if clock.total() < c.minWait || clock.total() > c.minWait+time.Second {
				t.Errorf("waited %v, want minWait to a second more", clock.total())
			}
			if first := strings.Join(server.queries, " "); strings.Count(first, "pageToken=p-2") < 2 {
				t.Errorf("queries %v, want the second page at least twice", server.queries)
			}
		})
	}
}

func TestReadAll_UnknownPage_Restarts(t *testing.T) {
	want := endpoints(4)
	server := startPlatform(t, 2, want...)
	server.answers = []func(http.ResponseWriter){nil, status(http.StatusBadRequest)}
	got, err := newTestReader(t, server, &steppingClock{}, 47).ReadAll(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if len(server.queries) != 4 {
		t.Errorf("queries %v, want 4", server.queries)
	}
}

func TestReadAll_EndlessList_EndsWithContext(t *testing.T) {
	// Given a reader that has read the list, and a platform that then fails
	want := endpoints(2)
	server := startPlatform(t, 5, want...)
	clock := &steppingClock{}
	reader := newTestReader(t, server, clock, 47)
	first, err := reader.ReadAll(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var known Merger
	known.Merge(first)
	server.answers = []func(http.ResponseWriter){status(503), status(503), status(503)}
	// When the context ends during the third pause
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	pauses := 0
	clock.onNext = func() {
		pauses++
		if pauses == 3 {
			cancel()
		}
	}
	_, err = reader.ReadAll(ctx)
	// Then the error wraps both the context's error and the last failure
	var last *StatusError
	if !errors.Is(err, context.Canceled) || !errors.As(err, &last) || last.Status != 503 {
		t.Fatalf("error %v, want context.Canceled and a StatusError with status 503", err)
	}
	// And after the next read, an endpoint that it misses once is kept
	clock.onNext = nil
	server.list = server.list[:1]
	got, err := reader.ReadAll(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want[:1], got); diff != "" {
		t.Error(diff)
	}
	known.Merge(got)
	if diff := cmp.Diff(want, known.Endpoints()); diff != "" {
		t.Error(diff)
	}
}

func TestReadAll_Zone_InQuery(t *testing.T) {
	server := startPlatform(t, 5, endpoints(1)...)
	reader, err := NewReader(Options{Address: server.Listener.Addr().String(), RatePerS: 5, Zone: "hall a&b"})
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	if _, err := reader.ReadAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/servers?zone=hall+a%26b"}, server.queries); diff != "" {
		t.Error(diff)
	}
}

func TestNewReader_NoRate_Fails(t *testing.T) {
	if _, err := NewReader(Options{Address: "127.0.0.1:1"}); !errors.Is(err, ErrNoRate) {
		t.Errorf("error %v, want %v", err, ErrNoRate)
	}
}
