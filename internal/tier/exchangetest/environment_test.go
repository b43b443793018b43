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
	// cooldown is how long an environment runs on after its last request: longer than any deadline.
	cooldown = 5 * time.Second
)

// scenarioEventKind is a kind of event that happens to the proxy, its configuration or an endpoint.
type scenarioEventKind int

const (
	newConfiguration scenarioEventKind = iota // a configuration with other limits takes effect
	endpointUnlisted                          // the selector stops choosing an endpoint
	endpointBack                              // the selector chooses the endpoint again
	drain                                     // the first step of the proxy's shutdown after SIGTERM
	shutdown                                  // of the proxy
	crash                                     // of an endpoint: it resets all its connections, and is back at once
	kill                                      // of the proxy
	eventKinds
)

// scenarioEvent is an event at a time after the start.
type scenarioEvent struct {
	at       time.Duration
	kind     scenarioEventKind
	endpoint int // number of the endpoint that is unlisted, back or crashes; also makes the number of a newConfiguration
}

// scenario describes everything that happens in one run.
type scenario struct {
	clients        [][]*requestScript
	events         []scenarioEvent
	maxConnections int  // to an endpoint; 0: no bound
	faultFree      bool // neither endpoints nor clients cause any fault
}

// keepsRunning reports whether no event ends the proxy.
func (s *scenario) keepsRunning() bool { return !s.has(drain) && !s.has(shutdown) && !s.has(kill) }

func (s *scenario) has(kind scenarioEventKind) bool {
	return slices.ContainsFunc(s.events, func(e scenarioEvent) bool { return e.kind == kind })
}

// environment is a running proxy with its clients, endpoints and stores.
type environment struct {
	scenario  scenario
	network   *memoryNetwork
	proxy     *proxy.Proxy
	routes    atomic.Pointer[proxy.Routes]
	endpoints []*endpoint
	clients   []*client
	requests  map[string]*requestScript // by attempt ID
	stores    *fakeStores
	running   sync.WaitGroup

	mutex    sync.Mutex
	attempts []*endpointAttempt         // of all requests, in the order of their start
	unlisted map[int]bool               // endpoints that the selector doesn't choose, by number
	outcomes map[string][]proxy.Outcome // of the attempts of each request, by attempt ID
}

// runScenario runs a scenario and returns its environment, which has recorded what happened.
func runScenario(t *testing.T, s scenario) (env *environment) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env = newEnvironment(t, s)
		env.run(t)
	})
	return env
}

func newEnvironment(t *testing.T, s scenario) *environment {
	env := &environment{scenario: s, network: newMemoryNetwork(), requests: make(map[string]*requestScript), unlisted: make(map[int]bool),
		outcomes: make(map[string][]proxy.Outcome)}
	env.stores = &fakeStores{environment: env, attempted: make(map[string]bool), committed: make(map[string][]program.EndTurn)}
	for _, requests := range s.clients {
		env.clients = append(env.clients, &client{env: env, requests: requests})
		for _, request := range requests {
			env.requests[request.id] = request
		}
	}
	for i := range endpointCount {
		e := &endpoint{id: fmt.Sprint("e", i), address: fmt.Sprintf("10.0.1.%d:80", i+1), env: env}
		e.listener, _ = env.network.Listen(context.Background(), nil, "tcp4", e.address)
		env.endpoints = append(env.endpoints, e)
		env.running.Go(e.serve)
	}
	env.routes.Store(proxy.NewRoutes(configuration(1)))
	var err error
	env.proxy, err = proxy.New(proxy.Options{FrontAddress: frontAddress, ReadinessAddress: "10.0.0.1:81", Views: env, Programs: env.stores,
		Selector: env, Network: env.network})
	if err != nil {
		t.Fatal(err)
	}
	env.running.Go(func() { _ = env.proxy.Serve() })
	return env
}

// configuration returns a configuration with a route of each kind. Configurations with different numbers have different limits.
func configuration(number int) *model.Configuration {
	c := &model.Configuration{
		Version:  uint64(number),
		Services: []model.Service{{Name: "service", Protocol: "h1"}},
		Limits:   model.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: int64(2000 + number)},
	}
	for _, kind := range []routeKind{safeRoute, onceRoute, streamRoute, resumeRoute, turnRoute, resumeTurnRoute} {
		route := model.Route{Name: string(kind), Host: "a.example", PathPrefix: "/" + string(kind) + "/", Service: "service", MaxAttempts: kind.maxAttempts(),
			TimeoutMs: 3000, LatencyTargetMs: 200, Resumable: kind.resumable(), Stateful: kind.stateful(), RetentionS: 60}
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

// run runs the clients and events to their end, and then stops the proxy and the endpoints.
func (env *environment) run(t *testing.T) {
	var clients sync.WaitGroup
	for _, c := range env.clients {
		clients.Go(c.run)
	}
	for _, event := range env.scenario.events {
		clients.Go(func() {
			time.Sleep(event.at)
			env.apply(t, event)
		})
	}
	clients.Wait()
	time.Sleep(cooldown)
	env.shutdownProxy(t)
	for _, e := range env.endpoints {
		e.listener.Close()
	}
	synctest.Wait()
	for _, e := range env.endpoints {
		for _, conn := range e.connections() {
			conn.Close()
		}
	}
	env.running.Wait()
}

func (env *environment) apply(t *testing.T, event scenarioEvent) {
	switch event.kind {
	case newConfiguration:
		env.routes.Store(proxy.NewRoutes(configuration(2 + event.endpoint)))
	case endpointUnlisted, endpointBack:
		env.mutex.Lock()
		defer env.mutex.Unlock()
		env.unlisted[event.endpoint] = event.kind == endpointUnlisted
	case drain:
		env.proxy.Drain()
	case shutdown:
		env.shutdownProxy(t)
	case crash:
		env.endpoints[event.endpoint].crash()
	case kill:
		env.network.kill()
	}
}

func (env *environment) shutdownProxy(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), cooldown)
	defer cancel()
	if err := env.proxy.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// attemptStarted records that an endpoint has received the head of a request. It returns nil if no client sent that request.
func (env *environment) attemptStarted(current endpointAttempt, header textproto.MIMEHeader) *endpointAttempt {
	current.request = env.requests[header.Get("X-Attempt-Id")]
	if current.request == nil {
		return nil
	}
	env.mutex.Lock()
	defer env.mutex.Unlock()
	for _, other := range env.attempts {
		if other.request == current.request {
			current.index++
		}
	}
	if current.script().fromFirstEvent {
		current.lastEvent = 0
	}
	env.attempts = append(env.attempts, &current)
	return &current
}

// responseWritten records that an endpoint has written all that its script lets it write of a response.
func (env *environment) responseWritten(current *endpointAttempt) {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	current.written = true
}

// attemptEnded records that an endpoint has nothing more to do for a request.
func (env *environment) attemptEnded(current *endpointAttempt) {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	if current.done.IsZero() {
		current.done = time.Now()
	}
}

// Routes implements proxy.Views.
func (env *environment) Routes() *proxy.Routes { return env.routes.Load() }

// Ready implements proxy.Views.
func (env *environment) Ready() bool { return true }

// Select implements proxy.Selector: a request tries the listed endpoints in turn, from firstEndpoint on.
func (env *environment) Select(_ context.Context, facts *proxy.RequestInfo) (proxy.Selection, error) {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	for i := range endpointCount {
		number := (firstEndpoint(facts.AttemptID) + i) % endpointCount
		e := env.endpoints[number]
		if env.unlisted[number] || slices.Contains(facts.Excluded, e.id) {
			continue
		}
		choice := proxy.Selection{ID: e.id, Address: e.address, MaxConnections: env.scenario.maxConnections, Ticket: facts.AttemptID}
		if request := env.requests[facts.AttemptID]; request != nil && request.route.retryable() {
			choice.Timeout = request.attemptTimeout
		}
		return choice, nil
	}
	return proxy.Selection{}, &proxy.RejectionError{RetryAfter: 100 * time.Millisecond}
}

// firstEndpoint returns the number of the endpoint to which a request is sent first.
func firstEndpoint(id string) int {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return int(hash.Sum32() % endpointCount)
}

// FirstEvent implements proxy.Selector.
func (env *environment) FirstEvent(proxy.Selection, string) {}

// Done implements proxy.Selector.
func (env *environment) Done(selection proxy.Selection, outcome proxy.Outcome) {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	id, _ := selection.Ticket.(string)
	env.outcomes[id] = append(env.outcomes[id], outcome)
}
