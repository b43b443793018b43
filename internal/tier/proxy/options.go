package proxy

import (
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/network"
	"mastusher/internal/tier/upstream"
)

// Options are the settings and dependencies of a Proxy. Views, Programs and Selector are required.
type Options struct {
	FrontAddress     string // where clients connect, "host:port"
	ReadinessAddress string // where the platform asks for readiness and metrics
	Views            Views
	Programs         Programs
	Selector         Selector
	Upstream         upstream.Options // of the connections to endpoints; its Network is replaced by the one below
	Network          network.Network  // nil: the system's

	// MaxClientConnections bounds the connections of clients; 0: no bound. A connection over it is closed unread. A larger value
	// serves more clients and takes more memory and descriptors.
	MaxClientConnections int
	// MaxOutage is the time after which an outage counts as a broken invariant in Checks; 0: never. A larger value reports fewer
	// short outages, and long ones later. Above it requests are rejected as before: only the count and a log line come.
	MaxOutage time.Duration
	Checks    *invariant.Counter // nil: outages are counted nowhere

	Metrics *metrics.Metrics // served beside readiness; nil: the proxy's own
	Logger  log.Logger       // of faults in the library or a handler, and of the phases of a shutdown; nil: none
	Now     func() time.Time // nil: the system's clock
}
