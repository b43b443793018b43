package proxy

import (
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/network"
	"mastusher/internal/tier/upstream"
)

// Options are what a Proxy is built from.
type Options struct {
	FrontAddress         string // where clients connect
	ReadinessAddress     string // where the platform asks whether the proxy is ready
	Views                Views
	Programs             Programs
	Selector             Selector
	Upstream             upstream.Options
	Network              network.Network // nil: the system's
	MaxClientConnections int             // connections of clients at once; 0: no bound
	MaxOutage            time.Duration   // the longest outage; 0: none is too long
	Checks               *invariant.Counter
	Metrics              *metrics.Metrics // told beside readiness; nil: the proxy's own
	Logger               log.Logger       // of faults in the library or a handler, and of the phases of the end; nil: none
	Now                  func() time.Time // nil: the system's clock
}
