package proxy

import (
	"context"
	"strconv"
	"testing"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
)

// fixture is a running proxy whose environment a test controls.
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

// newFixtureWith starts a proxy with options that a test changes.
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

// stop shuts the proxy down. When it returns, its requests have ended, except for those that take longer than five seconds.
func (f *fixture) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = f.proxy.Shutdown(ctx)
}

// newConfiguration returns a configuration with a route of each kind.
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
			route("resume-turn", model.Streaming, func(r *model.Route) { r.Stateful, r.RetentionS, r.Resumable, r.MaxAttempts = true, 60, true, 3 }),
		},
		Services: []model.Service{
			{Name: "plain", Protocol: "h1"},
			{Name: "engine", Protocol: "h1", Engine: &model.Engine{TokensPerEvent: 3}},
		},
		Limits: model.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// configurationWithLatencyTarget returns newConfiguration with a latency target in ms for all routes. The time for which requests may
// be queued grows with the target.
func configurationWithLatencyTarget(milliseconds int64) *model.Configuration {
	config := newConfiguration()
	for i := range config.Routes {
		config.Routes[i].LatencyTargetMs = milliseconds
	}
	return config
}
