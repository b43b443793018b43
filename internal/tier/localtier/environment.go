package localtier

import (
	"fmt"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/standin"
)

// Names in the operator's configuration.
const (
	Host      = "tier.example"
	TurnPath  = "/turns/a"
	ToolPath  = "/tools/a"
	ModelName = "m"

	modelService = "engines"
	toolService  = "tools"
	version      = "v1"
)

// Numbers, capacities and speed of the endpoints.
const (
	modelServers   = 2
	toolServers    = 2
	batch          = 16
	toolCapacity   = 8
	cacheTokens    = 1 << 20
	TokensPerEvent = 3
	eventGap       = 2 * time.Millisecond
	toolWork       = 5 * time.Millisecond
	maxConnections = 200
)

// Environment simulates the surroundings of a tier: the platform that lists the endpoints, and the endpoints, which share a run log.
type Environment struct {
	Platform *standin.Platform
	RunLog   *standin.RunLog
	closers  []func()
}

// StartEnvironment starts the platform, the model servers and the tool servers, which run until Close.
func StartEnvironment() (*Environment, error) {
	platform, err := standin.NewPlatform(standin.PlatformOptions{})
	if err != nil {
		return nil, err
	}
	env := &Environment{Platform: platform, RunLog: standin.NewRunLog(), closers: []func(){platform.Close}}
	for number := range modelServers {
		if err := env.addEngine(fmt.Sprintf("engine-%d", number+1)); err != nil {
			env.Close()
			return nil, err
		}
	}
	for number := range toolServers {
		if err := env.addTool(fmt.Sprintf("tool-%d", number+1)); err != nil {
			env.Close()
			return nil, err
		}
	}
	return env, nil
}

// options returns the options that all endpoints share.
func (e *Environment) options(id, service string, capacity int) standin.EndpointOptions {
	return standin.EndpointOptions{ID: id, Service: service, Zone: zone, Version: version, Capacity: capacity, Queue: capacity,
		ReportLoad: true, RunLog: e.RunLog}
}

// addEngine starts a model server and adds it to the platform's list. Close stops it.
func (e *Environment) addEngine(id string) error {
	engine, err := standin.NewEngine(standin.EngineOptions{EndpointOptions: e.options(id, modelService, batch),
		Models: []string{ModelName}, WeightsVersion: 1, CacheTokens: cacheTokens, TokensPerEvent: TokensPerEvent, EventInterval: eventGap})
	if err != nil {
		return err
	}
	e.closers = append(e.closers, engine.Close)
	e.Platform.PutEntry(standin.Entry{Endpoint: engine.Entry(), Phase: "both",
		Models: []standin.ReportModel{{Name: ModelName, Number: 1, Adapters: []string{}}}})
	return nil
}

// addTool starts a tool server and adds it to the platform's list. Close stops it.
func (e *Environment) addTool(id string) error {
	tool, err := standin.NewPlain(standin.PlainOptions{EndpointOptions: e.options(id, toolService, toolCapacity), ServiceTime: toolWork})
	if err != nil {
		return err
	}
	e.closers = append(e.closers, tool.Close)
	e.Platform.Put(tool.Entry())
	return nil
}

// Close stops the platform and the endpoints and waits until their servers have ended. It may be called more than once.
func (e *Environment) Close() {
	for _, closeOne := range e.closers {
		closeOne()
	}
}

// Configuration returns a version of the operator's configuration: a route for turns, which can be continued within the
// retention time, a route for tools, and more routes if given.
func Configuration(number uint64, retention time.Duration, more ...model.Route) model.Configuration {
	routes := append([]model.Route{
		{Name: "turns", Host: Host, PathPrefix: "/turns/", Kind: model.Streaming, TimeoutMs: RequestTimeout.Milliseconds(), LatencyTargetMs: 500,
			Service: modelService, MaxAttempts: 2, Stateful: true, RetentionS: retention.Seconds(), Affinity: true, EventGapTargetMs: 250},
		ToolRoute("tools", "/tools/"),
	}, more...)
	return model.Configuration{
		Version: number,
		Routes:  routes,
		Services: []model.Service{
			{Name: modelService, HealthPath: "/health", MaxConnections: maxConnections, Protocol: "h1",
				Engine: &model.Engine{Capacity: batch, CacheTokens: cacheTokens, TokensPerEvent: TokensPerEvent, Models: []model.Model{{Name: ModelName}}}},
			{Name: toolService, HealthPath: "/health", MaxConnections: maxConnections, Protocol: "h1"},
		},
		Limits: model.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// ToolRoute returns a route to the tools, whose requests run at most once.
func ToolRoute(name, prefix string) model.Route {
	return model.Route{Name: name, Host: Host, PathPrefix: prefix, Kind: model.AtMostOnce, TimeoutMs: RequestTimeout.Milliseconds(), LatencyTargetMs: 300,
		Service: toolService, MaxAttempts: 2}
}
