package controller

import (
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
)

// GroupName is the name of the configuration shard's replica group.
const GroupName = "configuration"

// Timing of the configuration shard's group.
const (
	heartbeatInterval      = 120 * time.Millisecond
	electionTimeout        = 500 * time.Millisecond
	initialElectionTimeout = 120 * time.Millisecond // until this process has had contact with a leader for the first time
)

func (c *Controller) groupOptions() group.Options {
	return group.Options{
		Name:         GroupName,
		Disk:         c.options.Disk,
		StateMachine: lockedStateMachine{c},
		Logger:       c.options.Logger,
		Send:         c.options.SendMessage,
		Clock:        c.options.Clock,
		Replica: replica.Options{
			ID:                     c.options.ID,
			Address:                c.options.Address,
			InitialMembers:         c.options.Initial,
			HeartbeatInterval:      heartbeatInterval,
			ElectionTimeout:        electionTimeout,
			InitialElectionTimeout: initialElectionTimeout,
			Seed:                   c.options.Seed,
		},
		OnStatusChange: c.onGroupChange,
		RunBackground:  c.options.RunBackground,
	}
}

// onGroupChange reacts to a change of the group's status. A follower must not keep target members of its own: if it were elected, it
// would change the group towards an outdated target.
func (c *Controller) onGroupChange(status replica.Status) {
	level.Info(c.options.Logger).Log("msg", "group changed", "group", GroupName, "leader", status.Leader, "isLeader", status.IsLeader,
		"term", status.Term, "members", len(status.Members))
	c.countElection(status)
	if status.IsLeader || c.group == nil {
		return
	}
	c.membersMutex.Lock()
	defer c.membersMutex.Unlock()
	c.group.SetTargetMembers(status.Members)
}

// countElection counts each leader that this member learns of, once a term. Only the group's goroutine calls it.
func (c *Controller) countElection(status replica.Status) {
	if status.Leader == "" || status.Term == c.lastElectionTerm {
		return
	}
	c.lastElectionTerm = status.Term
	c.options.Metrics.CountElection()
}

// changeMembers sets the group's target members, if this member is still the leader.
func (c *Controller) changeMembers(members []replica.Member) {
	c.membersMutex.Lock()
	defer c.membersMutex.Unlock()
	if c.group.Status().IsLeader {
		c.group.SetTargetMembers(members)
	}
}

// lockedStateMachine wraps the controller's state machine for the group. It locks the mutex, since loops and handlers read the state too.
type lockedStateMachine struct{ controller *Controller }

// Apply implements group.StateMachine.
func (m lockedStateMachine) Apply(index uint64, command json.RawMessage) any {
	m.controller.mutex.Lock()
	defer m.controller.mutex.Unlock()
	result := m.controller.state.Apply(index, command)
	m.controller.updateDedupWindow()
	return result
}

// Snapshot implements group.StateMachine.
func (m lockedStateMachine) Snapshot() (json.RawMessage, error) {
	m.controller.mutex.Lock()
	defer m.controller.mutex.Unlock()
	return m.controller.state.Snapshot()
}

// Restore implements group.StateMachine.
func (m lockedStateMachine) Restore(state json.RawMessage) error {
	m.controller.mutex.Lock()
	defer m.controller.mutex.Unlock()
	err := m.controller.state.Restore(state)
	m.controller.updateDedupWindow()
	return err
}
