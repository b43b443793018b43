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
	gatherAfter    = 1500 * time.Millisecond // from owning the group until the first placement, so that all stores are seen
	sureAfter      = 12 * time.Second        // the same, until the members on both sides of a cut have found each other again
	goneAfter      = 4 * time.Second         // dead for so long, or never seen since the watch began: gone for good
	succeededAfter = time.Second             // the same, while a member without any replica runs: it may be its successor
	newcomerAge    = 10 * time.Second        // of such a member that is likely the successor: then a suspicion counts like a death
	longestPause   = time.Second             // between two observations; after a longer one the watch begins anew
)

// Watch remembers since when members have been dead, and since when this process has owned the configuration shard's group.
// It is told the time, which must not go back.
type Watch struct {
	members []membership.Member  // by name
	dead    map[string]time.Time // by name
	absent  map[string]time.Time // by name; those that are suspected, dead or have left
	met     map[string]time.Time // by identity, when it was first seen
	lost    map[string]bool      // by identity; those that were found to be lost and haven't come back
	names   map[string]string    // by identity, as last seen
	last    time.Time            // observation
	since   time.Time            // the watch has gone on without a pause
	owning  time.Time            // zero: it doesn't own the group
	epoch   uint64               // that it owns
}

// NewWatch returns a watch that has seen nothing.
func NewWatch() *Watch {
	return &Watch{dead: map[string]time.Time{}, absent: map[string]time.Time{}, met: map[string]time.Time{},
		lost: map[string]bool{}, names: map[string]string{}}
}

// Observe takes in the members that are known now, and the epoch in which this process owns the group; 0 if it doesn't.
func (w *Watch) Observe(now time.Time, members []membership.Member, ownedEpoch uint64) {
	w.resume(now)
	w.members = members
	for _, m := range members {
		if m.Role != membership.Agent {
			w.observe(now, m)
		}
	}
	if ownedEpoch != w.epoch {
		w.epoch, w.owning = ownedEpoch, now
	}
}

// resume begins anew after a pause, in which members may have come back unseen.
func (w *Watch) resume(now time.Time) {
	if w.last.IsZero() || now.Sub(w.last) > longestPause {
		w.since, w.owning = now, now
		clear(w.dead)
		clear(w.absent)
		clear(w.lost)
	}
	w.last = now
}

func (w *Watch) observe(now time.Time, m membership.Member) {
	w.names[m.ID] = m.Name
	noteSince(w.met, m.ID, now, true)
	noteSince(w.dead, m.Name, now, m.DeadOrLeft())
	noteSince(w.absent, m.Name, now, m.State != membership.StateAlive)
	if m.State == membership.StateAlive {
		delete(w.lost, m.ID)
	}
}

// noteSince keeps since when something has held of a member.
func noteSince(since map[string]time.Time, key string, now time.Time, holds bool) {
	switch _, known := since[key]; {
	case !holds:
		delete(since, key)
	case !known:
		since[key] = now
	}
}

// MayBegin tells whether this process has owned the group for long enough to have heard of all stores.
func (w *Watch) MayBegin(now time.Time) bool {
	return w.epoch != 0 && now.Sub(w.owning) >= gatherAfter
}

// Holder is a member that holds replicas, as its group or a placement names it.
type Holder struct {
	ID      string
	Name    string // as a member; empty: as it was last seen
	Address string
}

// LostHolders tells which holders of that role are gone for good: their disk was wiped, since their machine runs with another
// identity, or nothing has been heard of them for long. That takes less long where a member of the role runs that holds nothing,
// and still less where one does that has come lately: it is to have what it needs before the next loss. Each such member
// stands in for one holder alone, the one that has been missing for the longest time: another may come back. Who was lost stays
// so until it is back, also when the member that held nothing now holds something.
func (w *Watch) LostHolders(now time.Time, role membership.Role, holders []Holder) map[string]bool {
	lost := map[string]bool{}
	var missing []Holder
	for _, holder := range w.distinct(holders) {
		switch {
		case w.lost[holder.ID] || w.isLost(now, holder):
			lost[holder.ID] = true
		case w.isMissing(holder):
			missing = append(missing, holder)
		}
	}
	for _, holder := range w.succeeded(now, w.spareMembers(role, holders), len(lost), missing) {
		lost[holder.ID], w.lost[holder.ID] = true, true
	}
	return lost
}

// succeeded returns which of the missing holders count as lost since a spare member stands ready for each. So many spare members
// are taken by holders that are lost anyway.
func (w *Watch) succeeded(now time.Time, spare []membership.Member, taken int, missing []Holder) []Holder {
	successors := max(0, len(spare)-taken)
	w.sortByAbsence(missing)
	missing = missing[:min(successors, len(missing))]
	since := w.dead
	if slices.ContainsFunc(spare, func(m membership.Member) bool { return now.Sub(w.met[m.ID]) < newcomerAge }) {
		since = w.absent
	}
	return slices.DeleteFunc(missing, func(holder Holder) bool {
		begun, gone := since[w.nameOf(holder)]
		return !gone || now.Sub(begun) < succeededAfter
	})
}

// distinct names each holder once.
func (w *Watch) distinct(holders []Holder) []Holder {
	var all []Holder
	for _, holder := range holders {
		if !slices.ContainsFunc(all, func(h Holder) bool { return h.ID == holder.ID }) {
			all = append(all, holder)
		}
	}
	return all
}

// nameOf is the name under which a holder is a member.
func (w *Watch) nameOf(holder Holder) string {
	if holder.Name == "" {
		return w.names[holder.ID]
	}
	return holder.Name
}

// isMissing tells whether a holder is suspected, dead or has left.
func (w *Watch) isMissing(holder Holder) bool {
	_, missing := w.absent[w.nameOf(holder)]
	return missing
}

// sortByAbsence puts the holders that have been missing for the longest time first.
func (w *Watch) sortByAbsence(holders []Holder) {
	slices.SortStableFunc(holders, func(a, b Holder) int {
		return w.absent[w.nameOf(a)].Compare(w.absent[w.nameOf(b)])
	})
}

// spareMembers lists the members of a role that run and hold nothing.
func (w *Watch) spareMembers(role membership.Role, holders []Holder) []membership.Member {
	return slices.DeleteFunc(w.Running(role), func(m membership.Member) bool {
		return slices.ContainsFunc(holders, func(h Holder) bool { return h.ID == m.ID })
	})
}

// AbsentSince is when the member of an identity was last seen to run, as far as the watch reaches back; missing is false where
// it runs, or nothing is known of it.
func (w *Watch) AbsentSince(id string) (since time.Time, missing bool) {
	since, missing = w.absent[w.names[id]]
	return since, missing
}

// isLost tells whether a holder is certainly gone: wiped, or missing for long.
func (w *Watch) isLost(now time.Time, holder Holder) bool {
	if m := w.find(func(m *membership.Member) bool { return m.ID == holder.ID }); m != nil {
		begun, dead := w.dead[m.Name]
		return dead && now.Sub(begun) >= goneAfter
	}
	name := w.nameOf(holder)
	replaced := w.find(func(m *membership.Member) bool {
		return m.Name == name || m.Address == holder.Address && !m.DeadOrLeft()
	})
	return replaced != nil || now.Sub(w.since) >= goneAfter
}

func (w *Watch) find(matches func(*membership.Member) bool) *membership.Member {
	for i := range w.members {
		if matches(&w.members[i]) {
			return &w.members[i]
		}
	}
	return nil
}

// Running lists the members of a role that are up, by name.
func (w *Watch) Running(role membership.Role) []membership.Member {
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
func (w *Watch) Stores() []Store {
	var stores []Store
	for _, m := range w.Running(membership.Store) {
		stores = append(stores, Store{ID: m.ID, Node: NodeOf(m.Name), Address: m.Address, Zone: m.Zone})
	}
	return stores
}

// Missing lists the storage machines that don't run but may come back soon.
func (w *Watch) Missing(now time.Time) []Store {
	var missing []Store
	for _, m := range w.members {
		since, dead := w.dead[m.Name]
		if m.Role == membership.Store && m.State != membership.StateAlive && (!dead || now.Sub(since) < goneAfter) {
			missing = append(missing, Store{ID: m.ID, Node: NodeOf(m.Name), Address: m.Address, Zone: m.Zone})
		}
	}
	return missing
}

// Store finds a storage machine by its name, whether it runs or not.
func (w *Watch) Store(node string) (Store, bool) {
	m := w.find(func(m *membership.Member) bool { return m.Role == membership.Store && NodeOf(m.Name) == node })
	if m == nil {
		return Store{}, false
	}
	return Store{ID: m.ID, Node: node, Address: m.Address, Zone: m.Zone}, true
}

// IsSure tells whether this process has owned the group in that epoch, and watched without a pause, for so long that it has
// heard of all members that run, also of those from which it was cut off before.
func (w *Watch) IsSure(now time.Time, epoch uint64) bool {
	return epoch != 0 && w.epoch == epoch && now.Sub(w.owning) >= sureAfter
}

// Lost tells which of the placement's replicas are gone for good.
func (w *Watch) Lost(now time.Time, shards []view.ShardPlacement) map[string]bool {
	var holders []Holder
	for _, shard := range shards {
		for _, r := range shard.Replicas {
			holders = append(holders, Holder{ID: r.ID, Name: storeName(r.Node), Address: r.Address})
		}
	}
	return w.LostHolders(now, membership.Store, holders)
}

// storeSuffix ends the names that stores have as members.
const storeSuffix = "/" + string(membership.Store)

// NodeOf returns the name of the machine on which a member runs.
func NodeOf(member string) string {
	node, _, _ := strings.Cut(member, "/")
	return node
}

func storeName(node string) string { return node + storeSuffix }
