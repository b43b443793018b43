package placement

import (
	"slices"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/view"
)

// How long a host must be missing to count as lost.
const (
	lostTimeout     = 4 * time.Second  // from its death, or from the start of the observations if it was never seen
	replacedTimeout = time.Second      // the same while a spare member runs that may replace it
	newcomerAge     = 10 * time.Second // a spare first seen less than this ago likely is the replacement: see replacedBySpares
)

// Host is a member that hosts replicas, as listed by its group or by a placement.
type Host struct {
	ID      string
	Name    string // member name; empty: the last known name of the ID
	Address string // host:port for calls of package transport
}

// Lost returns the identities of the placement's replicas that are permanently lost.
func (t *Tracker) Lost(now time.Time, shards []view.ShardPlacement) map[string]bool {
	var hosts []Host
	for _, shard := range shards {
		for _, r := range shard.Replicas {
			hosts = append(hosts, Host{ID: r.ID, Name: storeName(r.Node), Address: r.Address})
		}
	}
	return t.LostHosts(now, membership.Store, hosts)
}

// LostHosts returns the identities of the hosts of a role that are permanently lost. A host is lost if its disk was wiped, that is,
// its machine runs under another identity, or if it has been dead or unseen for lostTimeout. While a spare member of the role runs,
// replacedTimeout suffices, counted from the suspicion if a spare was first seen less than newcomerAge ago, since repair must be
// complete before the next loss.
//
// Each spare replaces only one host, the one that has been missing for the longest time: the others may come back. A host that was
// found lost stays lost until it comes back, even after the spare has got replicas.
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

// replacedBySpares returns the missing hosts that count as lost because a spare member can replace them. taken is the number of
// spares needed for hosts that are lost already. If a spare is younger than newcomerAge, replacedTimeout counts from the suspicion
// and not from the death.
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

// distinct returns the hosts without duplicate identities, in order of first occurrence.
func distinct(hosts []Host) []Host {
	var unique []Host
	for _, host := range hosts {
		if !slices.ContainsFunc(unique, func(h Host) bool { return h.ID == host.ID }) {
			unique = append(unique, host)
		}
	}
	return unique
}

// nameOf returns the member name of a host.
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

// sortByMissingSince sorts hosts, the one that has been missing for the longest time first.
func (t *Tracker) sortByMissingSince(hosts []Host) {
	slices.SortStableFunc(hosts, func(a, b Host) int {
		return t.missing[t.nameOf(a)].Compare(t.missing[t.nameOf(b)])
	})
}

// spareMembers lists the running members of a role that aren't among the hosts.
func (t *Tracker) spareMembers(role membership.Role, hosts []Host) []membership.Member {
	return slices.DeleteFunc(t.Running(role), func(m membership.Member) bool {
		return slices.ContainsFunc(hosts, func(h Host) bool { return h.ID == m.ID })
	})
}

// isLost reports whether a host is lost without regard to spares: wiped, or dead or unseen for lostTimeout.
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
