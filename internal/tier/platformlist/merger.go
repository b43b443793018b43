package platformlist

import (
	"slices"

	"mastusher/internal/tier/model"
)

// missesUntilRemoved is the number of reads in a row that must miss an endpoint before it is removed. A larger value bears more
// incomplete reads, and keeps removed endpoints for longer.
const missesUntilRemoved = 2

// Merger merges successive complete reads into the list of endpoints that exist. It is pure; its zero value has no endpoints.
//
// A single read may miss an endpoint that moves between pages. An endpoint that one read misses stays as it was last seen; a
// second miss in a row removes it. It is removed at once when its address belongs to another endpoint by then. One that was
// once draining never becomes ready again.
type Merger struct {
	known map[string]mergedEndpoint // by identifier
}

type mergedEndpoint struct {
	endpoint model.Endpoint
	misses   int // reads in a row
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

// Endpoints returns the endpoints that exist, by identifier.
func (m *Merger) Endpoints() []model.Endpoint {
	all := make([]model.Endpoint, 0, len(m.known))
	for _, known := range m.known {
		all = append(all, known.endpoint)
	}
	return sortedByID(slices.Values(all))
}
