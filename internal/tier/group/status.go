package group

import (
	"slices"
	"time"

	"mastusher/internal/tier/replica"
)

// Status returns the member's last view of the group. A member whose iteration is overdue by an election timeout reports
// that it does not lead, also before it has found that out: its process or its disk does not get on, or did not until now.
// Nor does it name a leader that it has not heard for an election timeout: that one, or this member, is partitioned.
func (g *Group) Status() replica.Status {
	status := *g.status.Load()
	now := g.options.Clock()
	switch {
	case status.IsLeader && now-time.Duration(g.nextRunDue.Load()) > g.options.Replica.ElectionTimeout:
		status.Leader, status.IsLeader, status.CaughtUp = "", false, nil
	case status.Leader != status.ID && now-status.LeaderLastContact > g.options.Replica.ElectionTimeout:
		status.Leader = ""
	}
	return status
}

// publish makes the replica's present status visible.
func (g *Group) publish() { g.publishStatus(g.replica.Status()) }

func (g *Group) publishStatus(status replica.Status) {
	old := g.status.Swap(&status)
	if g.options.OnStatusChange == nil {
		return
	}
	if old == nil || statusChanged(old, &status) {
		g.options.OnStatusChange(status)
	}
}

// statusChanged tells whether a change of status is reported: of leader, term or members, not of progress.
func statusChanged(old, status *replica.Status) bool {
	return old.Leader != status.Leader || old.IsLeader != status.IsLeader || old.Term != status.Term ||
		!slices.Equal(old.Members, status.Members)
}

// hasOtherLeader tells whether another member is known to lead.
func (g *Group) hasOtherLeader() bool {
	status := g.Status()
	return status.Leader != "" && status.Leader != status.ID
}

// leaderAddress is the last known address of the leader; empty when it is not known.
func (g *Group) leaderAddress() string {
	status := g.Status()
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}
