package command

import (
	"context"
	"strconv"
	"sync"

	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/programclient"
	"mastusher/internal/tier/proxy"
	"mastusher/internal/tier/upstream"
	"mastusher/internal/tier/versionstats"
	"mastusher/internal/tier/viewfeed"
	"mastusher/internal/tier/wire"
)

// File descriptors of a proxy. Those not available to clients are for endpoints and stores.
const (
	reservedFiles = 200 // reserved for files
	clientsShare  = 0.6 // share of the rest, for connections of clients
	minClients    = 64
)

// idleUpstreamDivisor gives the part of the memory limit that idle connections to endpoints may take.
const idleUpstreamDivisor = 16

// prefixCacheDivisor is the divisor by which the size of the cache for programs' chains follows from the memory limit.
const prefixCacheDivisor = 64

// runProxy runs the role until stopping ends, and then until the requests in flight have ended or the grace time is over. The feed of
// views and both report loops run until then, and have ended when runProxy returns.
func (p *process) runProxy(stopping context.Context) error {
	running, end := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer end()
	programs := programclient.New(p.pool, int(p.settings.Limits.MemoryMb<<20/prefixCacheDivisor))
	p.metrics.SetZoneLookup(func(host string) metrics.ZoneClass {
		if zone, known := programs.ZoneOf(host); known {
			return p.classOf(zone)
		}
		return metrics.UnknownZone
	})
	balancer := proxy.NewLoadBalancer(p.settings.Zone, p.seed)
	counter := versionstats.New(balancer, strconv.FormatUint(p.seed, 16))
	views := viewfeed.New(p.address(wire.AgentPort), p.pool, programs, counter, p.logger)
	background.Go(func() { views.Run(running) })
	background.Go(func() { p.reportVersionStats(running, counter) })
	background.Go(func() { p.pollProxyCount(running, balancer) })
	path, err := proxy.New(p.proxyOptions(views, programs, counter))
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	background.Go(func() { failed <- path.Serve() })
	select {
	case err := <-failed:
		return err
	case <-stopping.Done():
	}
	return shutdownProxy(running, path, p.settings.Bounds.GracePeriod())
}

// proxyOptions returns the options of the data path.
func (p *process) proxyOptions(views *viewfeed.Feed, programs *programclient.Client, counter *versionstats.Counter) proxy.Options {
	return proxy.Options{
		FrontAddress:         p.settings.ListenOn.FrontHTTP,
		ReadinessAddress:     p.settings.ListenOn.Readiness,
		Views:                views,
		Programs:             programs,
		Selector:             counter,
		Upstream:             upstream.Options{MaxIdle: maxIdleUpstream(p.settings.Limits.MemoryMb << 20)},
		Logger:               p.logger,
		Network:              p.env.Network,
		MaxClientConnections: maxClients(p.settings.Limits.OpenFiles),
		Memory:               p.memory,
		MaxOutage:            p.settings.Bounds.RecoveryWithin(),
		Checks:               p.invariants,
		Metrics:              p.metrics,
	}
}

// maxIdleUpstream returns the maximum number of idle connections to endpoints for a memory limit in bytes; 0: no limit.
func maxIdleUpstream(memoryLimit int64) int {
	return int(memoryLimit / idleUpstreamDivisor / upstream.IdleConnectionBytes)
}

// maxClients returns the maximum number of client connections for a limit of open files; 0: no limit.
func maxClients(openFiles int64) int {
	if openFiles <= 0 {
		return 0
	}
	return max(int(clientsShare*float64(openFiles-reservedFiles)), minClients)
}
