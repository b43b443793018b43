// Package platform implements the platform's own protocol as a front of the relay: towards clients (submit.go), endpoints (attempt.go) and
// discovery (watch.go, notices.go). It keeps no messages: it converts requests to engine.Message, attempts to calls of package httpwire,
// and answers to outcomes. Its methods may be called from any goroutine.
package platform

import (
	"sync/atomic"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/wire"
)

// Name is this front's name in the journal and in captures: it must not change.
const Name = "platform"

// PluginHeaders declares the headers that plug-ins must not set since the protocol uses them. Id, key and body are forwarded unchanged.
var PluginHeaders = rules.Front{Name: Name, Owned: []string{"Idempotency-Key", "Retry-After", "X-Envelope", "X-No-Slot", "X-Policy-Version", "X-Request-Id",
	"X-Retried", "X-Server-Load", "X-Timeout"}}

// Front is an engine.Front of the platform's protocol.
type Front struct {
	core      *engine.Core
	settings  *wire.Settings
	limits    *config.Limits
	discovery atomic.Pointer[string] // host and port of discovery
	pool      *httpwire.Pool
}

// New returns a front for core; the caller must add it by core.AddFront.
func New(cfg *config.Config, core *engine.Core) *Front {
	f := &Front{core: core, settings: &cfg.Settings, limits: &cfg.Limits, pool: httpwire.NewPool(&cfg.Limits)}
	f.discovery.Store(&cfg.Discovery)
	return f
}

// SetDiscovery changes the host and port of discovery. The watch and the notices move there at once.
func (f *Front) SetDiscovery(address string) {
	f.discovery.Store(&address)
	f.core.DiscoveryMoved(Name)
}

// NotifiesDeliveries implements engine.Front. It is false: the platform counts deliveries itself.
func (f *Front) NotifiesDeliveries() bool { return false }

// CloseIdle implements engine.Front.
func (f *Front) CloseIdle(to *engine.Destination) { f.pool.CloseIdle(peer(to)) }

// peer converts a destination to a peer of the pool, and nil to the zero Peer.
func peer(to *engine.Destination) httpwire.Peer {
	if to == nil {
		return httpwire.Peer{}
	}
	return httpwire.Peer{Name: to.Name, Address: to.Address}
}
