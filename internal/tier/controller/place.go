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
	placeInterval  = 250 * time.Millisecond
	retireInterval = 100 * time.Millisecond // the same, while a machine is being emptied
	askTimeout     = 700 * time.Millisecond
)

// placeLoop keeps the members of all groups right while this member owns the configuration shard.
func (c *Controller) placeLoop(ctx context.Context) {
	timer := time.NewTimer(placeInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.placeSoon:
		}
		timer.Reset(c.Place(time.Now()))
	}
}

// hurryPlace has the next round of placement begin at once.
func (c *Controller) hurryPlace() {
	select {
	case c.placeSoon <- struct{}{}:
	default:
	}
}

// Place does one round of placement and tells when the next one is due. It never waits for the group or for a store.
func (c *Controller) Place(now time.Time) time.Duration {
	plan := c.plan(now)
	if plan.Members != nil {
		c.change(plan.Members)
	}
	if len(plan.Commands) > 0 && c.placing.CompareAndSwap(false, true) {
		c.agreeOn(plan.Commands)
	}
	for _, address := range plan.Ask {
		c.ask(now, address)
	}
	if len(plan.Ask) > 0 {
		return retireInterval
	}
	return placeInterval
}

func (c *Controller) plan(now time.Time) Plan {
	status := c.group.Status()
	members := c.options.Fleet.Members()
	c.planMutex.Lock()
	defer c.planMutex.Unlock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.planner.Tick(now, Facts{Status: status, Members: members, Agreed: c.agree})
}

// agreeOn proposes commands one after the other, and lets the next round propose again once all have an outcome.
func (c *Controller) agreeOn(commands []Command) {
	if len(commands) == 0 {
		c.placing.Store(false)
		c.hurryPlace()
		return
	}
	c.group.ProposeAsync(commands[0], func(_ any, err error) {
		if err != nil {
			c.placing.Store(false)
			level.Warn(c.options.Logger).Log("msg", "placement was not agreed on", "err", err)
			return
		}
		c.logPlaced(commands[0])
		c.agreeOn(commands[1:])
	})
}

func (c *Controller) logPlaced(command Command) {
	switch {
	case command.Place != nil:
		level.Info(c.options.Logger).Log("msg", "shards placed", "base", command.Place.Base, "shards", len(command.Place.Shards))
	case command.Retired != nil:
		level.Info(c.options.Logger).Log("msg", "machine emptied", "machine", command.Retired.Node)
	}
}

// ask has a store report on the groups that it owns.
func (c *Controller) ask(now time.Time, address string) {
	c.options.Ask(address, func(answer wire.ShardMembersResponse, err error) {
		if err != nil {
			level.Debug(c.options.Logger).Log("msg", "store doesn't report on its groups", "address", address, "err", err)
			return
		}
		c.planMutex.Lock()
		defer c.planMutex.Unlock()
		c.planner.Report(now, answer)
	})
}

// askByLink calls a store in a goroutine of its own.
func askByLink(pool *transport.Pool) func(address string, done func(wire.ShardMembersResponse, error)) {
	return func(address string, done func(wire.ShardMembersResponse, error)) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			done(transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, address, wire.MethodShardMembers, wire.ShardMembersRequest{}))
		}()
	}
}
