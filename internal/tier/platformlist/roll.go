package platformlist

import (
	"slices"

	"mastusher/internal/tier/model"
)

// Roll folds whole reads, one after the other, into what is held to be there. It is pure. The zero value knows nothing.
//
// A single read may miss an endpoint that moved between pages. An endpoint that one read misses is kept as it was last
// seen; a second miss in a row removes it. It goes at once when its address belongs to another by then. One seen as
// draining is never ready again.
type Roll struct {
	known map[string]entry
}

type entry struct {
	endpoint model.Endpoint
	misses   int
}

// Observe takes one whole read.
func (r *Roll) Observe(read []model.Endpoint) {
	found := make(map[string]model.Endpoint, len(read))
	for _, endpoint := range read {
		found[endpoint.ID] = endpoint
	}
	r.observe(found)
}

func (r *Roll) observe(found map[string]model.Endpoint) {
	next := make(map[string]entry, len(found))
	taken := make(map[string]bool, len(found))
	for id, endpoint := range found {
		if r.known[id].endpoint.State == model.Draining {
			endpoint.State = model.Draining
		}
		next[id] = entry{endpoint: endpoint}
		taken[endpoint.Address] = true
	}
	for id, missed := range r.known {
		if _, there := found[id]; there || taken[missed.endpoint.Address] {
			continue
		}
		missed.misses++
		if missed.misses < readsUntilAbsent {
			next[id] = missed
		}
	}
	r.known = next
}

// Endpoints gives all of them in the order of their ids.
func (r *Roll) Endpoints() []model.Endpoint {
	all := make([]model.Endpoint, 0, len(r.known))
	for _, known := range r.known {
		all = append(all, known.endpoint)
	}
	return inOrder(slices.Values(all))
}
