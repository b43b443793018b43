package simulator

import (
	"time"

	"mastusher/control"
)

// addReplacement lists a new, cold endpoint of the same partner beside one that leaves.
func (r *Run) addReplacement(n int32) {
	old := r.endpoints[n]
	e := r.newEndpoint(old.partner, old.group)
	r.endpoints[e].coldSince = r.now
	r.updateList(e, control.Ready)
}

// updateList changes the endpoint list; each relay is notified after a delay of its own.
func (r *Run) updateList(n int32, s control.State) {
	r.endpoints[n].listed = s
	r.listUpdates = append(r.listUpdates, control.Event{Kind: control.Listed, Endpoints: []control.Endpoint{r.listedEndpoint(n, s)}})
	for i := range r.relays {
		r.schedule(r.now+time.Duration(float64(r.World.ListDelay)*(0.5+r.rng.Float64())), eventListUpdate, int32(len(r.listUpdates)-1), int32(i))
	}
}

func (r *Run) listedEndpoint(e int32, s control.State) control.Endpoint {
	ep := &r.endpoints[e]
	return control.Endpoint{ID: uint32(e + 1), Zone: int(ep.zone), Kind: int(ep.group), Destination: int(ep.partner), State: s}
}
