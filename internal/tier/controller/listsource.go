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

// Times of an owner that doesn't reach the platform.
const (
	localRetryInterval = 10 * time.Second       // from one try to reach it to the next, while another controller reads in its place
	localRetryTimeout  = 700 * time.Millisecond // for such a try
	delegateGrace      = 300 * time.Millisecond // for the way of a delegate's answer, beside the time for its read
)

// listReader decides who makes the next read of the platform's list: the owner itself, or, while it doesn't reach the
// platform, another controller in its place. The owner alone publishes, whoever has read, and reads follow each other, so that
// neither the stamps nor the platform's rate depend on this choice.
type listReader struct {
	delegate      string    // address of the controller that is to read; empty: the owner
	delegateWorks bool      // the delegate's last read succeeded
	localRetryAt  time.Time // when the owner is to try again, while there is a delegate
	nextDelegate  int
}

// update returns the address of the controller that reads next, empty for the owner, and the time that it has.
func (s *listReader) next(now time.Time, others []string) (address string, timeout time.Duration) {
	if !slices.Contains(others, s.delegate) {
		s.delegate, s.delegateWorks = "", false
	}
	switch {
	case s.delegate == "":
		return "", listReadTimeout
	case !now.Before(s.localRetryAt):
		return "", localRetryTimeout
	}
	return s.delegate, listReadTimeout
}

// record takes in how a read went. Where the platform has answered the owner with a failure, it would answer others alike.
func (s *listReader) record(now time.Time, address string, others []string, err error) {
	var unreachable *platformlist.UnreachableError
	switch {
	case address != "" && err == nil:
		s.delegateWorks = true
	case address != "": // the owner is asked, and then the next controller
		s.delegateWorks, s.localRetryAt = false, now
	case errors.As(err, &unreachable) && !s.delegateWorks && len(others) > 0:
		s.delegate = others[s.nextDelegate%len(others)]
		s.nextDelegate++
		s.localRetryAt = now.Add(localRetryInterval)
	case errors.As(err, &unreachable):
		s.localRetryAt = now.Add(localRetryInterval)
	default:
		s.delegate, s.delegateWorks = "", false
	}
}

// readList reads the list once, here or through another controller.
func (c *Controller) readList(ctx context.Context, source *listReader) ([]model.Endpoint, error) {
	others := c.peerAddresses()
	address, timeout := source.next(time.Now(), others)
	endpoints, err := c.readListAt(ctx, address, timeout)
	before := source.delegate
	source.record(time.Now(), address, others, err)
	if source.delegate != before {
		level.Warn(c.options.Logger).Log("msg", "list of endpoints has another reader", "reader", source.delegate, "before", before)
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

// readListHere reads the list from the platform. One read at a time uses the reader.
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

// answerList reads the list for the owner of the group.
func (c *Controller) answerList(ctx context.Context, _ string, _ wire.EndpointsRequest) (wire.EndpointsResponse, error) {
	endpoints, err := c.readListHere(ctx, listReadTimeout)
	return wire.EndpointsResponse{Endpoints: endpoints}, err
}

// queryEndpointsOverTransport has another controller read the list.
func queryEndpointsOverTransport(pool *transport.Pool) func(ctx context.Context, address string) ([]model.Endpoint, error) {
	return func(ctx context.Context, address string) ([]model.Endpoint, error) {
		answer, err := transport.Call[wire.EndpointsRequest, wire.EndpointsResponse](ctx, pool, address, wire.MethodEndpoints, wire.EndpointsRequest{})
		return answer.Endpoints, err
	}
}

// peerAddresses lists the addresses of the controllers that run, apart from this one, by name.
func (c *Controller) peerAddresses() []string {
	var addresses []string
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Controller && m.State == membership.StateAlive && m.ID != c.options.ID {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
