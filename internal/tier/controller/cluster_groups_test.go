package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/view"
)

// leader returns the controller that leads the configuration shard, or nil.
func (c *cluster) leader() *testMachine {
	var leader *testMachine
	for _, m := range c.sorted() {
		if m.isReachable() && m.controller != nil && m.controller.Group().Status().IsLeader {
			if leader == nil || leader.controller.Group().Status().Term < m.controller.Group().Status().Term {
				leader = m
			}
		}
	}
	return leader
}

// propose proposes a command to the leader of the configuration shard until it is committed, and returns its result.
func (c *cluster) propose(command Command) any {
	c.t.Helper()
	var result any
	done := false
	c.until("the command is committed", 10*time.Second, func() bool {
		if leader := c.leader(); leader != nil && !done {
			leader.controller.Group().ProposeAsync(command, func(value any, err error) { result, done = value, err == nil })
			c.run(10 * clusterStep)
		}
		return done
	})
	return result
}

// decommission proposes to drain a machine, as the API does.
func (c *cluster) decommission(node string) any {
	c.t.Helper()
	c.until("a leader", 5*time.Second, func() bool { return c.leader() != nil })
	proposal, err := c.leader().controller.decommissionProposal(c.time(), node)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.propose(Command{Decommission: proposal})
}

func (c *cluster) decommissionState(node string) decommission.State {
	leader := c.leader()
	if leader == nil {
		return ""
	}
	operation, _ := leader.controller.state.decommissions.Operation(node)
	return operation.State
}

func (c *cluster) isFinished(node string) func() bool {
	return func() bool { return c.decommissionState(node) == decommission.Finished }
}

// placement returns the committed placement, as the leader has applied it.
func (c *cluster) placement() decommission.Placement {
	if leader := c.leader(); leader != nil {
		return leader.controller.state.Placement()
	}
	return decommission.Placement{}
}

// shardLeader returns the running member that leads a shard's group, and its machine.
func (c *cluster) shardLeader(shard int) (*testMachine, *group.Group) {
	var machine *testMachine
	var leader *group.Group
	for _, m := range c.sorted() {
		for _, g := range m.groups {
			if m.isReachable() && g.Name() == fmt.Sprintf("shard-%d", shard) && g.Status().IsLeader {
				if leader == nil || leader.Status().Term < g.Status().Term {
					machine, leader = m, g
				}
			}
		}
	}
	return machine, leader
}

// isComplete reports whether the members of each shard's group are those of the placement, and all are voters and caught up.
func (c *cluster) isComplete() bool {
	placed := c.placement()
	if placed.Index == 0 {
		return false
	}
	for shard, target := range placed.Shards {
		_, leader := c.shardLeader(shard)
		if leader == nil || !slices.Equal(slices.Sorted(slices.Values(idsOf(target.Replicas))), caughtUp(leader.Status())) {
			return false
		}
	}
	return true
}

func idsOf(replicas []view.Replica) []string {
	var ids []string
	for _, r := range replicas {
		ids = append(ids, r.ID)
	}
	return ids
}

// caughtUp lists the identities of a group's members if all of them are voters and have caught up, else none.
func caughtUp(status replica.Status) []string {
	var ids []string
	for _, m := range status.Members {
		if m.Learner || !status.CaughtUp[m.ID] {
			return nil
		}
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}

// awaitPlacement waits until the first placement is carried out.
func (c *cluster) awaitPlacement() {
	c.t.Helper()
	c.until("all groups are complete", 15*time.Second, c.isComplete)
}

// hosts reports whether the identity is a member of any shard's group as its leader sees it, or a group has no leader.
func (c *cluster) hosts(id string) bool {
	for shard := range c.placement().Shards {
		_, leader := c.shardLeader(shard)
		if leader == nil || slices.ContainsFunc(leader.Status().Members, func(m replica.Member) bool { return m.ID == id }) {
			return true
		}
	}
	return false
}

// beginTurn commits the start of a turn on a shard and returns the turn's name.
func (c *cluster) beginTurn(shard, number int) string {
	c.t.Helper()
	turn := program.BeginTurn{Turn: fmt.Sprintf("turn-%d-%d", shard, number), Program: "p", Budget: 1 << 40, MaxTokens: 10, AtMs: c.time().UnixMilli(),
		Remembered: true, KeepForS: 600, Input: []byte("input")}
	c.proposeToShard(shard, program.Command{Begin: &turn}, program.Accepted)
	return turn.Turn
}

// proposeToShard proposes a command to a shard's leader until it is committed, and checks its verdict.
func (c *cluster) proposeToShard(shard int, command program.Command, want program.Verdict) {
	c.t.Helper()
	done := false
	c.until(fmt.Sprintf("shard %d commits a command", shard), 10*time.Second, func() bool {
		if _, leader := c.shardLeader(shard); leader != nil && !done {
			leader.ProposeAsync(command, func(value any, err error) {
				if err != nil {
					return
				}
				done = true
				if got := value.(program.UnjoinedResult).Verdict; got != want {
					c.t.Errorf("shard %d: verdict %s, want %s", shard, got, want)
				}
			})
			c.run(10 * clusterStep)
		}
		return done
	})
}

// wantTurns checks that acknowledged turns are not lost: each can be ended.
func (c *cluster) wantTurns(turns map[string]int) {
	c.t.Helper()
	for _, turn := range slices.Sorted(maps.Keys(turns)) {
		c.proposeToShard(turns[turn], program.Command{End: &program.EndTurn{Turn: turn, Complete: true, Tokens: 1, AtMs: c.time().UnixMilli()}}, program.Accepted)
	}
}
