package placement

import (
	"slices"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/view"
)

// When a host that is missing counts as lost.
const (
	lostTimeout     = 4 * time.Second  // after its death, or after the observations began if it was never seen
	replacedTimeout = time.Second      // the same, while a spare member runs that may replace it
	newcomerAge     = 10 * time.Second // a spare that was first seen this recently likely is the replacement: then a suspicion suffices
)

// Host is a member that hosts replicas, as its group or a placement names it.
type Host struct {
	ID      string
	Name    string // of the member; empty: its last known name
	Address string // host:port of its transport
}

// Lost returns the identities of the placement's replicas that are lost for good.
func (t *Tracker) Lost(now time.Time, shards []view.ShardPlacement) map[string]bool {
	var hosts []Host
	for _, shard := range shards {
		for _, r := range shard.Replicas {
			hosts = append(hosts, Host{ID: r.ID, Name: storeName(r.Node), Address: r.Address})
		}
	}
	return t.LostHosts(now, membership.Store, hosts)
}

// LostHosts returns the identities of the hosts of a role that are lost for good: their disk was wiped, since their machine runs
// under another identity, or nothing has been heard of them for lostTimeout. That takes just replacedTimeout while a spare member
// of the role runs, counted from the suspicion where the spare is a newcomer: repair must be complete before the next loss.
//
// Each spare replaces one host alone, the one that has been missing for the longest time: others may come back. A host that was
// found lost stays so until it is back, also once the spare has got replicas.
func (t *Tracker) LostHosts(now time.Time, role membership.Role, hosts []Host) map[string]bool {
	lost := map[string]bool{}
	var missing []Host
	for _, host := range distinct(hosts) {
		switch {
		case t.lost[host.ID] || t.isLost(now, host):
			lost[host.ID] = true
		case t.isMissing(host):
			missing = append(missing, host)
		}
	}
	for _, host := range t.replacedBySpares(now, t.spareMembers(role, hosts), len(lost), missing) {
		lost[host.ID], t.lost[host.ID] = true, true
	}
	return lost
}

// replacedBySpares returns those of the missing hosts that count as lost because a spare member is ready to replace each. taken
// is the number of spares that are needed for hosts that are lost anyway.
func (t *Tracker) replacedBySpares(now time.Time, spares []membership.Member, taken int, missing []Host) []Host {
	available := max(0, len(spares)-taken)
	t.sortByMissingSince(missing)
	missing = missing[:min(available, len(missing))]
	since := t.dead
	if slices.ContainsFunc(spares, func(m membership.Member) bool { return now.Sub(t.firstSeen[m.ID]) < newcomerAge }) {
		since = t.missing
	}
	return slices.DeleteFunc(missing, func(host Host) bool {
		start, known := since[t.nameOf(host)]
		return !known || now.Sub(start) < replacedTimeout
	})
}

// distinct returns each host once, in the order of their first occurrence.
func distinct(hosts []Host) []Host {
	var all []Host
	for _, host := range hosts {
		if !slices.ContainsFunc(all, func(h Host) bool { return h.ID == host.ID }) {
			all = append(all, host)
		}
	}
	return all
}

// nameOf is the member name of a host.
func (t *Tracker) nameOf(host Host) string {
	if host.Name == "" {
		return t.names[host.ID]
	}
	return host.Name
}

// isMissing reports whether a host is suspected, dead or has left.
func (t *Tracker) isMissing(host Host) bool {
	_, missing := t.missing[t.nameOf(host)]
	return missing
}

// sortByMissingSince sorts the hosts that have been missing for the longest time first.
func (t *Tracker) sortByMissingSince(hosts []Host) {
	slices.SortStableFunc(hosts, func(a, b Host) int {
		return t.missing[t.nameOf(a)].Compare(t.missing[t.nameOf(b)])
	})
}

// spareMembers lists the members of a role that run and host nothing.
func (t *Tracker) spareMembers(role membership.Role, hosts []Host) []membership.Member {
	return slices.DeleteFunc(t.Running(role), func(m membership.Member) bool {
		return slices.ContainsFunc(hosts, func(h Host) bool { return h.ID == m.ID })
	})
}

// isLost reports whether a host is certainly lost: wiped, or missing for lostTimeout.
func (t *Tracker) isLost(now time.Time, host Host) bool {
	if m := t.find(func(m *membership.Member) bool { return m.ID == host.ID }); m != nil {
		start, dead := t.dead[m.Name]
		return dead && now.Sub(start) >= lostTimeout
	}
	name := t.nameOf(host)
	replaced := t.find(func(m *membership.Member) bool {
		return m.Name == name || m.Address == host.Address && !m.DeadOrLeft()
	})
	return replaced != nil || now.Sub(t.observingSince) >= lostTimeout
}
