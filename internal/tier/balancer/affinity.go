package balancer

// holderSlots is how many affinities the scheduler remembers.
const holderSlots = 1024

// holders remembers which endpoint last got an affinity from this proxy. A newer affinity displaces an older one.
type holders []holder

type holder struct {
	affinity uint64
	endpoint *endpoint
}

func (h *holders) of(affinity uint64) *endpoint {
	if len(*h) == 0 || affinity == 0 {
		return nil
	}
	if kept := (*h)[affinity%holderSlots]; kept.affinity == affinity && kept.endpoint.ready && kept.endpoint.listed {
		return kept.endpoint
	}
	return nil
}

func (h *holders) set(affinity uint64, e *endpoint) {
	if affinity == 0 {
		return
	}
	if len(*h) == 0 {
		*h = make(holders, holderSlots)
	}
	(*h)[affinity%holderSlots] = holder{affinity: affinity, endpoint: e}
}

// preferred is the endpoint of the affinity by rendezvous hashing over those of the proxy's own zone, or over all where the
// zone has none: all proxies of a zone with the same list agree on it, and an endpoint that leaves moves only its own
// affinities. A client's requests come through the proxies of its zone, so that leaving it would gain nothing.
func (g *group) preferred(affinity uint64) *endpoint {
	best, near, most := 0, false, uint64(0)
	for i, hash := range g.hashes {
		own := g.ready[i].zoneCharge == 0
		score := mix(hash ^ affinity)
		if own == near && score <= most || near && !own {
			continue
		}
		best, near, most = i, own, score
	}
	return g.ready[best]
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a hash to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// hashString is the FNV-1a hash of s, mixed. It is the same in all processes.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}
