package controller

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// Pace of placement.
const (
	reconcileInterval = 250 * time.Millisecond
	drainingInterval  = 100 * time.Millisecond // the same, while a machine is being emptied
	queryTimeout      = 700 * time.Millisecond
)

// reconcileLoop keeps the members of all groups right while this member owns the configuration shard.
func (c *Controller) reconcileLoop(ctx context.Context) {
	timer := time.NewTimer(reconcileInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.reconcileNow:
		}
		timer.Reset(c.Reconcile(time.Now()))
	}
}

// triggerReconcile has the next round of placement begin at once.
func (c *Controller) triggerReconcile() {
	select {
	case c.reconcileNow <- struct{}{}:
	default:
	}
}

// Placement does one round of placement and tells when the next one is due. It never waits for the group or for a store.
func (c *Controller) Reconcile(now time.Time) time.Duration {
	plan := c.nextActions(now)
	if plan.GroupMembers != nil {
		c.changeMembers(plan.GroupMembers)
	}
	if len(plan.Commands) > 0 && c.proposing.CompareAndSwap(false, true) {
		c.proposeInOrder(plan.Commands)
	}
	for _, address := range plan.StoresToQuery {
		c.queryStore(now, address)
	}
	if len(plan.StoresToQuery) > 0 {
		return drainingInterval
	}
	return reconcileInterval
}

func (c *Controller) nextActions(now time.Time) Actions {
	status := c.group.Status()
	members := c.options.Fleet.Members()
	c.reconcilerMutex.Lock()
	defer c.reconcilerMutex.Unlock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reconciler.Reconcile(now, ObservedState{Group: status, Members: members, Committed: c.state})
}

// proposeInOrder proposes commands one after the other, and lets the next round propose again once all have an outcome.
func (c *Controller) proposeInOrder(commands []Command) {
	if len(commands) == 0 {
		c.proposing.Store(false)
		c.triggerReconcile()
		return
	}
	c.group.ProposeAsync(commands[0], func(_ any, err error) {
		if err != nil {
			c.proposing.Store(false)
			level.Warn(c.options.Logger).Log("msg", "placement was not agreed on", "err", err)
			return
		}
		c.logCommitted(commands[0])
		c.proposeInOrder(commands[1:])
	})
}

func (c *Controller) logCommitted(command Command) {
	switch {
	case command.Placement != nil:
		level.Info(c.options.Logger).Log("msg", "shards placed", "base", command.Placement.BaseIndex, "shards", len(command.Placement.Shards))
	case command.DecommissionDecision != nil:
		level.Info(c.options.Logger).Log("msg", "machine emptied", "machine", command.DecommissionDecision.Node)
	}
}

// queryStore has a store report on the groups that it owns.
func (c *Controller) queryStore(now time.Time, address string) {
	c.options.QueryStore(address, func(answer wire.ShardMembersResponse, err error) {
		if err != nil {
			level.Debug(c.options.Logger).Log("msg", "store doesn't report on its groups", "address", address, "err", err)
			return
		}
		c.reconcilerMutex.Lock()
		defer c.reconcilerMutex.Unlock()
		c.reconciler.RecordGroups(now, answer)
	})
}

// queryStoreOverTransport calls a store in a goroutine of its own.
func queryStoreOverTransport(pool *transport.Pool) func(address string, done func(wire.ShardMembersResponse, error)) {
	return func(address string, done func(wire.ShardMembersResponse, error)) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
			defer cancel()
			done(transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, address, wire.MethodShardMembers, wire.ShardMembersRequest{}))
		}()
	}
}
