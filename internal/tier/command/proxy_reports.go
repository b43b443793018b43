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

// Intervals of the exchanges of a proxy with its agent.
const (
	reportInterval  = 200 * time.Millisecond // between reports on versions that are being rolled out
	proxiesInterval = 2 * time.Second        // between queries for the number of proxies
)

// pollProxyCount tells the load balancer, until ctx ends, how many proxies there are: they share the connections that an endpoint accepts.
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

// reportVersionStats sends the agent the counts for versions that are being rolled out, until ctx ends.
func (p *process) reportVersionStats(ctx context.Context, counter *versionstats.Counter) {
	wait.Every(ctx, reportInterval, func() {
		if report, due := counter.Report(); due {
			// A lost report is replaced by the next one, since each has the counts since the start.
			_ = transport.Notify(p.pool, p.address(wire.AgentPort), wire.MethodVersionStats, report)
		}
	})
}
