package command

import (
	"context"
	"strconv"
	"time"

	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/programclient"
	"mastusher/internal/tier/proxy"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/upstream"
	"mastusher/internal/tier/versionstats"
	"mastusher/internal/tier/viewfeed"
	"mastusher/internal/tier/wire"
)

// The end of a proxy: how long it still takes requests after it has said that it is not ready, until the platform, which asks
// each second, has missed it twice, and the part of the grace time that this may take at most; the part of it after which
// the proxy stops waiting for the requests under way; and the time for the exit of its process, also on a busy machine.
const (
	drainTime = 2400 * time.Millisecond
	drainPart = 0.4
	stopPart  = 0.92
	exitTime  = 100 * time.Millisecond
)

// reportInterval is the pace at which a proxy tells what it has seen of a version that is being rolled out.
const reportInterval = 200 * time.Millisecond

// proxiesInterval is the pace at which a proxy asks its agent for the number of proxies.
const proxiesInterval = 2 * time.Second

// The use of descriptors: those for files, and the part of the rest that clients may take.
const (
	reservedFiles = 200
	clientsPart   = 0.6
	leastClients  = 64
)

// chainsPart is the part of the process's memory, one in so many, that what programs have said lately may take.
const chainsPart = 64

// runProxy runs the role until stopping ends, and then until what is under way has ended.
func (p *process) runProxy(stopping context.Context) error {
	running, end := context.WithCancel(context.Background())
	defer end()
	programs := programclient.New(p.pool, int(p.settings.Limits.MemoryMb<<20/chainsPart))
	p.metrics.SetZoneLookup(func(host string) metrics.ZoneClass {
		if zone, known := programs.ZoneOf(host); known {
			return p.classOf(zone)
		}
		return metrics.UnknownZone
	})
	places := proxy.NewLoadBalancer(p.settings.Zone, p.seed)
	scheduler := versionstats.New(places, strconv.FormatUint(p.seed, 16))
	views := viewfeed.New(p.address(wire.AgentPort), p.pool, programs, scheduler, p.logger)
	go views.Run(running)
	go p.reportTallies(running, scheduler)
	go p.followProxies(running, places)
	carrier, err := proxy.New(proxy.Options{FrontAddress: p.settings.ListenOn.FrontHTTP, ReadinessAddress: p.settings.ListenOn.Readiness,
		Views: views, Programs: programs, Selector: scheduler, Upstream: upstream.Options{}, Logger: p.logger, Network: p.around.Network,
		MaxClientConnections: mostClients(p.settings.Limits.OpenFiles), MaxOutage: p.settings.Bounds.Recovery(), Checks: p.checks, Metrics: p.metrics})
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- carrier.Serve() }()
	select {
	case err := <-failed:
		return err
	case <-stopping.Done():
	}
	return endProxy(running, carrier, p.settings.Bounds.Grace())
}

// drainer is a data path that can be ended.
type drainer interface {
	Drain()
	Shutdown(ctx context.Context) error
}

// endProxy ends a data path within the grace time. At once it says that it isn't ready; it takes requests until the platform has
// noticed, and waits for those under way.
func endProxy(ctx context.Context, carrier drainer, grace time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, waitFor(grace))
	defer cancel()
	carrier.Drain()
	time.Sleep(drainFor(grace))
	return carrier.Shutdown(bounded)
}

// drainFor returns how long a proxy with that grace time still takes requests after SIGTERM.
func drainFor(grace time.Duration) time.Duration { return min(drainTime, part(grace, drainPart)) }

// waitFor returns how long after SIGTERM a proxy with that grace time stops waiting for the requests under way. What it still
// says to those that are left, and the exit of its process, are to be within the grace time, too.
func waitFor(grace time.Duration) time.Duration {
	return min(part(grace, stopPart), grace-proxy.ShutdownGracePeriod-exitTime)
}

// mostClients returns how many connections of clients a proxy takes: the other descriptors are for endpoints, stores and
// files. 0: no bound.
func mostClients(openFiles int64) int {
	if openFiles <= 0 {
		return 0
	}
	return max(int(clientsPart*float64(openFiles-reservedFiles)), leastClients)
}

// followProxies keeps the scheduler told of how many proxies share the connections that an endpoint takes, until ctx ends.
func (p *process) followProxies(ctx context.Context, scheduler *proxy.LoadBalancer) {
	repeat(ctx, proxiesInterval, func() {
		bounded, cancel := context.WithTimeout(ctx, proxiesInterval)
		defer cancel()
		answer, err := transport.Call[wire.ProxiesRequest, wire.ProxiesResponse](bounded, p.pool, p.address(wire.AgentPort), wire.MethodProxies,
			wire.ProxiesRequest{})
		if err == nil && answer.Count > 0 {
			scheduler.SetProxies(answer.Count)
		}
	})
}

// reportTallies tells the agent what was seen of the versions that are being rolled out, until ctx ends.
func (p *process) reportTallies(ctx context.Context, counter *versionstats.Counter) {
	repeat(ctx, reportInterval, func() {
		if report, due := counter.Report(); due {
			// A report that is lost is made good by the next one: all tell the counts since the start.
			_ = transport.Notify(p.pool, p.address(wire.AgentPort), wire.MethodVersionStats, report)
		}
	})
}

// repeat runs a function at each end of an interval, until ctx ends.
func repeat(ctx context.Context, interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run()
		}
	}
}
