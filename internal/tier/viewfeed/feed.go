// Package viewfeed keeps a proxy's view: it takes what the agent on the same machine sends, and goes on with the last it was
// given while the agent is away.
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

// Pauses between tries to reach the agent.
const (
	firstPause = 20 * time.Millisecond
	mostPause  = 250 * time.Millisecond
)

// Endpoints takes over what the list and the roll-outs say of endpoints.
type Endpoints interface {
	SetEndpoints(endpoints []model.Endpoint)
	SetVersions(versions []view.ServiceVersions)
}

// Feed holds a proxy's view. It implements proxy.Views.
type Feed struct {
	address   string // of the agent's link
	pool      *transport.Pool
	programs  *programclient.Client
	endpoints Endpoints
	logger    log.Logger

	digest view.Digest // used by Run only
	routes atomic.Pointer[proxy.Routes]
	listed atomic.Bool
}

// New returns a feed that knows nothing yet.
func New(address string, pool *transport.Pool, programs *programclient.Client, endpoints Endpoints, logger log.Logger) *Feed {
	return &Feed{address: address, pool: pool, programs: programs, endpoints: endpoints, logger: logger, digest: view.Digest{}}
}

// Routes implements proxy.Views.
func (f *Feed) Routes() *proxy.Routes { return f.routes.Load() }

// Ready implements proxy.Views. A way to the stores is needed only where turns are remembered.
func (f *Feed) Ready() bool {
	routes := f.routes.Load()
	return routes != nil && f.listed.Load() && (!routes.HasRememberedTurns || f.programs.HasPlacement())
}

// Run takes what the agent sends until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		request := wire.FetchRequest{Digest: f.digest}
		err := transport.Stream(ctx, f.pool, f.address, wire.MethodFeed, request, func(piece view.Update) error {
			pause = firstPause
			f.take(piece)
			return nil
		})
		level.Debug(f.logger).Log("msg", "feed ended", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, mostPause)
	}
}

// take takes a piece over, unless it is older than the one held.
func (f *Feed) take(piece view.Update) {
	if held, known := f.digest[piece.Section]; known && !held.Less(piece.Stamp) {
		return
	}
	if err := f.apply(piece); err != nil {
		level.Error(f.logger).Log("msg", "piece cannot be taken over", "section", piece.Section, "err", err)
		return
	}
	f.digest[piece.Section] = piece.Stamp
}

func (f *Feed) apply(piece view.Update) error {
	switch piece.Section {
	case view.ConfigurationSection:
		return f.configure(piece.Body)
	case view.EndpointsSection:
		var list view.EndpointList
		if err := json.Unmarshal(piece.Body, &list); err != nil {
			return err
		}
		f.endpoints.SetEndpoints(list.Endpoints)
		f.listed.Store(true)
	case view.RolloutsSection:
		var list view.RolloutList
		if err := json.Unmarshal(piece.Body, &list); err != nil {
			return err
		}
		f.endpoints.SetVersions(list.Services)
	case view.PlacementSection:
		var placement view.Placement
		if err := json.Unmarshal(piece.Body, &placement); err != nil {
			return err
		}
		f.programs.SetPlacement(&placement)
	}
	return nil
}

func (f *Feed) configure(body json.RawMessage) error {
	var config view.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return err
	}
	configuration, err := model.Decode(config.Raw)
	if err != nil {
		return err
	}
	if held := f.routes.Load(); held != nil && configuration.Version < held.Number {
		return fmt.Errorf("configuration %d is older than %d, which is in force", configuration.Version, held.Number)
	}
	f.routes.Store(proxy.NewRoutes(configuration))
	level.Info(f.logger).Log("msg", "configuration in force", "number", configuration.Version)
	return nil
}
