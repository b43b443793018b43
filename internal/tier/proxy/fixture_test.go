package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
)

// fakeViews is a Views that a test sets.
type fakeViews struct {
	routes atomic.Pointer[Routes]
	ready  atomic.Bool
}

func (v *fakeViews) Routes() *Routes { return v.routes.Load() }
func (v *fakeViews) Ready() bool     { return v.ready.Load() }

// fakePrograms is a Programs that records its calls.
type fakePrograms struct {
	beforeBegin func(context.Context)                           // nil: a beginning is answered at once
	begin       func(program.BeginTurn) (program.Result, error) // nil: every turn is taken
	end         func(program.EndTurn) error                     // nil: every end is safe
	beforeEnd   func(context.Context) error                     // nil: an end is answered at once
	unknown     func(program.EndTurn) bool                      // nil: every turn is known

	mutex     sync.Mutex
	begins    []program.BeginTurn
	shardKeys []string
	ended     chan program.EndTurn
}

func (p *fakePrograms) Begin(ctx context.Context, key string, turn program.BeginTurn) (program.Result, error) {
	if p.beforeBegin != nil {
		p.beforeBegin(ctx)
	}
	p.mutex.Lock()
	turn.Input = bytes.Clone(turn.Input)
	p.begins = append(p.begins, turn)
	p.shardKeys = append(p.shardKeys, key)
	p.mutex.Unlock()
	if p.begin == nil {
		return program.Result{Verdict: program.Accepted}, nil
	}
	return p.begin(turn)
}

func (p *fakePrograms) End(ctx context.Context, _ string, turn program.EndTurn) (program.Result, error) {
	if p.beforeEnd != nil {
		if err := p.beforeEnd(ctx); err != nil {
			return program.Result{}, err
		}
	}
	if p.end != nil {
		if err := p.end(turn); err != nil {
			return program.Result{}, err
		}
	}
	if p.unknown != nil && p.unknown(turn) {
		return program.Result{Verdict: program.UnknownTurn}, nil
	}
	p.ended <- turn
	return program.Result{Verdict: program.Accepted}, nil
}

// fakeSelector is a Selector that offers endpoints in order, each once.
type fakeSelector struct {
	endpoints []Selection
	outcomes  chan Outcome

	mutex       sync.Mutex
	infos       []RequestInfo
	firstEvents int
}

func (c *fakeSelector) Select(_ context.Context, info *RequestInfo) (Selection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.infos = append(c.infos, *info)
	for _, selection := range c.endpoints {
		if !slices.Contains(info.Excluded, selection.ID) {
			return selection, nil
		}
	}
	return Selection{}, &RejectionError{RetryAfter: 250 * time.Millisecond}
}

func (c *fakeSelector) FirstEvent(Selection, string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.firstEvents++
}

func (c *fakeSelector) Done(_ Selection, outcome Outcome) { c.outcomes <- outcome }

// fixture is a proxy that runs with everything around it under a test's control.
type fixture struct {
	t        *testing.T
	proxy    *Proxy
	views    *fakeViews
	programs *fakePrograms
	selector *fakeSelector
	config   *model.Configuration
}

// newFixture starts a proxy in front of endpoints, which are named e1, e2 and so on.
func newFixture(t *testing.T, endpoints ...*endpoint) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*Options) {}, endpoints...)
}

// newFixtureWith starts a proxy whose options a test changes.
func newFixtureWith(t *testing.T, change func(*Options), endpoints ...*endpoint) *fixture {
	t.Helper()
	f := &fixture{
		t:        t,
		views:    &fakeViews{},
		programs: &fakePrograms{ended: make(chan program.EndTurn, 16)},
		selector: &fakeSelector{outcomes: make(chan Outcome, 64)},
		config:   newConfiguration(),
	}
	for i, e := range endpoints {
		f.selector.endpoints = append(f.selector.endpoints, Selection{ID: "e" + strconv.Itoa(i+1), Address: e.listener.Addr().String()})
	}
	f.views.routes.Store(NewRoutes(f.config))
	f.views.ready.Store(true)
	options := Options{
		FrontAddress:     "127.0.0.1:0",
		ReadinessAddress: "127.0.0.1:0",
		Views:            f.views,
		Programs:         f.programs,
		Selector:         f.selector,
	}
	change(&options)
	var err error
	f.proxy, err = New(options)
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- f.proxy.Serve() }()
	t.Cleanup(func() {
		f.stop()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return f
}

// stop shuts the proxy down. Its requests have ended when it returns, but for those that take five seconds.
func (f *fixture) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = f.proxy.Shutdown(ctx)
}

// newConfiguration has a route of each kind.
func newConfiguration() *model.Configuration {
	route := func(name string, kind model.RouteKind, change func(*model.Route)) model.Route {
		r := model.Route{Name: name, Host: "a.example", PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 5000, LatencyTargetMs: 200,
			Priority: 3, Service: "plain", MaxAttempts: 2}
		if kind == model.Streaming {
			r.Service = "engine"
		}
		if change != nil {
			change(&r)
		}
		return r
	}
	return &model.Configuration{
		Version: 1,
		Routes: []model.Route{
			route("safe", model.Retryable, nil),
			route("once", model.AtMostOnce, nil),
			route("stream", model.Streaming, nil),
			route("resume", model.Streaming, func(r *model.Route) { r.Resumable = true }),
			route("turn", model.Streaming, func(r *model.Route) { r.Stateful, r.RetentionS = true, 60 }),
		},
		Services: []model.Service{
			{Name: "plain", Protocol: "h1"},
			{Name: "engine", Protocol: "h1", Engine: &model.Engine{TokensPerEvent: 3}},
		},
		Limits: model.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// client is a raw connection to the proxy.
type client struct {
	t      *testing.T
	socket net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *client {
	f.t.Helper()
	socket, err := net.Dial("tcp4", f.proxy.FrontAddress().String())
	if err != nil {
		f.t.Fatal(err)
	}
	_ = socket.SetDeadline(time.Now().Add(10 * time.Second))
	f.t.Cleanup(func() { socket.Close() })
	return &client{t: f.t, socket: socket, reader: bufio.NewReader(socket)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.socket, text); err != nil {
		c.t.Fatal(err)
	}
}

// request sends a request with a body of known length.
func (c *client) request(method, target, id, body string, fields ...string) {
	c.t.Helper()
	head := method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\n"
	if body != "" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	for _, field := range fields {
		head += field + "\r\n"
	}
	c.send(head + "\r\n" + body)
}

// clientResponse is an response with its complete body, or with the error at which the body ended.
type clientResponse struct {
	status int
	header http.Header
	body   string
	close  bool // the connection ends with it
	err    error
}

// head reads the head of a response.
func (c *client) head(method string) *http.Response {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return response
}

func (c *client) read(method string) clientResponse {
	c.t.Helper()
	response := c.head(method)
	body, err := io.ReadAll(response.Body)
	return clientResponse{response.StatusCode, response.Header, string(body), response.Close, err}
}

// closedSilently tells whether the connection ends without any byte.
func (c *client) closedSilently() bool {
	n, err := c.reader.Read(make([]byte, 1))
	return n == 0 && err != nil && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// received is a request as an endpoint got it.
type received struct {
	connection int
	line       string
	header     textproto.MIMEHeader
	body       string
}

// id returns the request's attempt id.
func (r received) id() string { return r.header.Get("X-Attempt-Id") }

// endpoint is a stand-in that answers as a test says.
type endpoint struct {
	listener net.Listener
	script   func(socket net.Conn, request received) bool // false: close the connection
	requests chan received
	closed   chan int // numbers of connections that have ended
	count    atomic.Int64
}

func newEndpoint(t *testing.T, script func(net.Conn, received) bool) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{listener: listener, script: script, requests: make(chan received, 256), closed: make(chan int, 256)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for number := 1; ; number++ {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(socket, number)
		}
	}()
	return e
}

func (e *endpoint) serve(socket net.Conn, number int) {
	defer func() { e.closed <- number }()
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for {
		text := textproto.NewReader(reader)
		line, err := text.ReadLine()
		if err != nil {
			return
		}
		header, err := text.ReadMIMEHeader()
		if err != nil {
			return
		}
		request := received{connection: number, line: line, header: header}
		if length, err := strconv.Atoi(header.Get("Content-Length")); err == nil {
			body := make([]byte, length)
			if _, err := io.ReadFull(reader, body); err != nil {
				return
			}
			request.body = string(body)
		}
		e.count.Add(1)
		e.requests <- request
		if !e.script(socket, request) {
			return
		}
	}
}

// sealedHead returns the head of a response with a seal; fields are complete lines.
func sealedHead(status int, request received, fields ...string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nX-Attempt-Id: " + request.id() +
		"\r\nX-Server-Seal: seal-" + request.id() + "\r\nKeep-Alive: timeout=30\r\n" + strings.Join(append(fields, ""), "\r\n") + "\r\n"
}

func withLength(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) }

// respondWith gives a complete response with a Content-Length.
func respondWith(status int, body string, fields ...string) func(net.Conn, received) bool {
	return func(socket net.Conn, request received) bool {
		_, _ = io.WriteString(socket, sealedHead(status, request, append(fields, withLength(body))...)+body)
		return true
	}
}

// respondNotRun says that the request was not run.
func respondNotRun(socket net.Conn, request received) bool {
	_, _ = io.WriteString(socket, "HTTP/1.1 503 Full\r\nX-Attempt-Id: "+request.id()+"\r\nX-Not-Run: full\r\nRetry-After: 0.4\r\nContent-Length: 0\r\n\r\n")
	return true
}

// resetConnection breaks the connection after the request was read.
func resetConnection(socket net.Conn, _ received) bool {
	_ = socket.(*net.TCPConn).SetLinger(0)
	socket.Close()
	return false
}

const (
	streamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
	lastChunk  = "0\r\n\r\n"
)

// chunk frames bytes as one chunk.
func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// event is one event of a stream.
func event(id int, data string) string {
	return "id: " + strconv.Itoa(id) + "\ndata: " + data + "\n\n"
}

// stream answers with events, each in a chunk of its own.
func stream(events ...string) func(net.Conn, received) bool {
	return func(socket net.Conn, request received) bool {
		text := sealedHead(200, request, streamHead)
		for _, one := range events {
			text += chunk(one)
		}
		_, _ = io.WriteString(socket, text+lastChunk)
		return true
	}
}
