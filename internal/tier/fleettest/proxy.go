package fleettest

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// Pauses between tries to reach the agent, and bounds of a request.
const (
	feedFirstPause = 20 * time.Millisecond
	feedMostPause  = 250 * time.Millisecond
	requestTime    = 4 * time.Second // that a client waits
	beginPart      = 4
	mostTries      = 4 // endpoints that may turn a request away
	settleTry      = 2 * time.Second
	settleFor      = 30 * time.Second
	settlePause    = 50 * time.Millisecond
)

// proxy is the data path of an edge machine: its view, and the requests under way.
type proxy struct {
	process   *process
	agent     string // address
	digest    view.Digest
	config    *model.Configuration
	listed    bool
	endpoints []model.Endpoint
	programs  *programClient
	pause     time.Duration
	turn      int // for choosing endpoints in turn
}

func openProxy(agent string) func(p *process) (handler, error) {
	return func(p *process) (handler, error) {
		return &proxy{process: p, agent: agent, digest: view.Digest{}, programs: newProgramClient(p), pause: feedFirstPause}, nil
	}
}

func (p *proxy) begin() { p.connect() }

func (p *proxy) notice(string, any) {}

func (p *proxy) datagram(string, any) {}

// connect has the agent feed this proxy; it goes on with what it has while that fails.
func (p *proxy) connect() {
	p.network().call(p.process, p.agent, feedRequest{maps.Clone(p.digest)}, func(piece any) {
		p.pause = feedFirstPause
		p.take(piece.(view.Update))
	}, func(error) {
		p.process.after(p.pause, p.connect)
		p.pause = min(2*p.pause, feedMostPause)
	})
}

func (p *proxy) network() *network { return p.process.machine.fleet.network }

// take takes a piece over, unless it is older than the one held.
func (p *proxy) take(piece view.Update) {
	if held, known := p.digest[piece.Section]; known && !held.Less(piece.Stamp) {
		return
	}
	p.digest[piece.Section] = piece.Stamp
	if err := p.apply(piece); err != nil {
		p.process.machine.fleet.report("HARNESS", "piece cannot be read: %v", err)
	}
}

func (p *proxy) apply(piece view.Update) error {
	switch piece.Section {
	case view.ConfigurationSection:
		var config view.Config
		if err := json.Unmarshal(piece.Body, &config); err != nil {
			return err
		}
		p.config = &model.Configuration{}
		return json.Unmarshal(config.Raw, p.config)
	case view.EndpointsSection:
		var list view.EndpointList
		err := json.Unmarshal(piece.Body, &list)
		p.endpoints, p.listed = list.Endpoints, true
		return err
	case view.PlacementSection:
		var placed view.Placement
		err := json.Unmarshal(piece.Body, &placed)
		p.programs.placed = &placed
		return err
	}
	return nil
}

// ready tells whether the proxy has all that it needs.
func (p *proxy) ready() bool { return p.config != nil && p.listed && p.programs.isPlaced() }

// serve implements handler.
func (p *proxy) serve(call *exchange, request any) {
	switch asked := request.(type) {
	case readyRequest:
		call.finish(p.ready())
	case versionRequest:
		p.version(call)
	case clientRequest:
		p.request(call, asked)
	}
}

// version answers a request by which a client sees which configuration is in force here.
func (p *proxy) version(call *exchange) {
	if p.config == nil {
		call.finish(versionAnswer{})
		return
	}
	call.finish(versionAnswer{Incarnation: p.process.life, Content: contentOf(p.config)})
}

// choose picks the next ready endpoint of a service that has not been asked yet.
func (p *proxy) choose(service string, asked map[string]bool) (model.Endpoint, bool) {
	for range p.endpoints {
		p.turn++
		e := p.endpoints[p.turn%len(p.endpoints)]
		if e.Service == service && e.State == model.Ready && !asked[e.ID] {
			return e, true
		}
	}
	return model.Endpoint{}, false
}

// request takes a client's request.
func (p *proxy) request(call *exchange, asked clientRequest) {
	r := &proxyRequest{proxy: p, client: call, asked: asked, deadline: p.process.machine.fleet.loop.now + requestTime, turnedAway: map[string]bool{}}
	call.onCallerGone = r.clientGone
	if !p.ready() {
		r.refuse()
		return
	}
	if !asked.IsTurn {
		r.send()
		return
	}
	r.beginTurn()
}

// refuse says that the request has not run and never will.
func (r *proxyRequest) refuse() { r.answer(http.StatusServiceUnavailable) }
