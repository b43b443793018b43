package balancer

// affinityTableSize is the number of affinity keys that a proxy can remember. A larger table overwrites fewer keys; each entry
// takes 16 bytes.
const affinityTableSize = 1024

// affinityTable records which endpoint this proxy last sent each affinity key to. A new key overwrites an older one in the same
// slot.
type affinityTable []affinityEntry

// affinityEntry is one slot of an affinityTable; key 0 marks an empty slot.
type affinityEntry struct {
	key      uint64
	endpoint *endpoint
}

// lookup returns the endpoint that the key was last sent to, or nil if the key is unknown or the endpoint no longer takes requests.
func (t *affinityTable) lookup(key uint64) *endpoint {
	if len(*t) == 0 || key == 0 {
		return nil
	}
	if entry := (*t)[key%affinityTableSize]; entry.key == key && entry.endpoint.ready && entry.endpoint.listed {
		return entry.endpoint
	}
	return nil
}

// store records that the key was sent to the endpoint. Key 0 means no affinity and isn't stored.
func (t *affinityTable) store(key uint64, e *endpoint) {
	if key == 0 {
		return
	}
	if len(*t) == 0 {
		*t = make(affinityTable, affinityTableSize)
	}
	(*t)[key%affinityTableSize] = affinityEntry{key: key, endpoint: e}
}

// preferred returns the endpoint that rendezvous hashing assigns to an affinity key: among the endpoints in the proxy's own zone,
// or among all if the zone has none. All proxies of a zone with the same list choose the same endpoint, and removing an endpoint
// moves only that endpoint's keys. Agreement across zones would gain nothing, as a client's requests arrive at the proxies of one zone.
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

// resolveAffinity sets the endpoints that may have the request's prefix in their cache, and the cost of a cache miss elsewhere.
func (b *Balancer) resolveAffinity(sel *selection, svc *service, group *versionGroup) {
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
		sel.cacheMissCost = prefillWeight * perToken * float64(r.PrefixTokens)
	}
	sel.cacheMissCost = max(sel.cacheMissCost, affinitySaving*sel.workScale*workUnit.Seconds())
}
