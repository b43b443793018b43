package exchangetest

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/textproto"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/proxy"
)

const (
	endpointCount = 3
	tries         = 2 // of each route
	// settleTime is how long a world runs on after its last request: longer than any deadline.
	settleTime = 5 * time.Second
)

// eventKind is what happens to the proxy or around it.
type eventKind int

const (
	newConfiguration eventKind = iota // with other limits
	endpointGone                      // from the list
	endpointBack
	drain // the first step of SIGTERM
	shutdown
	crash // of an endpoint: it resets all its connections, and is back at once
	kill  // of the proxy
	eventKinds
)

// worldEvent is one of these, at a time.
type worldEvent struct {
	at       time.Duration
	kind     eventKind
	endpoint int
}

// plan is all that a world is to do.
type plan struct {
	clients        [][]*requestScript
	events         []worldEvent
	maxConnections int  // to an endpoint; 0: no bound
	untroubled     bool // neither endpoints nor clients make any trouble
}

// calm tells whether the proxy is not told to end.
func (p *plan) calm() bool { return !p.has(drain) && !p.has(shutdown) && !p.has(kill) }

func (p *plan) has(kind eventKind) bool {
	return slices.ContainsFunc(p.events, func(e worldEvent) bool { return e.kind == kind })
}

// world is a proxy that runs with its clients and endpoints.
type world struct {
	plan      plan
	network   *memoryNetwork
	proxy     *proxy.Proxy
	routes    atomic.Pointer[proxy.Routes]
	endpoints []*endpoint
	clients   []*client
	requests  map[string]*requestScript
	stores    *stores
	running   sync.WaitGroup

	mutex sync.Mutex
	runs  []*run
	gone  map[int]bool // endpoints that aren't listed
}

// play runs a plan and returns the world with all that happened in it.
func play(t *testing.T, p plan) (w *world) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(t, p)
		w.run(t)
	})
	return w
}

func newWorld(t *testing.T, p plan) *world {
	w := &world{plan: p, network: newMemoryNetwork(), requests: make(map[string]*requestScript), gone: make(map[int]bool)}
	w.stores = &stores{world: w, asked: make(map[string]bool), ends: make(map[string][]program.EndTurn)}
	for _, requests := range p.clients {
		w.clients = append(w.clients, &client{world: w, requests: requests})
		for _, request := range requests {
			w.requests[request.id] = request
		}
	}
	for i := range endpointCount {
		e := &endpoint{id: fmt.Sprint("e", i), address: fmt.Sprintf("10.0.1.%d:80", i+1), world: w}
		e.listener, _ = w.network.Listen(context.Background(), nil, "tcp4", e.address)
		w.endpoints = append(w.endpoints, e)
		w.running.Go(e.serve)
	}
	w.routes.Store(proxy.NewRoutes(configuration(1)))
	var err error
	w.proxy, err = proxy.New(proxy.Options{FrontAddress: frontAddress, ReadinessAddress: "10.0.0.1:81", Views: w, Programs: w.stores,
		Selector: w, Network: w.network})
	if err != nil {
		t.Fatal(err)
	}
	w.running.Go(func() { w.proxy.Serve() })
	return w
}

// configuration has a route of each kind. Each number has limits of its own.
func configuration(number int) *model.Configuration {
	c := &model.Configuration{
		Version:  uint64(number),
		Services: []model.Service{{Name: "service", Protocol: "h1"}},
		Limits:   model.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: int64(2000 + number)},
	}
	for _, kind := range []routeKind{safeRoute, onceRoute, streamRoute, resumeRoute, turnRoute} {
		route := model.Route{Name: string(kind), Host: "a.example", PathPrefix: "/" + string(kind) + "/", Service: "service", MaxAttempts: tries,
			TimeoutMs: 3000, LatencyTargetMs: 200, Resumable: kind == resumeRoute, Stateful: kind == turnRoute, RetentionS: 60}
		switch {
		case kind.streaming():
			route.Kind = model.Streaming
		case kind == onceRoute:
			route.Kind = model.AtMostOnce
		default:
			route.Kind = model.Retryable
		}
		c.Routes = append(c.Routes, route)
	}
	return c
}

// run lets everything happen, and then ends it.
func (w *world) run(t *testing.T) {
	var clients sync.WaitGroup
	for _, c := range w.clients {
		clients.Go(c.run)
	}
	for _, event := range w.plan.events {
		clients.Go(func() {
			time.Sleep(event.at)
			w.happen(t, event)
		})
	}
	clients.Wait()
	time.Sleep(settleTime)
	w.shutDown(t)
	for _, e := range w.endpoints {
		e.listener.Close()
	}
	synctest.Wait()
	for _, e := range w.endpoints {
		for _, conn := range e.connections() {
			conn.Close()
		}
	}
	w.running.Wait()
}

func (w *world) happen(t *testing.T, event worldEvent) {
	switch event.kind {
	case newConfiguration:
		w.routes.Store(proxy.NewRoutes(configuration(2 + event.endpoint)))
	case endpointGone, endpointBack:
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.gone[event.endpoint] = event.kind == endpointGone
	case drain:
		w.proxy.Drain()
	case shutdown:
		w.shutDown(t)
	case crash:
		w.endpoints[event.endpoint].crash()
	case kill:
		w.network.kill()
	}
}

func (w *world) shutDown(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if err := w.proxy.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// begin notes that an endpoint has the head of a request. It returns nil for one that no client sent.
func (w *world) begin(current run, header textproto.MIMEHeader) *run {
	current.request = w.requests[header.Get("X-Attempt-Id")]
	if current.request == nil {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, other := range w.runs {
		if other.request == current.request {
			current.send++
		}
	}
	if current.script().anew {
		current.after = 0
	}
	w.runs = append(w.runs, &current)
	return &current
}

// wrote notes that an endpoint has written all of an answer that it was to write.
func (w *world) wrote(current *run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	current.written = true
}

// end notes that an endpoint has nothing more to do for a request.
func (w *world) end(current *run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if current.done.IsZero() {
		current.done = time.Now()
	}
}

// Routes implements proxy.Views.
func (w *world) Routes() *proxy.Routes { return w.routes.Load() }

// Ready implements proxy.Views.
func (w *world) Ready() bool { return true }

// Select implements proxy.Selector: a request goes round the endpoints that are listed, from one that its id tells.
func (w *world) Select(_ context.Context, facts *proxy.RequestInfo) (proxy.Selection, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i := range endpointCount {
		number := (firstEndpoint(facts.AttemptID) + i) % endpointCount
		e := w.endpoints[number]
		if w.gone[number] || slices.Contains(facts.Excluded, e.id) {
			continue
		}
		choice := proxy.Selection{ID: e.id, Address: e.address, MaxConnections: w.plan.maxConnections}
		if request := w.requests[facts.AttemptID]; request != nil && request.route.repeatable() {
			choice.Timeout = request.timeout
		}
		return choice, nil
	}
	return proxy.Selection{}, &proxy.Rejection{RetryAfter: 100 * time.Millisecond}
}

// firstEndpoint is the number of the endpoint that a request goes to first.
func firstEndpoint(id string) int {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return int(hash.Sum32() % endpointCount)
}

// FirstEvent implements proxy.Selector.
func (w *world) FirstEvent(proxy.Selection, string) {}

// Done implements proxy.Selector.
func (w *world) Done(proxy.Selection, proxy.Outcome) {}
