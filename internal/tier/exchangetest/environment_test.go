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
	maxAttempts   = 2 // of each route
	// cooldown is how long an environment runs on after its last request: longer than any deadline.
	cooldown = 5 * time.Second
)

// scenarioEventKind is what happens to the proxy or around it.
type scenarioEventKind int

const (
	newConfiguration scenarioEventKind = iota // with other limits
	endpointUnlisted                          // from the list
	endpointBack
	drain // the first step of SIGTERM
	shutdown
	crash // of an endpoint: it resets all its connections, and is back at once
	kill  // of the proxy
	eventKinds
)

// scenarioEvent is one of these, at a time.
type scenarioEvent struct {
	at       time.Duration
	kind     scenarioEventKind
	endpoint int
}

// scenario is all that an environment is to do.
type scenario struct {
	clients        [][]*requestScript
	events         []scenarioEvent
	maxConnections int  // to an endpoint; 0: no bound
	faultFree      bool // neither endpoints nor clients cause any fault
}

// keepsRunning reports whether no event ends the proxy.
func (p *scenario) keepsRunning() bool { return !p.has(drain) && !p.has(shutdown) && !p.has(kill) }

func (p *scenario) has(kind scenarioEventKind) bool {
	return slices.ContainsFunc(p.events, func(e scenarioEvent) bool { return e.kind == kind })
}

// environment is a proxy that runs with its clients and endpoints.
type environment struct {
	plan      scenario
	network   *memoryNetwork
	proxy     *proxy.Proxy
	routes    atomic.Pointer[proxy.Routes]
	endpoints []*endpoint
	clients   []*client
	requests  map[string]*requestScript
	stores    *fakeStores
	running   sync.WaitGroup

	mutex    sync.Mutex
	runs     []*endpointAttempt
	unlisted map[int]bool // endpoints that aren't listed
}

// runScenario runs a scenario and returns the environment with all that happened in it.
func runScenario(t *testing.T, p scenario) (w *environment) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w = newEnvironment(t, p)
		w.run(t)
	})
	return w
}

func newEnvironment(t *testing.T, p scenario) *environment {
	w := &environment{plan: p, network: newMemoryNetwork(), requests: make(map[string]*requestScript), unlisted: make(map[int]bool)}
	w.stores = &fakeStores{environment: w, attempted: make(map[string]bool), committed: make(map[string][]program.EndTurn)}
	for _, requests := range p.clients {
		w.clients = append(w.clients, &client{env: w, requests: requests})
		for _, request := range requests {
			w.requests[request.id] = request
		}
	}
	for i := range endpointCount {
		e := &endpoint{id: fmt.Sprint("e", i), address: fmt.Sprintf("10.0.1.%d:80", i+1), env: w}
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
	w.running.Go(func() { _ = w.proxy.Serve() })
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
		route := model.Route{Name: string(kind), Host: "a.example", PathPrefix: "/" + string(kind) + "/", Service: "service", MaxAttempts: maxAttempts,
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
func (w *environment) run(t *testing.T) {
	var clients sync.WaitGroup
	for _, c := range w.clients {
		clients.Go(c.run)
	}
	for _, event := range w.plan.events {
		clients.Go(func() {
			time.Sleep(event.at)
			w.apply(t, event)
		})
	}
	clients.Wait()
	time.Sleep(cooldown)
	w.shutdownProxy(t)
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

func (w *environment) apply(t *testing.T, event scenarioEvent) {
	switch event.kind {
	case newConfiguration:
		w.routes.Store(proxy.NewRoutes(configuration(2 + event.endpoint)))
	case endpointUnlisted, endpointBack:
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.unlisted[event.endpoint] = event.kind == endpointUnlisted
	case drain:
		w.proxy.Drain()
	case shutdown:
		w.shutdownProxy(t)
	case crash:
		w.endpoints[event.endpoint].crash()
	case kill:
		w.network.kill()
	}
}

func (w *environment) shutdownProxy(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), cooldown)
	defer cancel()
	if err := w.proxy.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// attemptStarted records that an endpoint has the head of a request. It returns nil for one that no client sent.
func (w *environment) attemptStarted(current endpointAttempt, header textproto.MIMEHeader) *endpointAttempt {
	current.request = w.requests[header.Get("X-Attempt-Id")]
	if current.request == nil {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, other := range w.runs {
		if other.request == current.request {
			current.index++
		}
	}
	if current.script().fromFirstEvent {
		current.lastEvent = 0
	}
	w.runs = append(w.runs, &current)
	return &current
}

// responseWritten records that an endpoint has written all of a response that it was to write.
func (w *environment) responseWritten(current *endpointAttempt) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	current.written = true
}

// attemptEnded records that an endpoint has nothing more to do for a request.
func (w *environment) attemptEnded(current *endpointAttempt) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if current.done.IsZero() {
		current.done = time.Now()
	}
}

// Routes implements proxy.Views.
func (w *environment) Routes() *proxy.Routes { return w.routes.Load() }

// Ready implements proxy.Views.
func (w *environment) Ready() bool { return true }

// Select implements proxy.Selector: a request tries the listed endpoints in turn, from firstEndpoint on.
func (w *environment) Select(_ context.Context, facts *proxy.RequestInfo) (proxy.Selection, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i := range endpointCount {
		number := (firstEndpoint(facts.AttemptID) + i) % endpointCount
		e := w.endpoints[number]
		if w.unlisted[number] || slices.Contains(facts.Excluded, e.id) {
			continue
		}
		choice := proxy.Selection{ID: e.id, Address: e.address, MaxConnections: w.plan.maxConnections}
		if request := w.requests[facts.AttemptID]; request != nil && request.route.retryable() {
			choice.Timeout = request.attemptTimeout
		}
		return choice, nil
	}
	return proxy.Selection{}, &proxy.RejectionError{RetryAfter: 100 * time.Millisecond}
}

// firstEndpoint is the number of the endpoint that a request goes to first.
func firstEndpoint(id string) int {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return int(hash.Sum32() % endpointCount)
}

// FirstEvent implements proxy.Selector.
func (w *environment) FirstEvent(proxy.Selection, string) {}

// Done implements proxy.Selector.
func (w *environment) Done(proxy.Selection, proxy.Outcome) {}
