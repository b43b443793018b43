package fleettest

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// Backoff of connections to the agent, and limits of a request.
const (
	feedInitialBackoff   = 20 * time.Millisecond
	feedMaxBackoff       = 250 * time.Millisecond
	requestTimeout       = 4 * time.Second // for which a client waits
	beginTimeoutDivisor  = 4               // the stores must begin a turn within requestTimeout divided by this
	maxAttempts          = 4               // endpoints that may reject a request
	commitAttemptTimeout = 2 * time.Second
	commitTimeout        = 30 * time.Second
	commitBackoff        = 50 * time.Millisecond
)

// proxy is the data path of an edge machine: it holds the view and handles requests.
type proxy struct {
	process      *process
	agent        string      // address of the agent
	digest       view.Digest // of the updates received
	config       *model.Configuration
	listReceived bool // the endpoint list has been received
	endpoints    []model.Endpoint
	programs     *programClient
	backoff      time.Duration
	lastEndpoint int // index of the endpoint chosen last, for round robin
}

func openProxy(agent string) func(p *process) (handler, error) {
	return func(p *process) (handler, error) {
		return &proxy{process: p, agent: agent, digest: view.Digest{}, programs: newProgramClient(p), backoff: feedInitialBackoff}, nil
	}
}

func (p *proxy) begin() { p.connect() }

func (p *proxy) handleMessage(string, any) {}

func (p *proxy) handleDatagram(string, any) {}

// connect subscribes to the agent's updates, with retries. Meanwhile the proxy keeps its view.
func (p *proxy) connect() {
	p.network().call(p.process, p.agent, feedRequest{maps.Clone(p.digest)}, func(response any) {
		p.backoff = feedInitialBackoff
		p.receive(response.(view.Update))
	}, func(error) {
		p.process.after(p.backoff, p.connect)
		p.backoff = min(2*p.backoff, feedMaxBackoff)
	})
}

func (p *proxy) network() *network { return p.process.machine.fleet.network }

// receive applies an update, unless it is not newer than the current one.
func (p *proxy) receive(update view.Update) {
	if current, known := p.digest[update.Section]; known && !current.Less(update.Stamp) {
		return
	}
	p.digest[update.Section] = update.Stamp
	if err := p.apply(update); err != nil {
		p.process.machine.fleet.report("HARNESS", "update cannot be decoded: %v", err)
	}
}

func (p *proxy) apply(update view.Update) error {
	switch update.Section {
	case view.ConfigurationSection:
		var config view.Config
		if err := json.Unmarshal(update.Body, &config); err != nil {
			return err
		}
		p.config = &model.Configuration{}
		return json.Unmarshal(config.Raw, p.config)
	case view.EndpointsSection:
		var list view.EndpointList
		err := json.Unmarshal(update.Body, &list)
		p.endpoints, p.listReceived = list.Endpoints, true
		return err
	case view.PlacementSection:
		var placed view.Placement
		err := json.Unmarshal(update.Body, &placed)
		p.programs.placed = &placed
		return err
	}
	return nil
}

// ready reports whether the proxy has received all that it needs to serve.
func (p *proxy) ready() bool { return p.config != nil && p.listReceived && p.programs.isPlaced() }

// serve implements handler.
func (p *proxy) serve(call *exchange, request any) {
	switch asked := request.(type) {
	case readyRequest:
		call.finish(p.ready())
	case versionRequest:
		p.answerVersion(call)
	case clientRequest:
		p.handleRequest(call, asked)
	}
}

// answerVersion answers which configuration is in force at the proxy.
func (p *proxy) answerVersion(call *exchange) {
	if p.config == nil {
		call.finish(versionAnswer{})
		return
	}
	call.finish(versionAnswer{Incarnation: p.process.incarnation, Content: contentOf(p.config)})
}

// selectEndpoint returns the next ready endpoint of a service, by round robin, that hasn't rejected the request.
func (p *proxy) selectEndpoint(service string, rejectedBy map[string]bool) (model.Endpoint, bool) {
	for range p.endpoints {
		p.lastEndpoint++
		e := p.endpoints[p.lastEndpoint%len(p.endpoints)]
		if e.Service == service && e.State == model.Ready && !rejectedBy[e.ID] {
			return e, true
		}
	}
	return model.Endpoint{}, false
}

// handleRequest handles a client's request.
func (p *proxy) handleRequest(call *exchange, asked clientRequest) {
	r := &proxyRequest{proxy: p, client: call, request: asked, deadline: p.process.machine.fleet.loop.Now() + requestTimeout, rejectedBy: map[string]bool{}}
	call.onCallerCanceled = r.clientCanceled
	if !p.ready() {
		r.reject()
		return
	}
	if !asked.IsTurn {
		r.send()
		return
	}
	r.beginTurn()
}

// reject answers 503, which says that the request has not run and never will.
func (r *proxyRequest) reject() { r.answer(http.StatusServiceUnavailable) }
