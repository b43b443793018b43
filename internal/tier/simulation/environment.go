package simulation

import (
	"context"
	"fmt"
	"net"
	"time"

	"mastusher/internal/tier/network/memorynetwork"
	"mastusher/internal/tier/standin"
)

// Addresses of the platform, the operators and the clients, which are outside the tier.
const (
	platformAddress = "10.9.0.1"
	operatorAddress = "10.9.0.2"
	clientAddress   = "10.9.0.3"
)

// Properties of the endpoints and of the platform's list.
const (
	modelService        = "lm"
	toolService         = "tools"
	modelName           = "m"
	endpointsPerService = 3
	endpointCapacity    = 32
	tokensPerEvent      = 3
	cacheTokens         = 200_000
	prefillTime         = 30 * time.Millisecond
	eventInterval       = 15 * time.Millisecond
	toolServiceTime     = 20 * time.Millisecond
	maxConnections      = 200
	pageSize            = 4
)

// environment holds what is outside the tier: the platform's list, the endpoints, and the hosts of the operators and clients.
type environment struct {
	runLog     *standin.RunLog
	platform   *standin.Platform
	endpoints  []*endpoint
	operator   *memorynetwork.Process
	client     *memorynetwork.Process
	processes  []*memorynetwork.Process
	closeFuncs []func()
}

// endpoint is a simulated endpoint with the machine that it runs on.
type endpoint struct {
	id   string
	host *memorynetwork.Machine
}

func (f *Fleet) newEnvironment() (*environment, error) {
	environment := &environment{runLog: standin.NewRunLog()}
	environment.operator = f.network.Machine(operatorAddress).Start()
	environment.client = f.network.Machine(clientAddress).Start()
	environment.processes = append(environment.processes, environment.operator, environment.client)
	platform, err := standin.NewPlatform(standin.PlatformOptions{PageSize: pageSize, RatePerS: listRatePerS, Listen: environment.listen(f.network.Machine(platformAddress), platformPort)})
	if err != nil {
		return nil, err
	}
	environment.platform = platform
	environment.closeFuncs = append(environment.closeFuncs, platform.Close)
	for number := range 2 * endpointsPerService {
		if err := environment.addEndpoint(f, number); err != nil {
			return nil, err
		}
	}
	return environment, nil
}

// listen returns a function that opens a port on a machine.
func (e *environment) listen(host *memorynetwork.Machine, port int) func() (net.Listener, error) {
	process := host.Start()
	e.processes = append(e.processes, process)
	return func() (net.Listener, error) {
		return process.Listen(context.Background(), new(net.ListenConfig), "tcp4", fmt.Sprintf("%s:%d", host.Address(), port))
	}
}

// addEndpoint starts a model server if the number is even, else a plain endpoint, and lists it on the platform.
func (e *environment) addEndpoint(f *Fleet, number int) error {
	host := f.network.Machine(fmt.Sprintf("10.8.0.%d", number+1))
	options := standin.EndpointOptions{
		ID:             fmt.Sprintf("e-%d", number),
		Service:        toolService,
		Zone:           zoneName(number % f.options.Zones),
		Version:        "v1",
		Capacity:       endpointCapacity,
		Queue:          endpointCapacity,
		MaxConnections: maxConnections,
		RunLog:         e.runLog,
		Listen:         e.listen(host, endpointPort),
		Fault:          f.drawEndpointFault,
	}
	if number%2 == 0 {
		options.Service = modelService
		engine, err := standin.NewEngine(standin.EngineOptions{EndpointOptions: options, Models: []string{modelName}, CacheTokens: cacheTokens,
			TokensPerEvent: tokensPerEvent, Prefill: prefillTime, EventInterval: eventInterval})
		if err != nil {
			return err
		}
		e.platform.PutEntry(standin.Entry{Endpoint: engine.Entry(), Phase: "both", Models: []standin.ReportModel{{Name: modelName, Number: 1, Adapters: []string{}}}})
		e.closeFuncs = append(e.closeFuncs, engine.Close)
	} else {
		plain, err := standin.NewPlain(standin.PlainOptions{EndpointOptions: options, ServiceTime: toolServiceTime})
		if err != nil {
			return err
		}
		e.platform.Put(plain.Entry())
		e.closeFuncs = append(e.closeFuncs, plain.Close)
	}
	e.endpoints = append(e.endpoints, &endpoint{id: options.ID, host: host})
	return nil
}

// close ends the endpoints, the platform and the processes of operators and clients.
func (e *environment) close() {
	for _, closeFunc := range e.closeFuncs {
		closeFunc()
	}
	for _, process := range e.processes {
		process.Kill()
	}
}
