package platformlist

import (
	"slices"

	"mastusher/internal/tier/model"
)

// Merger folds whole reads, one after the other, into what is held to be there. It is pure. The zero value knows nothing.
//
// A single read may miss an endpoint that moved between pages. An endpoint that one read misses is kept as it was last
// seen; a second miss in a row removes it. It goes at once when its address belongs to another by then. One seen as
// draining is never ready again.
type Merger struct {
	known map[string]mergedEndpoint
}

type mergedEndpoint struct {
	endpoint model.Endpoint
	misses   int
}

// Merge takes one whole read.
func (r *Merger) Merge(read []model.Endpoint) {
	found := make(map[string]model.Endpoint, len(read))
	for _, endpoint := range read {
		found[endpoint.ID] = endpoint
	}
	r.merge(found)
}

func (r *Merger) merge(found map[string]model.Endpoint) {
	next := make(map[string]mergedEndpoint, len(found))
	taken := make(map[string]bool, len(found))
	for id, endpoint := range found {
		if r.known[id].endpoint.State == model.Draining {
			endpoint.State = model.Draining
		}
		next[id] = mergedEndpoint{endpoint: endpoint}
		taken[endpoint.Address] = true
	}
	for id, missed := range r.known {
		if _, there := found[id]; there || taken[missed.endpoint.Address] {
			continue
		}
		missed.misses++
		if missed.misses < missesUntilRemoved {
			next[id] = missed
		}
	}
	r.known = next
}

// Endpoints gives all of them in the order of their ids.
func (r *Merger) Endpoints() []model.Endpoint {
	all := make([]model.Endpoint, 0, len(r.known))
	for _, known := range r.known {
		all = append(all, known.endpoint)
	}
	return sortedByID(slices.Values(all))
}
