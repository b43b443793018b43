// Package viewfeed maintains a proxy's view: the configuration, the endpoints, the roll-outs and the placement of shards. A Feed
// streams updates from the agent on the same machine, and keeps the newest ones while the agent is unavailable.
//
// Package command runs one Feed in each proxy. Run applies updates in one goroutine; Routes and Ready are safe to call from
// any.
package viewfeed

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/programclient"
	"mastusher/internal/tier/proxy"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Backoff between attempts to reach the agent, doubled each time and reset by an update.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
)

// Endpoints receives the list of endpoints and the versions that roll-outs allow.
type Endpoints interface {
	SetEndpoints(endpoints []model.Endpoint)
	SetVersions(versions []view.ServiceVersions)
}

// Feed is a proxy's view. It implements proxy.Views.
type Feed struct {
	address   string // of the agent
	pool      *transport.Pool
	programs  *programclient.Client
	endpoints Endpoints
	logger    log.Logger

	digest       view.Digest // stamps of the current sections; used by Run only
	routes       atomic.Pointer[proxy.Routes]
	hasEndpoints atomic.Bool // a list of endpoints has been applied
}

// New returns a feed that has no section yet.
func New(address string, pool *transport.Pool, programs *programclient.Client, endpoints Endpoints, logger log.Logger) *Feed {
	return &Feed{address: address, pool: pool, programs: programs, endpoints: endpoints, logger: logger, digest: view.Digest{}}
}

// Routes implements proxy.Views.
func (f *Feed) Routes() *proxy.Routes { return f.routes.Load() }

// Ready implements proxy.Views. The placement is needed only where a route is stateful.
func (f *Feed) Ready() bool {
	routes := f.routes.Load()
	return routes != nil && f.hasEndpoints.Load() && (!routes.HasStatefulRoutes || f.programs.HasPlacement())
}

// Run applies the updates that the agent sends until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		request := wire.FetchRequest{Digest: f.digest}
		err := transport.Stream(ctx, f.pool, f.address, wire.MethodFeed, request, func(update view.Update) error {
			backoff = initialBackoff
			f.handle(update)
			return nil
		})
		level.Debug(f.logger).Log("msg", "feed ended", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// handle applies an update, unless it isn't newer than the current one.
func (f *Feed) handle(update view.Update) {
	if current, known := f.digest[update.Section]; known && !current.Less(update.Stamp) {
		return
	}
	if err := f.apply(update); err != nil {
		level.Error(f.logger).Log("msg", "applying update failed", "section", update.Section, "err", err)
		return
	}
	f.digest[update.Section] = update.Stamp
}

// apply decodes an update and applies it. Unknown sections are ignored.
func (f *Feed) apply(update view.Update) error {
	switch update.Section {
	case view.ConfigurationSection:
		return f.applyConfiguration(update.Body)
	case view.EndpointsSection:
		var list view.EndpointList
		if err := json.Unmarshal(update.Body, &list); err != nil {
			return err
		}
		f.endpoints.SetEndpoints(list.Endpoints)
		f.hasEndpoints.Store(true)
	case view.RolloutsSection:
		var list view.RolloutList
		if err := json.Unmarshal(update.Body, &list); err != nil {
			return err
		}
		f.endpoints.SetVersions(list.Services)
	case view.PlacementSection:
		var placement view.Placement
		if err := json.Unmarshal(update.Body, &placement); err != nil {
			return err
		}
		f.programs.SetPlacement(&placement)
	}
	return nil
}

// applyConfiguration replaces the routes. The configuration's number must not decrease, whatever the update's stamp.
func (f *Feed) applyConfiguration(body json.RawMessage) error {
	var config view.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return err
	}
	configuration, err := model.Decode(config.Raw)
	if err != nil {
		return err
	}
	if current := f.routes.Load(); current != nil && configuration.Version < current.ConfigurationVersion {
		return fmt.Errorf("configuration number %d is lower than number %d of the configuration in force", configuration.Version, current.ConfigurationVersion)
	}
	f.routes.Store(proxy.NewRoutes(configuration))
	level.Info(f.logger).Log("msg", "configuration in force", "number", configuration.Version)
	return nil
}
