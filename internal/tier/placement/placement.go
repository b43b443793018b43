package placement

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"mastusher/internal/tier/view"
)

// maxShards is the largest number of shards of an initial placement.
const maxShards = 64

// Store is a member that may get replicas.
type Store = view.Replica

// Shard returns the shard of a key, by its FNV-1a hash. The mapping must not change: state is stored in the shard of its key.
func Shard(key string, shards int) int {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	return int(hash.Sum64() % uint64(shards))
}

// Initial returns the first placement. The number of shards is the number of stores rounded up to a power of two, at most maxShards.
// Each shard has as many replicas as the policy demands, all stores have about the same number of replicas, and the losses in the
// policy leave a majority of each shard's replicas if there are enough zones and regions. Initial returns nil if there are fewer
// stores than replicas of a shard.
func Initial(stores []Store, policy Policy) []view.ShardPlacement {
	usable := sorted(stores)
	if len(usable) < policy.Replicas {
		return nil
	}
	count := 1
	for count < len(usable) && count < maxShards {
		count *= 2
	}
	load := map[string]int{}
	shards := make([]view.ShardPlacement, count)
	for i := range shards {
		shards[i].Replicas = selectStores(usable, nil, policy.Replicas, policy, load, i)
	}
	for balanceOnce(shards, usable, policy, load) {
	}
	for i := range shards {
		shards[i].Initial = shards[i].Replicas
	}
	return shards
}

// balanceOnce moves one replica to a store that has at least two fewer, and reports whether there was such a store. Selecting
// stores shard by shard can leave such a difference where zones differ in size.
func balanceOnce(shards []view.ShardPlacement, usable []Store, policy Policy, load map[string]int) bool {
	for i := range shards {
		for at, replica := range shards[i].Replicas {
			remaining := slices.Delete(slices.Clone(shards[i].Replicas), at, at+1)
			if selected := selectStores(usable, remaining, 1, policy, maps.Clone(load), i); load[selected[0].ID]+1 < load[replica.ID] {
				load[replica.ID]--
				load[selected[0].ID]++
				shards[i].Replicas[at] = selected[0]
				return true
			}
		}
	}
	return false
}

// Inputs determine the next placement, together with the current one.
type Inputs struct {
	Stores   []Store         // running stores that may get replicas
	Lost     map[string]bool // identities whose replicas are permanently lost
	Draining map[string]bool // identities of stores that are being drained
	Policy   Policy
}

// Next returns the placement that is to follow the current one: lost and draining replicas are replaced if another store can take
// them, and replicas are added to shards that have too few. It changes at most one replica of each shard. changed reports whether
// the placement differs.
func Next(shards []view.ShardPlacement, inputs Inputs) (next []view.ShardPlacement, changed bool) {
	usable := sorted(inputs.Stores)
	load := loadOf(shards)
	next = slices.Clone(shards)
	for i := range next {
		replicas, moved := nextReplicas(next[i].Replicas, usable, inputs, load, i)
		if moved {
			next[i].Replicas = replicas
			changed = true
		}
	}
	return next, changed
}

// loadOf counts the replicas of each store, by identity.
func loadOf(shards []view.ShardPlacement) map[string]int {
	load := map[string]int{}
	for _, shard := range shards {
		for _, replica := range shard.Replicas {
			load[replica.ID]++
		}
	}
	return load
}

// nextReplicas returns the next replicas of one shard, and whether they differ from the current ones.
func nextReplicas(current []view.Replica, usable []Store, inputs Inputs, load map[string]int, shard int) ([]view.Replica, bool) {
	at := replicaToReplace(current, inputs)
	if at < 0 && len(current) >= inputs.Policy.Replicas {
		return current, false
	}
	remaining := slices.Clone(current)
	if at >= 0 {
		remaining = slices.Delete(remaining, at, at+1)
		if successor, ok := storeOnSameNode(current[at], usable); ok {
			load[successor.ID]++
			return append(remaining, successor), true
		}
	}
	added := selectStores(usable, remaining, 1, inputs.Policy, load, shard)
	if len(added) == 0 {
		return current, false
	}
	return append(remaining, added...), true
}

// replicaToReplace returns the index of the replica to be replaced first, or -1. A lost replica goes before a draining one, which can
// still be copied from.
func replicaToReplace(replicas []view.Replica, inputs Inputs) int {
	for _, leaving := range []map[string]bool{inputs.Lost, inputs.Draining} {
		at := slices.IndexFunc(replicas, func(r view.Replica) bool { return leaving[r.ID] })
		if at >= 0 {
			return at
		}
	}
	return -1
}

// storeOnSameNode finds a running store on a replica's machine under another identity, as after its disk was wiped.
func storeOnSameNode(replica view.Replica, usable []Store) (Store, bool) {
	at := slices.IndexFunc(usable, func(s Store) bool { return s.Node == replica.Node && s.ID != replica.ID })
	if at < 0 {
		return Store{}, false
	}
	return usable[at], true
}

// sorted returns the stores sorted by machine name.
func sorted(stores []Store) []Store {
	return slices.SortedFunc(slices.Values(stores), func(a, b Store) int { return cmp.Compare(a.Node, b.Node) })
}

// selectStores selects up to count stores for a shard in addition to its remaining replicas, in the order of isBetter. Load goes
// before an even spread over zones, so that no store gets more than its share because its zone has few stores. The shard's number
// breaks ties, so that leaders are spread over the stores. The selected stores are added to load.
func selectStores(usable []Store, remaining []view.Replica, count int, policy Policy, load map[string]int, shard int) []view.Replica {
	spread := newSpread(policy, remaining)
	var selected []view.Replica
	for len(selected) < count {
		best := -1
		for k := range usable {
			i := (k + shard) % len(usable)
			if spread.nodes[usable[i].Node] {
				continue
			}
			if best < 0 || isBetter(usable[i], usable[best], spread, load) {
				best = i
			}
		}
		if best < 0 {
			return selected
		}
		s := usable[best]
		spread.add(s)
		load[s.ID]++
		selected = append(selected, s)
	}
	return selected
}

// isBetter reports whether a is to be selected before b. Stores whose zone and region are below their limits come first, then those
// with fewer replicas, then those in zones with fewer of the shard's replicas.
func isBetter(a, b Store, spread *spread, load map[string]int) bool {
	if allowed := spread.allows(a); allowed != spread.allows(b) {
		return allowed
	}
	if load[a.ID] != load[b.ID] {
		return load[a.ID] < load[b.ID]
	}
	return spread.zones[a.Zone] < spread.zones[b.Zone]
}
