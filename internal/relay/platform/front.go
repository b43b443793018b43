// Package platform is the front of the platform's own protocol, towards clients (submit.go), endpoints (attempt.go) and discovery
// (watch.go, notices.go). It holds no message: it turns requests into engine.Message and attempts into calls of package httpwire, and
// answers into outcomes. Its methods may be called from any goroutine.
package platform

import (
	"sync/atomic"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/wire"
)

// Name is this front's name in the journal.
const Name = "platform"

// Guard is what plug-ins may change here: headers that the protocol does not own. Id, key and body pass on as they
// came.
var Guard = rules.Front{Name: Name, Owned: []string{"Idempotency-Key", "Retry-After", "X-Envelope", "X-No-Slot", "X-Policy-Version", "X-Request-Id",
	"X-Retried", "X-Server-Load", "X-Timeout"}}

// Front speaks the platform's protocol.
type Front struct {
	core      *engine.Core
	settings  *wire.Settings
	limits    *config.Limits
	discovery atomic.Pointer[string] // its address
	pool      *httpwire.Pool
}

// New returns the front of core; it still has to be added to it.
func New(cfg *config.Config, core *engine.Core) *Front {
	f := &Front{core: core, settings: &cfg.Settings, limits: &cfg.Limits, pool: httpwire.NewPool(&cfg.Limits)}
	f.discovery.Store(&cfg.Discovery)
	return f
}

// SetDiscovery takes discovery to be at address from now on.
func (f *Front) SetDiscovery(address string) {
	f.discovery.Store(&address)
	f.core.DiscoveryMoved(Name)
}

// NotifiesDeliveries is false: the platform counts the deliveries itself.
func (f *Front) NotifiesDeliveries() bool { return false }

// CloseIdle closes idle connections.
func (f *Front) CloseIdle(to *engine.Destination) { f.pool.CloseIdle(peer(to)) }

func peer(to *engine.Destination) httpwire.Peer {
	if to == nil {
		return httpwire.Peer{}
	}
	return httpwire.Peer{Name: to.Name, Address: to.Address}
}
