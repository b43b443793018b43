package command

import (
	"context"
	"time"

	"mastusher/internal/tier/proxy"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/versionstats"
	"mastusher/internal/tier/wait"
	"mastusher/internal/tier/wire"
)

// Intervals of what a proxy exchanges with its agent.
const (
	reportInterval  = 200 * time.Millisecond // of reports on versions that are being rolled out
	proxiesInterval = 2 * time.Second        // of queries for the number of proxies
)

// pollProxyCount keeps the balancer informed of how many proxies share the connections that an endpoint accepts, until ctx ends.
func (p *process) pollProxyCount(ctx context.Context, balancer *proxy.LoadBalancer) {
	wait.Every(ctx, proxiesInterval, func() {
		bounded, cancel := context.WithTimeout(ctx, proxiesInterval)
		defer cancel()
		response, err := transport.Call[wire.ProxiesRequest, wire.ProxiesResponse](bounded, p.pool, p.address(wire.AgentPort), wire.MethodProxies,
			wire.ProxiesRequest{})
		if err == nil && response.Count > 0 {
			balancer.SetProxies(response.Count)
		}
	})
}

// reportVersionStats sends the agent the counts of versions that are being rolled out, until ctx ends.
func (p *process) reportVersionStats(ctx context.Context, counter *versionstats.Counter) {
	wait.Every(ctx, reportInterval, func() {
		if report, due := counter.Report(); due {
			// A report that is lost is replaced by the next one: each has the counts since the start.
			_ = transport.Notify(p.pool, p.address(wire.AgentPort), wire.MethodVersionStats, report)
		}
	})
}
