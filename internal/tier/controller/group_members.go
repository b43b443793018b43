package controller

import (
	"slices"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
)

// desiredControllers returns the members that the configuration shard's group should have: lost members are replaced by running
// controllers. A member that responds to the leader isn't lost, whatever its membership state: right after a cold start, membership
// may not have discovered all of them yet. A lost member without a replacement stays.
func (r *Reconciler) desiredControllers(now time.Time, status replica.Status) []replica.Member {
	isLost := r.tracker.LostHosts(now, membership.Controller, hostsOf(status.Members))
	var members, lost []replica.Member
	for _, m := range status.Members {
		if m.ID != status.ID && isLost[m.ID] && !status.CaughtUp[m.ID] {
			lost = append(lost, m)
			continue
		}
		members = append(members, m)
	}
	members = r.dropSurplus(members, status.ID)
	for _, m := range r.tracker.Running(membership.Controller) {
		known := slices.ContainsFunc(members, func(o replica.Member) bool { return o.ID == m.ID })
		if len(members) < r.policy.Replicas && !known {
			members = append(members, replica.Member{ID: m.ID, Address: m.Address})
		}
	}
	// Of the lost members, those that were seen last stay: they are the most likely to return.
	slices.SortStableFunc(lost, func(a, b replica.Member) int {
		sinceA, _ := r.tracker.MissingSince(a.ID)
		sinceB, _ := r.tracker.MissingSince(b.ID)
		return sinceB.Compare(sinceA)
	})
	unfilled := max(0, min(r.policy.Replicas, len(status.Members))-len(members))
	return asVoters(append(members, lost[:min(unfilled, len(lost))]...))
}

// dropSurplus drops members beyond the replication factor. A successor that has been added replaces the member that has been
// missing for the longest time; if none is missing, the successor itself is dropped.
func (r *Reconciler) dropSurplus(members []replica.Member, self string) []replica.Member {
	for len(members) > r.policy.Replicas {
		at := r.surplusMember(members, self)
		if at < 0 {
			return members
		}
		members = slices.Delete(members, at, at+1)
	}
	return members
}

// surplusMember finds the member to be dropped first, other than this one: the one that has been missing for the longest time,
// else a learner. It returns -1 if there is neither.
func (r *Reconciler) surplusMember(members []replica.Member, self string) int {
	at := -1
	var earliest time.Time
	for i, m := range members {
		since, missing := r.tracker.MissingSince(m.ID)
		if missing && m.ID != self && (at < 0 || since.Before(earliest)) {
			at, earliest = i, since
		}
	}
	if at >= 0 {
		return at
	}
	return slices.IndexFunc(members, func(m replica.Member) bool { return m.Learner && m.ID != self })
}

// asVoters returns the members with each as a voter: that is the target, also for those that are still learners.
func asVoters(members []replica.Member) []replica.Member {
	for i := range members {
		members[i].Learner = false
	}
	return members
}

func hostsOf(members []replica.Member) []placement.Host {
	hosts := make([]placement.Host, len(members))
	for i, m := range members {
		hosts[i] = placement.Host{ID: m.ID, Address: m.Address}
	}
	return hosts
}
