package command

import (
	"context"
	"time"

	"mastusher/internal/tier/proxy"
)

// Shutdown of a proxy. After SIGTERM it reports that it is not ready, but still accepts requests until the platform, which checks readiness
// every second, has noticed twice. Then it waits for the requests in flight, and abandons those that remain.
const (
	drainTime       = 2400 * time.Millisecond
	drainShare      = 0.4                    // upper bound of drainTime, as a share of the grace time
	stopShare       = 0.92                   // of the grace time, after which it stops waiting for requests
	processExitTime = 100 * time.Millisecond // until the process has exited, also on a busy machine
)

// dataPath is the part of a proxy that shutdownProxy shuts down.
type dataPath interface {
	Drain()
	Shutdown(ctx context.Context) error
}

// shutdownProxy shuts a data path down within the grace time.
func shutdownProxy(ctx context.Context, path dataPath, grace time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, shutdownTimeout(grace))
	defer cancel()
	path.Drain()
	time.Sleep(drainDuration(grace))
	return path.Shutdown(bounded)
}

// drainDuration returns how long a proxy still accepts requests after SIGTERM.
func drainDuration(grace time.Duration) time.Duration {
	return min(drainTime, shareOf(grace, drainShare))
}

// shutdownTimeout returns how long after SIGTERM a proxy stops waiting for requests. Answering the requests that it abandons, and the exit
// of its process, must fit in the rest of the grace time.
func shutdownTimeout(grace time.Duration) time.Duration {
	return min(shareOf(grace, stopShare), grace-proxy.ShutdownGracePeriod-processExitTime)
}
