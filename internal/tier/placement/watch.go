package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/view"
)

// Patience with members that are missing.
const (
	initialPlacementDelay = 1500 * time.Millisecond // from owning the group until the first placement, so that all stores are seen
	completeViewDelay     = 12 * time.Second        // the same, until the members on both sides of a cut have found each other again
	lostTimeout           = 4 * time.Second         // dead for so long, or never seen since the watch began: gone for good
	replacedTimeout       = time.Second             // the same, while a member without any replica runs: it may be its successor
	newcomerAge           = 10 * time.Second        // of such a member that is likely the successor: then a suspicion counts like a death
	maxObservationGap     = time.Second             // between two observations; after a longer one the watch begins anew
)

// Tracker remembers since when members have been dead, and since when this process has owned the configuration shard's group.
// It is told the time, which must not go back.
type Tracker struct {
	members         []membership.Member  // by name
	dead            map[string]time.Time // by name
	missing         map[string]time.Time // by name; those that are suspected, dead or have left
	firstSeen       map[string]time.Time // by identity, when it was first seen
	lost            map[string]bool      // by identity; those that were found to be lost and haven't come back
	names           map[string]string    // by identity, as last seen
	lastObservation time.Time            // observation
	observingSince  time.Time            // the watch has gone on without a pause
	leaderSince     time.Time            // zero: it doesn't own the group
	term            uint64               // that it owns
}

// NewTracker returns a watch that has seen nothing.
func NewTracker() *Tracker {
	return &Tracker{dead: map[string]time.Time{}, missing: map[string]time.Time{}, firstSeen: map[string]time.Time{},
		lost: map[string]bool{}, names: map[string]string{}}
}

// Observe takes in the members that are known now, and the epoch in which this process owns the group; 0 if it doesn't.
func (w *Tracker) Observe(now time.Time, members []membership.Member, ownedEpoch uint64) {
	w.resetAfterGap(now)
	w.members = members
	for _, m := range members {
		if m.Role != membership.Agent {
			w.observe(now, m)
		}
	}
	if ownedEpoch != w.term {
		w.term, w.leaderSince = ownedEpoch, now
	}
}

// resetAfterGap begins anew after a pause, in which members may have come back unseen.
func (w *Tracker) resetAfterGap(now time.Time) {
	if w.lastObservation.IsZero() || now.Sub(w.lastObservation) > maxObservationGap {
		w.observingSince, w.leaderSince = now, now
		clear(w.dead)
		clear(w.missing)
		clear(w.lost)
	}
	w.lastObservation = now
}

func (w *Tracker) observe(now time.Time, m membership.Member) {
	w.names[m.ID] = m.Name
	setSince(w.firstSeen, m.ID, now, true)
	setSince(w.dead, m.Name, now, m.DeadOrLeft())
	setSince(w.missing, m.Name, now, m.State != membership.StateAlive)
	if m.State == membership.StateAlive {
		delete(w.lost, m.ID)
	}
}

// setSince keeps since when something has held of a member.
func setSince(since map[string]time.Time, key string, now time.Time, holds bool) {
	switch _, known := since[key]; {
	case !holds:
		delete(since, key)
	case !known:
		since[key] = now
	}
}

// ReadyForInitial tells whether this process has owned the group for long enough to have heard of all stores.
func (w *Tracker) ReadyForInitial(now time.Time) bool {
	return w.term != 0 && now.Sub(w.leaderSince) >= initialPlacementDelay
}

// Host is a member that holds replicas, as its group or a placement names it.
type Host struct {
	ID      string
	Name    string // as a member; empty: as it was last seen
	Address string
}

// LostHosts tells which holders of that role are gone for good: their disk was wiped, since their machine runs with another
// identity, or nothing has been heard of them for long. That takes less long where a member of the role runs that holds nothing,
// and still less where one does that has come lately: it is to have what it needs before the next loss. Each such member
// stands in for one holder alone, the one that has been missing for the longest time: another may come back. Who was lost stays
// so until it is back, also when the member that held nothing now holds something.
func (w *Tracker) LostHosts(now time.Time, role membership.Role, holders []Host) map[string]bool {
	lost := map[string]bool{}
	var missing []Host
	for _, holder := range w.distinct(holders) {
		switch {
		case w.lost[holder.ID] || w.isLost(now, holder):
			lost[holder.ID] = true
		case w.isMissing(holder):
			missing = append(missing, holder)
		}
	}
	for _, holder := range w.replacedBySpares(now, w.spareMembers(role, holders), len(lost), missing) {
		lost[holder.ID], w.lost[holder.ID] = true, true
	}
	return lost
}

// replacedBySpares returns which of the missing holders count as lost since a spare member stands ready for each. So many spare members
// are taken by holders that are lost anyway.
func (w *Tracker) replacedBySpares(now time.Time, spare []membership.Member, taken int, missing []Host) []Host {
	successors := max(0, len(spare)-taken)
	w.sortByMissingSince(missing)
	missing = missing[:min(successors, len(missing))]
	since := w.dead
	if slices.ContainsFunc(spare, func(m membership.Member) bool { return now.Sub(w.firstSeen[m.ID]) < newcomerAge }) {
		since = w.missing
	}
	return slices.DeleteFunc(missing, func(holder Host) bool {
		begun, gone := since[w.nameOf(holder)]
		return !gone || now.Sub(begun) < replacedTimeout
	})
}

// distinct names each holder once.
func (w *Tracker) distinct(holders []Host) []Host {
	var all []Host
	for _, holder := range holders {
		if !slices.ContainsFunc(all, func(h Host) bool { return h.ID == holder.ID }) {
			all = append(all, holder)
		}
	}
	return all
}

// nameOf is the name under which a holder is a member.
func (w *Tracker) nameOf(holder Host) string {
	if holder.Name == "" {
		return w.names[holder.ID]
	}
	return holder.Name
}

// isMissing tells whether a holder is suspected, dead or has left.
func (w *Tracker) isMissing(holder Host) bool {
	_, missing := w.missing[w.nameOf(holder)]
	return missing
}

// sortByMissingSince puts the holders that have been missing for the longest time first.
func (w *Tracker) sortByMissingSince(holders []Host) {
	slices.SortStableFunc(holders, func(a, b Host) int {
		return w.missing[w.nameOf(a)].Compare(w.missing[w.nameOf(b)])
	})
}

// spareMembers lists the members of a role that run and hold nothing.
func (w *Tracker) spareMembers(role membership.Role, holders []Host) []membership.Member {
	return slices.DeleteFunc(w.Running(role), func(m membership.Member) bool {
		return slices.ContainsFunc(holders, func(h Host) bool { return h.ID == m.ID })
	})
}

// MissingSince is when the member of an identity was last seen to run, as far as the watch reaches back; missing is false where
// it runs, or nothing is known of it.
func (w *Tracker) MissingSince(id string) (since time.Time, missing bool) {
	since, missing = w.missing[w.names[id]]
	return since, missing
}

// isLost tells whether a holder is certainly gone: wiped, or missing for long.
func (w *Tracker) isLost(now time.Time, holder Host) bool {
	if m := w.find(func(m *membership.Member) bool { return m.ID == holder.ID }); m != nil {
		begun, dead := w.dead[m.Name]
		return dead && now.Sub(begun) >= lostTimeout
	}
	name := w.nameOf(holder)
	replaced := w.find(func(m *membership.Member) bool {
		return m.Name == name || m.Address == holder.Address && !m.DeadOrLeft()
	})
	return replaced != nil || now.Sub(w.observingSince) >= lostTimeout
}

func (w *Tracker) find(matches func(*membership.Member) bool) *membership.Member {
	for i := range w.members {
		if matches(&w.members[i]) {
			return &w.members[i]
		}
	}
	return nil
}

// Running lists the members of a role that are up, by name.
func (w *Tracker) Running(role membership.Role) []membership.Member {
	var up []membership.Member
	for _, m := range w.members {
		if m.Role == role && m.State == membership.StateAlive {
			up = append(up, m)
		}
	}
	slices.SortFunc(up, func(a, b membership.Member) int { return cmp.Compare(a.Name, b.Name) })
	return up
}

// Stores lists the storage machines that run.
func (w *Tracker) Stores() []Store {
	var stores []Store
	for _, m := range w.Running(membership.Store) {
		stores = append(stores, Store{ID: m.ID, Node: NodeOf(m.Name), Address: m.Address, Zone: m.Zone})
	}
	return stores
}

// Missing lists the storage machines that don't run but may come back soon.
func (w *Tracker) Missing(now time.Time) []Store {
	var missing []Store
	for _, m := range w.members {
		since, dead := w.dead[m.Name]
		if m.Role == membership.Store && m.State != membership.StateAlive && (!dead || now.Sub(since) < lostTimeout) {
			missing = append(missing, Store{ID: m.ID, Node: NodeOf(m.Name), Address: m.Address, Zone: m.Zone})
		}
	}
	return missing
}

// Store finds a storage machine by its name, whether it runs or not.
func (w *Tracker) Store(node string) (Store, bool) {
	m := w.find(func(m *membership.Member) bool { return m.Role == membership.Store && NodeOf(m.Name) == node })
	if m == nil {
		return Store{}, false
	}
	return Store{ID: m.ID, Node: node, Address: m.Address, Zone: m.Zone}, true
}

// HasCompleteView tells whether this process has owned the group in that epoch, and watched without a pause, for so long that it has
// heard of all members that run, also of those from which it was cut off before.
func (w *Tracker) HasCompleteView(now time.Time, epoch uint64) bool {
	return epoch != 0 && w.term == epoch && now.Sub(w.leaderSince) >= completeViewDelay
}

// Lost tells which of the placement's replicas are gone for good.
func (w *Tracker) Lost(now time.Time, shards []view.ShardPlacement) map[string]bool {
	var holders []Host
	for _, shard := range shards {
		for _, r := range shard.Replicas {
			holders = append(holders, Host{ID: r.ID, Name: storeName(r.Node), Address: r.Address})
		}
	}
	return w.LostHosts(now, membership.Store, holders)
}

// storeSuffix ends the names that stores have as members.
const storeSuffix = "/" + string(membership.Store)

// NodeOf returns the name of the machine on which a member runs.
func NodeOf(member string) string {
	node, _, _ := strings.Cut(member, "/")
	return node
}

func storeName(node string) string { return node + storeSuffix }
