package localtier

import (
	"fmt"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/standin"
)

// Names of the configuration.
const (
	Host      = "tier.example"
	TurnPath  = "/turns/a"
	ToolPath  = "/tools/a"
	ModelName = "m"

	modelService = "engines"
	toolService  = "tools"
	version      = "v1"
)

// Sizes of the stand-ins.
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

// Environment is what surrounds a tier: the platform's list and the endpoints on it.
type Environment struct {
	Platform *standin.Platform
	RunLog   *standin.RunLog
	closers  []func()
}

// StartEnvironment starts the stand-ins.
func StartEnvironment() (*Environment, error) {
	platform, err := standin.NewPlatform(standin.PlatformOptions{})
	if err != nil {
		return nil, err
	}
	around := &Environment{Platform: platform, RunLog: standin.NewRunLog(), closers: []func(){platform.Close}}
	for number := range modelServers {
		if err := around.addEngine(fmt.Sprintf("engine-%d", number+1)); err != nil {
			around.Close()
			return nil, err
		}
	}
	for number := range toolServers {
		if err := around.addTool(fmt.Sprintf("tool-%d", number+1)); err != nil {
			around.Close()
			return nil, err
		}
	}
	return around, nil
}

func (s *Environment) options(id, service string, capacity int) standin.EndpointOptions {
	return standin.EndpointOptions{ID: id, Service: service, Zone: zone, Version: version, Capacity: capacity, Queue: capacity,
		ReportLoad: true, RunLog: s.RunLog}
}

func (s *Environment) addEngine(id string) error {
	engine, err := standin.NewEngine(standin.EngineOptions{EndpointOptions: s.options(id, modelService, batch),
		Models: []string{ModelName}, WeightsVersion: 1, CacheTokens: cacheTokens, TokensPerEvent: TokensPerEvent, EventInterval: eventGap})
	if err != nil {
		return err
	}
	s.closers = append(s.closers, engine.Close)
	s.Platform.PutEntry(standin.Entry{Endpoint: engine.Entry(), Phase: "both",
		Models: []standin.ReportModel{{Name: ModelName, Number: 1, Adapters: []string{}}}})
	return nil
}

func (s *Environment) addTool(id string) error {
	tool, err := standin.NewPlain(standin.PlainOptions{EndpointOptions: s.options(id, toolService, toolCapacity), ServiceTime: toolWork})
	if err != nil {
		return err
	}
	s.closers = append(s.closers, tool.Close)
	s.Platform.Put(tool.Entry())
	return nil
}

// Close ends the stand-ins.
func (s *Environment) Close() {
	for _, closeOne := range s.closers {
		closeOne()
	}
}

// Configuration gives a version of the operator's configuration, whose turns are kept for a time. It may have more routes.
func Configuration(number uint64, keepFor time.Duration, more ...model.Route) model.Configuration {
	routes := append([]model.Route{
		{Name: "turns", Host: Host, PathPrefix: "/turns/", Kind: model.Streaming, TimeoutMs: RequestTimeout.Milliseconds(), LatencyTargetMs: 500,
			Service: modelService, MaxAttempts: 2, Stateful: true, RetentionS: keepFor.Seconds(), Affinity: true, EventGapTargetMs: 250},
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

// ToolRoute is a route whose requests run at most once.
func ToolRoute(name, prefix string) model.Route {
	return model.Route{Name: name, Host: Host, PathPrefix: prefix, Kind: model.AtMostOnce, TimeoutMs: RequestTimeout.Milliseconds(), LatencyTargetMs: 300,
		Service: toolService, MaxAttempts: 2}
}
