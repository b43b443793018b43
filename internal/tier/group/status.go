package group

import (
	"slices"
	"time"

	"mastusher/internal/tier/replica"
)

// Status returns the member's latest view of the group. A leader whose iteration is overdue by more than an election timeout reports
// that it doesn't lead: its process or its disk is stalled, and another member may have been elected. A leader that this member
// hasn't heard from for longer than an election timeout is not reported: one of the two may be partitioned.
func (g *Group) Status() replica.Status {
	status := *g.status.Load()
	now := g.options.Clock()
	switch {
	case status.IsLeader && now-time.Duration(g.nextIterationDue.Load()) > g.options.Replica.ElectionTimeout:
		status.Leader, status.IsLeader, status.CaughtUp = "", false, nil
	case status.Leader != status.ID && now-status.LeaderLastContact > g.options.Replica.ElectionTimeout:
		status.Leader = ""
	}
	return status
}

// publish publishes the replica's current status.
func (g *Group) publish() { g.publishStatus(g.replica.Status()) }

// publishStatus makes a status visible to Status, and calls OnStatusChange if it is the first one or has changed.
func (g *Group) publishStatus(status replica.Status) {
	old := g.status.Swap(&status)
	if g.options.OnStatusChange == nil {
		return
	}
	if old == nil || statusChanged(old, &status) {
		g.options.OnStatusChange(status)
	}
}

// statusChanged reports whether leader, term or members differ. OnStatusChange is not called for mere progress of the log.
func statusChanged(old, status *replica.Status) bool {
	return old.Leader != status.Leader || old.IsLeader != status.IsLeader || old.Term != status.Term ||
		!slices.Equal(old.Members, status.Members)
}

// hasOtherLeader reports whether another member is known to be the leader.
func (g *Group) hasOtherLeader() bool {
	status := g.Status()
	return status.Leader != "" && status.Leader != status.ID
}

// leaderAddress returns the leader's address, or an empty string if the leader is unknown.
func (g *Group) leaderAddress() string {
	status := g.Status()
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}
