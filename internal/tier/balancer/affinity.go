package balancer

// affinityTableSize is how many affinities the balancer remembers. A larger table finds more prefixes again and takes 16 bytes
// an entry.
const affinityTableSize = 1024

// affinityTable remembers which endpoint last got an affinity from this proxy. A newer affinity displaces an older one of the
// same slot.
type affinityTable []affinityEntry

// affinityEntry is an affinity and the endpoint that got it last. Key 0: the slot is empty.
type affinityEntry struct {
	key      uint64
	endpoint *endpoint
}

// lookup returns the endpoint that last got the affinity; nil if it is unknown or takes no requests any more.
func (t *affinityTable) lookup(key uint64) *endpoint {
	if len(*t) == 0 || key == 0 {
		return nil
	}
	if entry := (*t)[key%affinityTableSize]; entry.key == key && entry.endpoint.ready && entry.endpoint.listed {
		return entry.endpoint
	}
	return nil
}

// store remembers the endpoint of an affinity; key 0 is none.
func (t *affinityTable) store(key uint64, e *endpoint) {
	if key == 0 {
		return
	}
	if len(*t) == 0 {
		*t = make(affinityTable, affinityTableSize)
	}
	(*t)[key%affinityTableSize] = affinityEntry{key: key, endpoint: e}
}

// preferred is the endpoint of the affinity by rendezvous hashing over those of the proxy's own zone, or over all where the
// zone has none: all proxies of a zone with the same list agree on it, and an endpoint that leaves moves only its own
// affinities. A client's requests come through the proxies of its zone, so leaving the zone would gain nothing.
func (g *versionGroup) preferred(key uint64) *endpoint {
	best, bestInZone, bestScore := 0, false, uint64(0)
	for i, hash := range g.hashes {
		inZone := g.ready[i].zonePenalty == 0
		score := mix(hash ^ key)
		if inZone == bestInZone && score <= bestScore || bestInZone && !inZone {
			continue
		}
		best, bestInZone, bestScore = i, inZone, score
	}
	return g.ready[best]
}

// findAffinity finds the endpoints that may have the request's prefix in their cache, and what a miss costs.
func (b *Balancer) findAffinity(sel *selection, svc *service, group *versionGroup) {
	r := sel.request
	if !r.Route.UsesAffinity || r.AffinityKey == 0 || len(group.ready) == 0 {
		return
	}
	sel.preferred, sel.lastServed = group.preferred(r.AffinityKey), b.lastServed.lookup(r.AffinityKey)
	if sel.lastServed != nil && sel.lastServed.service != svc {
		sel.lastServed = nil
	}
	if sel.plan.kind == streamCall {
		_, perToken := svc.work.prefill.fit()
		sel.prefixCost = prefixWeight * perToken * float64(r.PrefixTokens)
	}
	sel.prefixCost = max(sel.prefixCost, affinitySaving*sel.workScale*workUnit.Seconds())
}
