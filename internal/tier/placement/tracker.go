package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/view"
)

// Delays of the tracker.
const (
	initialPlacementDelay = 1500 * time.Millisecond // from the election to the initial placement, so that all stores have been seen
	initialQuietTime      = 700 * time.Millisecond  // from when the newest store was first seen to the initial placement
	maxInitialDelay       = 4 * time.Second         // from the election to the initial placement, even if new stores are still being seen
	completeViewDelay     = 12 * time.Second        // from the election until members on both sides of a healed partition have seen each other
	maxObservationGap     = time.Second             // between two observations; after a longer gap the tracker starts over
)

// Tracker records since when each member has been dead or missing, and since when this process has led the configuration shard's
// group. The times passed to its methods must not go backwards.
type Tracker struct {
	members         []membership.Member  // as last observed
	dead            map[string]time.Time // by member name: since when it has been dead or left
	missing         map[string]time.Time // by member name: since when it has been suspected, dead or left
	firstSeen       map[string]time.Time // by identity
	lost            map[string]bool      // identities found lost because of a spare, until they come back
	names           map[string]string    // last known member name, by identity
	lastObservation time.Time
	observingSince  time.Time // start of the observations since the last gap
	leaderSince     time.Time // start of the term or of the observations, whichever is later
	term            uint64    // term in which this process leads the group; 0: not the leader
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{dead: map[string]time.Time{}, missing: map[string]time.Time{}, firstSeen: map[string]time.Time{},
		lost: map[string]bool{}, names: map[string]string{}}
}

// Observe records the members that are known now and the term in which this process leads the group, or 0 if it doesn't.
func (t *Tracker) Observe(now time.Time, members []membership.Member, leaderTerm uint64) {
	t.resetAfterGap(now)
	t.members = members
	for _, m := range members {
		if m.Role != membership.Agent {
			t.observe(now, m)
		}
	}
	if leaderTerm != t.term {
		t.term, t.leaderSince = leaderTerm, now
	}
}

// resetAfterGap starts over if there was a gap between observations, in which members may have come back and gone again.
func (t *Tracker) resetAfterGap(now time.Time) {
	if t.lastObservation.IsZero() || now.Sub(t.lastObservation) > maxObservationGap {
		t.observingSince, t.leaderSince = now, now
		clear(t.dead)
		clear(t.missing)
		clear(t.lost)
	}
	t.lastObservation = now
}

// observe records when a member was first seen, and since when its name has been dead or missing. A member that is alive is no longer
// lost.
func (t *Tracker) observe(now time.Time, m membership.Member) {
	t.names[m.ID] = m.Name
	setSince(t.firstSeen, m.ID, now, true)
	setSince(t.dead, m.Name, now, m.DeadOrLeft())
	setSince(t.missing, m.Name, now, m.State != membership.StateAlive)
	if m.State == membership.StateAlive {
		delete(t.lost, m.ID)
	}
}

// setSince records since when a condition has been true for a key. It deletes the key if the condition is false.
func setSince(since map[string]time.Time, key string, now time.Time, condition bool) {
	switch _, known := since[key]; {
	case !condition:
		delete(since, key)
	case !known:
		since[key] = now
	}
}

// ReadyForInitial reports whether this process has led the group for long enough to have seen all stores, and no new store was seen
// for initialQuietTime: machines may start slowly, and stores seen after the initial placement would get no shards. It waits for
// new stores until maxInitialDelay.
func (t *Tracker) ReadyForInitial(now time.Time) bool {
	if t.term == 0 {
		return false
	}
	led := now.Sub(t.leaderSince)
	return led >= initialPlacementDelay && (led >= maxInitialDelay || now.Sub(t.newestStoreSeen()) >= initialQuietTime)
}

// newestStoreSeen returns when the newest running store was first seen, or the zero time if no store runs.
func (t *Tracker) newestStoreSeen() time.Time {
	var newest time.Time
	for _, m := range t.Running(membership.Store) {
		if seen := t.firstSeen[m.ID]; seen.After(newest) {
			newest = seen
		}
	}
	return newest
}

// HasSeen reports whether a member with an identity has ever been observed.
func (t *Tracker) HasSeen(id string) bool {
	_, seen := t.names[id]
	return seen
}

// HasUnseenStore reports whether a store of the placement has never been observed.
func (t *Tracker) HasUnseenStore(shards []view.ShardPlacement) bool {
	for _, shard := range shards {
		if slices.ContainsFunc(shard.Replicas, func(r view.Replica) bool { return !t.HasSeen(r.ID) }) {
			return true
		}
	}
	return false
}

// Term returns the term in which this process leads the group, or 0 if it isn't the leader.
func (t *Tracker) Term() uint64 { return t.term }

// HasStableStores reports whether all stores of the placement run and no running store was first seen less than newcomerAge ago.
func (t *Tracker) HasStableStores(now time.Time, shards []view.ShardPlacement) bool {
	running := map[string]bool{}
	for _, m := range t.Running(membership.Store) {
		running[m.ID] = true
	}
	for _, shard := range shards {
		if slices.ContainsFunc(shard.Replicas, func(r view.Replica) bool { return !running[r.ID] }) {
			return false
		}
	}
	return now.Sub(t.newestStoreSeen()) >= newcomerAge
}

// HasCompleteView reports whether this process has led the group in a term, and observed the members without a gap, for long enough
// to have seen all running members, including those on the other side of an earlier partition.
func (t *Tracker) HasCompleteView(now time.Time, term uint64) bool {
	return term != 0 && t.term == term && now.Sub(t.leaderSince) >= completeViewDelay
}

// MissingSince returns since when the member with an identity has been missing, at the earliest since the observations began.
// missing is false if the member runs or is unknown.
func (t *Tracker) MissingSince(id string) (since time.Time, missing bool) {
	since, missing = t.missing[t.names[id]]
	return since, missing
}

// find returns the first member that matches, or nil.
func (t *Tracker) find(matches func(*membership.Member) bool) *membership.Member {
	for i := range t.members {
		if matches(&t.members[i]) {
			return &t.members[i]
		}
	}
	return nil
}

// Running lists the running members of a role, sorted by name.
func (t *Tracker) Running(role membership.Role) []membership.Member {
	var running []membership.Member
	for _, m := range t.members {
		if m.Role == role && m.State == membership.StateAlive {
			running = append(running, m)
		}
	}
	slices.SortFunc(running, func(a, b membership.Member) int { return cmp.Compare(a.Name, b.Name) })
	return running
}

// Stores lists the running stores, sorted by name.
func (t *Tracker) Stores() []Store {
	var stores []Store
	for _, m := range t.Running(membership.Store) {
		stores = append(stores, storeOf(&m))
	}
	return stores
}

// Missing lists the stores that are suspected, or have been dead for less than lostTimeout, so that they may come back.
func (t *Tracker) Missing(now time.Time) []Store {
	var missing []Store
	for _, m := range t.members {
		since, dead := t.dead[m.Name]
		if m.Role == membership.Store && m.State != membership.StateAlive && (!dead || now.Sub(since) < lostTimeout) {
			missing = append(missing, storeOf(&m))
		}
	}
	return missing
}

// Store returns the store on a machine, whether it runs or not.
func (t *Tracker) Store(node string) (Store, bool) {
	m := t.find(func(m *membership.Member) bool { return m.Role == membership.Store && NodeOf(m.Name) == node })
	if m == nil {
		return Store{}, false
	}
	return storeOf(m), true
}

func storeOf(m *membership.Member) Store {
	return Store{ID: m.ID, Node: NodeOf(m.Name), Address: m.Address, Zone: m.Zone}
}

// storeSuffix is the suffix of a store's member name, after the name of its machine.
const storeSuffix = "/" + string(membership.Store)

// NodeOf returns the name of the machine on which a member runs.
func NodeOf(member string) string {
	node, _, _ := strings.Cut(member, "/")
	return node
}

// storeName returns the member name of the store on a machine.
func storeName(node string) string { return node + storeSuffix }
