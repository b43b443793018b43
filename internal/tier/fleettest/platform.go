package fleettest

import (
	"mastusher/internal/tier/model"
)

// listRequest asks the platform for its list, a []model.Endpoint.
type listRequest struct{}

// platform answers with its list of endpoints, which shows changes after listDelay.
type platform struct{ process *process }

func (*platform) handleMessage(string, any)  {}
func (*platform) handleDatagram(string, any) {}
func (p *platform) serve(call *exchange, request any) {
	if _, ok := request.(listRequest); ok {
		call.finish(p.process.machine.fleet.endpointList)
	}
}

// listLater puts an endpoint on the list after listDelay, in place of the previous one at its address.
func (f *Fleet) listLater(e *endpoint) {
	entry := model.Endpoint{ID: e.id, Service: e.service, Address: e.process.address, Zone: e.process.machine.zone, Capacity: 64, State: model.Ready}
	f.loop.After(listDelay, func() {
		var list []model.Endpoint
		for _, listed := range f.endpointList {
			if listed.Address != entry.Address {
				list = append(list, listed)
			}
		}
		f.endpointList = append(list, entry)
	})
}
