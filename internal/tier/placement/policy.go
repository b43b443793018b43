package placement

import (
	"fmt"
	"maps"
	"slices"

	"mastusher/internal/tier/view"
)

// Policy defines how many replicas a shard should have and which losses must leave a majority of them.
type Policy struct {
	Replicas int               // number of replicas of a shard, which tolerates the loss of (Replicas-1)/2 machines
	Zones    int               // number of zones that may be lost at once; 0: as 1 if there are three zones, which costs nothing
	Regions  int               // number of regions that may be lost at once; 0: replicas aren't spread over regions
	RegionOf map[string]string // region of each zone
}

// maxPerZone returns the largest number of a shard's replicas that one zone may have.
func (p Policy) maxPerZone() int { return p.maxPerPlace(max(1, p.Zones)) }

// maxPerRegion returns the largest number of a shard's replicas that one region may have.
func (p Policy) maxPerRegion() int {
	if p.Regions == 0 {
		return p.Replicas
	}
	return p.maxPerPlace(p.Regions)
}

// maxPerPlace returns how many of a shard's replicas each zone or region may have so that the loss of that many leaves a majority.
func (p Policy) maxPerPlace(losses int) int { return max(1, (p.Replicas-1)/2/losses) }

// spread counts where the replicas of one shard are.
type spread struct {
	policy  Policy
	zones   map[string]int  // number of replicas by zone
	regions map[string]int  // number of replicas by region
	nodes   map[string]bool // machines that have a replica
}

func newSpread(policy Policy, replicas []view.Replica) *spread {
	s := &spread{policy: policy, zones: map[string]int{}, regions: map[string]int{}, nodes: map[string]bool{}}
	for _, r := range replicas {
		s.add(r)
	}
	return s
}

// add counts one more replica.
func (s *spread) add(r view.Replica) {
	s.zones[r.Zone]++
	s.regions[s.policy.RegionOf[r.Zone]]++
	s.nodes[r.Node] = true
}

// allows reports whether a store's zone and region are below their limits.
func (s *spread) allows(store Store) bool {
	return s.zones[store.Zone] < s.policy.maxPerZone() && s.regions[s.policy.RegionOf[store.Zone]] < s.policy.maxPerRegion()
}

// excess returns the number of replicas above the limits of their zones, plus the number above those of their regions.
func (s *spread) excess() int {
	excess := 0
	for _, count := range s.zones {
		excess += max(0, count-s.policy.maxPerZone())
	}
	for _, count := range s.regions {
		excess += max(0, count-s.policy.maxPerRegion())
	}
	return excess
}

// UnmetLosses lists the losses in the policy that some shards don't tolerate, because no majority of their replicas would remain. It is
// empty if all shards tolerate all of them.
func (p Policy) UnmetLosses(shards []view.ShardPlacement) []UnmetLoss {
	var unmet []UnmetLoss
	for _, loss := range []struct {
		kind  string
		count int
		place func(r view.Replica) string
	}{
		{"machines", (p.Replicas - 1) / 2, func(r view.Replica) string { return r.Node }},
		{"zones", p.Zones, func(r view.Replica) string { return r.Zone }},
		{"regions", p.Regions, func(r view.Replica) string { return p.RegionOf[r.Zone] }},
	} {
		affected := 0
		for _, shard := range shards {
			if !survives(shard.Replicas, loss.count, loss.place) {
				affected++
			}
		}
		if affected > 0 {
			unmet = append(unmet, UnmetLoss{Kind: loss.kind, Count: loss.count, Shards: affected})
		}
	}
	return unmet
}

// UnmetLoss is a loss in the policy that some shards don't tolerate.
type UnmetLoss struct {
	Kind   string // machines, zones or regions
	Count  int    // number of machines, zones or regions lost at once
	Shards int    // number of shards that would lose their majority
}

// String returns the loss, as the settings name it, and the number of shards: "1 zones at once: 8 shards".
func (u UnmetLoss) String() string {
	return fmt.Sprintf("%d %s at once: %d shards", u.Count, u.Kind, u.Shards)
}

// survives reports whether a majority of the replicas remains after the loss of the given number of places, those that have the most
// replicas. place returns the machine, zone or region of a replica.
func survives(replicas []view.Replica, losses int, place func(r view.Replica) string) bool {
	counts := map[string]int{}
	for _, r := range replicas {
		counts[place(r)]++
	}
	left := len(replicas)
	largest := slices.Sorted(maps.Values(counts))
	for range min(losses, len(largest)) {
		left -= largest[len(largest)-1]
		largest = largest[:len(largest)-1]
	}
	return left > len(replicas)/2
}
