package controller

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/wire"
)

// Timing of reconciliation.
const (
	reconcileInterval = 250 * time.Millisecond
	drainingInterval  = 100 * time.Millisecond // instead, while stores are being queried for the status of their groups
)

// reconcileLoop reconciles the members of all groups with the desired state.
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

// triggerReconcile starts the next reconciliation at once.
func (c *Controller) triggerReconcile() {
	select {
	case c.reconcileNow <- struct{}{}:
	default:
	}
}

// Reconcile takes the actions that are due, and returns the time until the next call. It never waits for the group or for a
// store. On a follower it only observes membership.
func (c *Controller) Reconcile(now time.Time) time.Duration {
	c.updateContacts()
	actions := c.nextActions(now)
	if actions.GroupMembers != nil {
		c.changeMembers(actions.GroupMembers)
	}
	c.logUnmet(actions.Unmet)
	if len(actions.Commands) > 0 && c.proposing.CompareAndSwap(false, true) {
		c.proposeInOrder(actions.Commands)
	}
	for _, address := range actions.StoresToQuery {
		c.queryStore(now, address)
	}
	if len(actions.StoresToQuery) > 0 {
		return drainingInterval
	}
	return reconcileInterval
}

// updateContacts gives the group the addresses of the other controllers while it knows no leader: the members that its log names may
// all have been replaced while this controller was down. It ignores their membership state, as controlAddress does.
func (c *Controller) updateContacts() {
	if c.group.Status().Leader != "" {
		return
	}
	contacts := []replica.Member{}
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Controller && m.ID != c.options.ID {
			contacts = append(contacts, replica.Member{ID: m.ID, Address: m.Address})
		}
	}
	c.group.SetContacts(contacts)
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

// proposeInOrder proposes commands one after the other, up to the first failure. Then the next reconciliation may propose again.
func (c *Controller) proposeInOrder(commands []Command) {
	if len(commands) == 0 {
		c.proposing.Store(false)
		c.triggerReconcile()
		return
	}
	c.group.ProposeAsync(commands[0], func(_ any, err error) {
		if err != nil {
			c.proposing.Store(false)
			level.Warn(c.options.Logger).Log("msg", "placement proposal failed", "err", err)
			return
		}
		c.logCommitted(commands[0])
		c.proposeInOrder(commands[1:])
	})
}

// logUnmet logs a change of the losses that shards don't tolerate. Only the leader knows any.
func (c *Controller) logUnmet(unmet []placement.UnmetLoss) {
	texts := make([]string, len(unmet))
	for i := range unmet {
		texts[i] = unmet[i].String()
	}
	text := strings.Join(texts, "; ")
	if text == c.loggedUnmet {
		return
	}
	c.loggedUnmet = text
	level.Warn(c.options.Logger).Log("msg", "fault tolerance of shards changed", "unmet", text)
}

func (c *Controller) logCommitted(command Command) {
	switch {
	case command.Placement != nil:
		level.Info(c.options.Logger).Log("msg", "shards placed", "base", command.Placement.BaseIndex, "shards", len(command.Placement.Shards))
	case command.DecommissionDecision != nil:
		level.Info(c.options.Logger).Log("msg", "store drained", "node", command.DecommissionDecision.Node)
	}
}

// queryStore asks a store for the status of the groups that it leads.
func (c *Controller) queryStore(now time.Time, address string) {
	c.options.QueryStore(address, func(response wire.ShardMembersResponse, err error) {
		if err != nil {
			level.Debug(c.options.Logger).Log("msg", "querying store for group status failed", "peer", address, "err", err)
			return
		}
		c.reconcilerMutex.Lock()
		defer c.reconcilerMutex.Unlock()
		c.reconciler.RecordGroups(now, response)
	})
}
