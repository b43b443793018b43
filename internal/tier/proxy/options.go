package proxy

import (
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/network"
	"mastusher/internal/tier/upstream"
)

// Options holds the settings and dependencies of a Proxy. Views, Programs and Selector are required.
type Options struct {
	FrontAddress     string // where clients connect, "host:port"
	ReadinessAddress string // where the platform queries readiness and metrics
	Views            Views
	Programs         Programs
	Selector         Selector
	Upstream         upstream.Options // of the connections to endpoints; its Network and Metrics are replaced by those below
	Network          network.Network  // nil: the system's network

	// MaxClientConnections limits the connections of clients; 0: unlimited. A connection over the limit is closed unread. A larger
	// value serves more clients, at the cost of memory and file descriptors.
	MaxClientConnections int
	// Memory bounds what the proxy holds on behalf of its clients; nil: unbounded.
	Memory *memorybudget.Budget
	// MaxOutage is how long the proxy may reject most requests for lack of a configuration or of an answer from the program stores
	// before this outage counts as a broken invariant in Checks; 0: never. A larger value reports fewer short outages, and long ones
	// later. Exceeding it is only counted and logged: requests are rejected as before.
	MaxOutage time.Duration
	Checks    *invariant.Counter // nil: outages are not counted

	Metrics *metrics.Metrics // served beside readiness; nil: New creates them
	Logger  log.Logger       // of errors in net/http or a handler, error responses and the phases of a shutdown; nil: none
	Now     func() time.Time // nil: the system's clock
}
