package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/platformlist"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// Timing of a leader that can't reach the platform.
const (
	localRetryInterval = 10 * time.Second       // between the leader's attempts to reach it, while a delegate reads in its place
	localRetryTimeout  = 700 * time.Millisecond // of such an attempt
	delegateGrace      = 300 * time.Millisecond // for the transport of a delegate's response, in addition to the time-out of its read
)

// listReader chooses the controller that reads the platform's endpoint list next: the leader itself, or another controller as its
// delegate while the leader can't reach the platform. Reads never overlap and only the leader publishes, so neither the stamps nor
// the rate of calls to the platform depend on the choice. Its zero value has no delegate.
type listReader struct {
	delegate      string    // address of the controller that reads for the leader; empty: none
	delegateWorks bool      // the delegate's last read succeeded
	localRetryAt  time.Time // when the leader's next attempt is due, while there is a delegate
	nextDelegate  int       // number of delegates chosen so far, to choose the peers in turn
}

// next returns the address of the controller that should read next, empty for the leader, and the time-out of the read.
func (r *listReader) next(now time.Time, peers []string) (address string, timeout time.Duration) {
	if !slices.Contains(peers, r.delegate) {
		r.delegate, r.delegateWorks = "", false
	}
	switch {
	case r.delegate == "":
		return "", listReadTimeout
	case !now.Before(r.localRetryAt):
		return "", localRetryTimeout
	}
	return r.delegate, listReadTimeout
}

// record records the outcome of a read. The leader chooses a delegate only if the platform is unreachable: an error response would
// be the same for any other controller.
func (r *listReader) record(now time.Time, address string, peers []string, err error) {
	var unreachable *platformlist.UnreachableError
	switch {
	case address != "" && err == nil:
		r.delegateWorks = true
	case address != "": // the leader reads next, and if it can't, another delegate
		r.delegateWorks, r.localRetryAt = false, now
	case errors.As(err, &unreachable) && !r.delegateWorks && len(peers) > 0:
		r.delegate = peers[r.nextDelegate%len(peers)]
		r.nextDelegate++
		r.localRetryAt = now.Add(localRetryInterval)
	case errors.As(err, &unreachable):
		r.localRetryAt = now.Add(localRetryInterval)
	default:
		r.delegate, r.delegateWorks = "", false
	}
}

// readList reads the list once, here or through a delegate.
func (c *Controller) readList(ctx context.Context, reader *listReader) ([]model.Endpoint, error) {
	peers := c.peerAddresses()
	address, timeout := reader.next(time.Now(), peers)
	endpoints, err := c.readListAt(ctx, address, timeout)
	previous := reader.delegate
	reader.record(time.Now(), address, peers, err)
	if reader.delegate != previous {
		level.Warn(c.options.Logger).Log("msg", "endpoint list reader changed", "reader", reader.delegate, "previous", previous)
	}
	return endpoints, err
}

func (c *Controller) readListAt(ctx context.Context, address string, timeout time.Duration) ([]model.Endpoint, error) {
	if address == "" {
		return c.readListHere(ctx, timeout)
	}
	bounded, cancel := context.WithTimeout(ctx, timeout+delegateGrace)
	defer cancel()
	return c.options.QueryEndpoints(bounded, address)
}

// readListHere reads the list from the platform. Reads of this process don't overlap.
func (c *Controller) readListHere(ctx context.Context, timeout time.Duration) ([]model.Endpoint, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case c.listReadSlot <- struct{}{}:
		defer func() { <-c.listReadSlot }()
		return c.options.Reader.ReadAll(bounded)
	case <-bounded.Done():
		return nil, bounded.Err()
	}
}

// handleListRequest reads the list as a delegate of the leader.
func (c *Controller) handleListRequest(ctx context.Context, _ string, _ wire.EndpointsRequest) (wire.EndpointsResponse, error) {
	endpoints, err := c.readListHere(ctx, listReadTimeout)
	return wire.EndpointsResponse{Endpoints: endpoints}, err
}

// queryEndpointsOverTransport returns a function that has another controller read the list, by a call through the pool.
func queryEndpointsOverTransport(pool *transport.Pool) func(ctx context.Context, address string) ([]model.Endpoint, error) {
	return func(ctx context.Context, address string) ([]model.Endpoint, error) {
		response, err := transport.Call[wire.EndpointsRequest, wire.EndpointsResponse](ctx, pool, address, wire.MethodEndpoints, wire.EndpointsRequest{})
		return response.Endpoints, err
	}
}

// peerAddresses lists the addresses of the other controllers that run, by name.
func (c *Controller) peerAddresses() []string {
	var addresses []string
	for _, m := range c.runningPeers() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// runningPeers lists the other controllers that run, by name.
func (c *Controller) runningPeers() []membership.Member {
	var peers []membership.Member
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Controller && m.State == membership.StateAlive && m.ID != c.options.ID {
			peers = append(peers, m)
		}
	}
	return peers
}
