package simulator

import (
	"time"

	"mastusher/control"
)

// addReplacement adds a cold endpoint of the same partner to the list, which replaces endpoint n.
func (r *Run) addReplacement(n int32) {
	old := r.endpoints[n]
	e := r.newEndpoint(old.partner, old.group)
	r.endpoints[e].coldSince = r.now
	r.updateList(e, control.Ready)
}

// updateList changes the listed state of endpoint n; each relay is notified after its own random delay.
func (r *Run) updateList(n int32, state control.State) {
	r.endpoints[n].listed = state
	r.listUpdates = append(r.listUpdates, control.Event{Kind: control.Listed, Endpoints: []control.Endpoint{r.listedEndpoint(n, state)}})
	for i := range r.relays {
		r.schedule(r.now+time.Duration(float64(r.World.ListDelay)*(0.5+r.rng.Float64())), eventListUpdate, int32(len(r.listUpdates)-1), int32(i))
	}
}

// listedEndpoint returns the list entry of endpoint e in a state.
func (r *Run) listedEndpoint(e int32, state control.State) control.Endpoint {
	listed := &r.endpoints[e]
	return control.Endpoint{ID: uint32(e + 1), Zone: int(listed.zone), Kind: int(listed.group), Destination: int(listed.partner), State: state}
}
