package platformlist

import (
	"slices"

	"mastusher/internal/tier/model"
)

// missesUntilRemoved is the number of consecutive reads that must miss an endpoint before it is removed. A larger value tolerates more
// incomplete reads, and keeps endpoints that no longer exist for longer.
const missesUntilRemoved = 2

// Merger merges successive complete reads into the list of existing endpoints. The zero value has no endpoints.
//
// A single read may miss an endpoint that moves between pages. An endpoint that one read misses is kept as it was last read; a second
// consecutive miss removes it. It is removed at the first miss if its address now belongs to another endpoint. An endpoint that was
// draining once never becomes ready again.
type Merger struct {
	known map[string]mergedEndpoint // by ID
}

type mergedEndpoint struct {
	endpoint model.Endpoint
	misses   int // number of consecutive reads that missed the endpoint
}

// Merge merges one complete read.
func (m *Merger) Merge(read []model.Endpoint) {
	found := make(map[string]model.Endpoint, len(read))
	for _, endpoint := range read {
		found[endpoint.ID] = endpoint
	}
	m.merge(found)
}

func (m *Merger) merge(found map[string]model.Endpoint) {
	next := make(map[string]mergedEndpoint, len(found))
	usedAddresses := make(map[string]bool, len(found))
	for id, endpoint := range found {
		if m.known[id].endpoint.State == model.Draining {
			endpoint.State = model.Draining
		}
		next[id] = mergedEndpoint{endpoint: endpoint}
		usedAddresses[endpoint.Address] = true
	}
	for id, missed := range m.known {
		if _, isFound := found[id]; isFound || usedAddresses[missed.endpoint.Address] {
			continue
		}
		missed.misses++
		if missed.misses < missesUntilRemoved {
			next[id] = missed
		}
	}
	m.known = next
}

// Endpoints returns the existing endpoints, sorted by ID.
func (m *Merger) Endpoints() []model.Endpoint {
	all := make([]model.Endpoint, 0, len(m.known))
	for _, known := range m.known {
		all = append(all, known.endpoint)
	}
	return sortedByID(slices.Values(all))
}
