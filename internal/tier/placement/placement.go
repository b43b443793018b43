// Package placement decides which store holds which shard. It is pure: the same inputs give the same placement.
package placement

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"mastusher/internal/tier/view"
)

// maxShards bounds the number of shards that a first placement makes.
const maxShards = 64

// Store is a machine that runs and may take replicas.
type Store = view.Replica

// Shard returns the shard of a key, by its hash.
func Shard(key string, shards int) int {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	return int(hash.Sum64() % uint64(shards))
}

// Initial makes the first placement over the stores: as many shards as the next power of two, each with copies replicas, so
// that all stores hold about as many and no zone holds a majority of a shard's, as far as there are zones enough. It returns
// nil while there are too few stores.
func Initial(stores []Store, copies int) []view.ShardPlacement {
	usable := sorted(stores)
	if len(usable) < copies {
		return nil
	}
	count := 1
	for count < len(usable) && count < maxShards {
		count *= 2
	}
	load := map[string]int{}
	shards := make([]view.ShardPlacement, count)
	for i := range shards {
		shards[i].Replicas = selectStores(usable, nil, copies, copies, load, i)
	}
	for balanceOnce(shards, usable, copies, load) {
	}
	for i := range shards {
		shards[i].Initial = shards[i].Replicas
	}
	return shards
}

// balanceOnce makes one change, if there is one, by which a store holds fewer replicas than another did before. Choosing shard by
// shard can leave such a difference where zones are of different sizes.
func balanceOnce(shards []view.ShardPlacement, usable []Store, copies int, load map[string]int) bool {
	for i := range shards {
		for at, replica := range shards[i].Replicas {
			kept := slices.Delete(slices.Clone(shards[i].Replicas), at, at+1)
			if chosen := selectStores(usable, kept, 1, copies, maps.Clone(load), i); load[chosen[0].ID]+1 < load[replica.ID] {
				load[replica.ID]--
				load[chosen[0].ID]++
				shards[i].Replicas[at] = chosen[0]
				return true
			}
		}
	}
	return false
}

// Inputs is what the next placement follows from.
type Inputs struct {
	Stores            []Store         // that run and may take replicas
	Lost              map[string]bool // identities whose replicas are gone for good
	Draining          map[string]bool // identities whose machines are being emptied
	ReplicationFactor int             // replicas that a shard is to have
}

// Next returns what the placement should become now: replicas that are lost or retiring are replaced where a store is free
// for it, and missing ones are added, one of each shard at a time. changed tells whether anything differs.
func Next(shards []view.ShardPlacement, now Inputs) (next []view.ShardPlacement, changed bool) {
	usable := sorted(now.Stores)
	load := loadOf(shards)
	next = slices.Clone(shards)
	for i := range next {
		replicas, moved := nextReplicas(next[i].Replicas, usable, now, load, i)
		if moved {
			next[i].Replicas = replicas
			changed = true
		}
	}
	return next, changed
}

// loadOf counts the replicas of each store.
func loadOf(shards []view.ShardPlacement) map[string]int {
	load := map[string]int{}
	for _, shard := range shards {
		for _, replica := range shard.Replicas {
			load[replica.ID]++
		}
	}
	return load
}

// nextReplicas is the next step of one shard.
func nextReplicas(current []view.Replica, usable []Store, now Inputs, load map[string]int, shard int) ([]view.Replica, bool) {
	at := replicaToReplace(current, now)
	if at < 0 && len(current) >= now.ReplicationFactor {
		return current, false
	}
	kept := slices.Clone(current)
	if at >= 0 {
		kept = slices.Delete(kept, at, at+1)
		if same, ok := storeOnSameNode(current[at], usable); ok {
			load[same.ID]++
			return append(kept, same), true
		}
	}
	added := selectStores(usable, kept, 1, now.ReplicationFactor, load, shard)
	if len(added) == 0 {
		return current, false
	}
	return append(kept, added...), true
}

// replicaToReplace finds the replica that is to be replaced first: a lost one goes before one that can still be copied from.
func replicaToReplace(replicas []view.Replica, now Inputs) int {
	for _, gone := range []map[string]bool{now.Lost, now.Draining} {
		at := slices.IndexFunc(replicas, func(r view.Replica) bool { return gone[r.ID] })
		if at >= 0 {
			return at
		}
	}
	return -1
}

// storeOnSameNode finds the store that runs on the same machine under another identity.
func storeOnSameNode(gone view.Replica, usable []Store) (Store, bool) {
	at := slices.IndexFunc(usable, func(s Store) bool { return s.Node == gone.Node && s.ID != gone.ID })
	if at < 0 {
		return Store{}, false
	}
	return usable[at], true
}

func sorted(stores []Store) []Store {
	return slices.SortedFunc(slices.Values(stores), func(a, b Store) int { return cmp.Compare(a.Node, b.Node) })
}

// selectStores chooses count stores besides those kept, for a shard of so many copies: those with the fewest replicas, as long as a
// majority of the copies stays outside their zone. So no store holds more than its share of the state because its zone has
// few stores. Of stores that hold as many, those in zones with fewer of the shard's replicas go first; the shard's number
// breaks ties, so that owners spread.
func selectStores(usable []Store, kept []view.Replica, count, copies int, load map[string]int, shard int) []view.Replica {
	zones := map[string]int{}
	taken := map[string]bool{}
	for _, r := range kept {
		zones[r.Zone]++
		taken[r.Node] = true
	}
	bound := maxPerZone(copies)
	var chosen []view.Replica
	for len(chosen) < count {
		best := -1
		for k := range usable {
			i := (k + shard) % len(usable)
			if taken[usable[i].Node] {
				continue
			}
			if best < 0 || isBetter(usable[i], usable[best], bound, zones, load) {
				best = i
			}
		}
		if best < 0 {
			return chosen
		}
		s := usable[best]
		zones[s.Zone]++
		taken[s.Node] = true
		load[s.ID]++
		chosen = append(chosen, s)
	}
	return chosen
}

// maxPerZone is the number of a shard's replicas that one zone may hold, so that a majority is left without it.
func maxPerZone(copies int) int { return max(1, (copies-1)/2) }

// isBetter tells whether a is to be chosen rather than b: in a zone that may take another replica, then with fewer replicas,
// then in a zone with fewer of the shard's.
func isBetter(a, b Store, bound int, zones, load map[string]int) bool {
	if full := zones[a.Zone] >= bound; full != (zones[b.Zone] >= bound) {
		return !full
	}
	if load[a.ID] != load[b.ID] {
		return load[a.ID] < load[b.ID]
	}
	return zones[a.Zone] < zones[b.Zone]
}
