package programclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wait"
	"mastusher/internal/tier/wire"
)

// Bounds of the attempts of a call. The call itself ends with its context.
const (
	attemptTimeout = 400 * time.Millisecond // timeout of one attempt at one store
	initialBackoff = 15 * time.Millisecond  // wait after all replicas were tried and none led the shard; doubles each time
	maxBackoff     = 120 * time.Millisecond
)

// callLeader tries the replicas of a shard until its leader responds or ctx ends. A follower's hint to the store that has just
// not responded isn't followed: the other replicas are tried first, as one of them may lead the shard by then.
func callLeader[Request, Response any](ctx context.Context, c *Client, shard int, method string, request Request) (Response, error) {
	var zero Response
	backoff := initialBackoff
	address, unresponsive := c.leader(shard), ""
	for attempt := 1; ; attempt++ {
		response, hint, err := callStore[Request, Response](ctx, c, address, method, request)
		if err == nil {
			c.setLeader(shard, address)
			return response, nil
		}
		if isUnanswered(err) && !errors.Is(ctx.Err(), context.Canceled) {
			unresponsive = address
			c.avoid(shard, address)
		}
		if ctx.Err() != nil {
			return zero, fmt.Errorf("shard %d: %w", shard, err)
		}
		if hint != "" && hint != address && hint != unresponsive {
			address = hint
		} else {
			address = c.nextReplica(shard, address)
		}
		if attempt%c.replicaCount(shard) != 0 {
			continue
		}
		if err := wait.Sleep(ctx, backoff); err != nil {
			return zero, fmt.Errorf("shard %d: %w", shard, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// callStore calls one store. If the store doesn't lead the shard, hint is the leader's address as far as the store knows it.
func callStore[Request, Response any](ctx context.Context, c *Client, address, method string, request Request) (response Response, hint string, err error) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err = transport.Call[Request, Response](attemptCtx, c.pool, address, method, request)
	var remote *transport.RemoteError
	if errors.As(err, &remote) && remote.Kind == wire.KindNotLeader {
		hint = remote.Message
	}
	return response, hint, err
}

// isUnanswered reports whether a store sent no response at all, not even an error.
func isUnanswered(err error) bool {
	var remote *transport.RemoteError
	return !errors.As(err, &remote)
}

func (c *Client) replicas(shard int) []view.Replica {
	p := c.placement.Load()
	if p == nil || shard >= len(p.Shards) {
		return nil
	}
	return p.Shards[shard].Replicas
}

// replicaCount returns the number of a shard's replicas, at least 1.
func (c *Client) replicaCount(shard int) int { return max(1, len(c.replicas(shard))) }

// leader returns the address to try first: the one that setLeader set, if a replica is still there, or else that of the first
// replica; empty if the shard has none.
func (c *Client) leader(shard int) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	replicas := c.replicas(shard)
	known := c.leaders[shard]
	for _, r := range replicas {
		if r.Address == known {
			return known
		}
	}
	if len(replicas) == 0 {
		return ""
	}
	return replicas[0].Address
}

// setLeader sets the address that the next call tries first.
func (c *Client) setLeader(shard int, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaders[shard] = address
}

// nextReplica returns the address of the replica listed after the one at address, or that of c.leader if none is at address.
func (c *Client) nextReplica(shard int, address string) string {
	replicas := c.replicas(shard)
	for i, r := range replicas {
		if r.Address == address {
			return replicas[(i+1)%len(replicas)].Address
		}
	}
	return c.leader(shard)
}

// avoid makes the next calls start at another store than the one at address, which didn't respond: a call whose deadline ends
// during its attempt at that store would never reach the others.
func (c *Client) avoid(shard int, address string) {
	if c.leader(shard) == address {
		c.setLeader(shard, c.nextReplica(shard, address))
	}
}
