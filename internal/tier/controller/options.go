package controller

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/network"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Fleet gives the controller access to its process's membership and gossip.
type Fleet interface {
	// Members returns all known members, by name.
	Members() []membership.Member
	// Publish spreads an update by gossip, unless a newer update of the same section is known.
	Publish(update view.Update)
}

// EndpointReader reads the platform's complete list of endpoints.
type EndpointReader interface {
	// ReadAll returns the current list. A *platformlist.UnreachableError means that the platform didn't respond.
	ReadAll(ctx context.Context) ([]model.Endpoint, error)
}

// Options configures a controller. Fields without a default must be set.
type Options struct {
	ID       string // identity on its disk
	Address  string // host:port at which other processes reach its transport
	Settings *settings.Settings
	Initial  []replica.Member // members of the group at the first start of the whole system; empty at any other start
	Disk     storage.Disk
	Pool     *transport.Pool
	Fleet    Fleet
	Reader   EndpointReader
	Logger   log.Logger
	Seed     uint64 // of the randomized election time-outs

	// Calls to other processes, and the monotonic clock. Defaults: calls through Pool, and the time since Open. Tests that run
	// controllers in memory replace them.
	SendMessage func(address string, envelope group.Envelope)                                  // must not block
	QueryStore  func(address string, done func(response wire.ShardMembersResponse, err error)) // must not block
	Clock       func() time.Duration
	// RunBackground runs the writes of compactions concurrently with the group. Default: within the group's iterations.
	RunBackground func(work func())
	// QueryEndpoints has the controller at an address read the platform's endpoint list.
	QueryEndpoints func(ctx context.Context, address string) ([]model.Endpoint, error)

	// Memory bounds what the controller holds on behalf of those that call the operator's API; nil: unbounded.
	Memory *memorybudget.Budget

	Metrics *metrics.Metrics // served on the operator's port; default: the controller's own
	Network network.Network  // on which the operator's port listens; default: the system's
	Now     func() time.Time // time of day; default: time.Now
}

// withDefaults returns the options with defaults filled in.
func (o Options) withDefaults() Options {
	if o.SendMessage == nil {
		o.SendMessage = group.SendOver(o.Pool, wire.MethodReplica)
	}
	if o.QueryStore == nil {
		o.QueryStore = store.QueryMembers(o.Pool)
	}
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	if o.QueryEndpoints == nil {
		o.QueryEndpoints = queryEndpointsOverTransport(o.Pool)
	}
	return o
}
