package fleettest

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"mastusher/internal/tier/model"
)

// What endpoints do.
const (
	tokensPerEvent  = 3
	eventPace       = 12 * time.Millisecond
	platformAddress = "platform:80"
	listDelay       = 800 * time.Millisecond // that the platform's list runs behind
)

// endpointRequest is a request as it reaches an endpoint.
type endpointRequest struct {
	ID       string
	Expected string
	Body     []byte
	Most     int64
}

// endpointHead is an answer that promises that the request has not run.
type endpointHead struct{ Status int }

// endpointEvent is a piece of an answer.
type endpointEvent struct {
	Data []byte
	Run  int // names the run that made it
	Last bool
}

// endpoint is one incarnation of an endpoint.
type endpoint struct {
	process *process
	id      string
	service string
	stuck   bool // it runs requests and their answers get lost
}

// openEndpoint starts an incarnation of a new id. The service is the one that the address belongs to now.
func openEndpoint(service *string) func(p *process) (handler, error) {
	return func(p *process) (handler, error) {
		f := p.machine.fleet
		f.incarnations++
		e := &endpoint{process: p, id: fmt.Sprintf("i-%d", f.incarnations), service: *service}
		f.listLater(e)
		return e, nil
	}
}

func (e *endpoint) notice(string, any) {}

func (e *endpoint) datagram(string, any) {}

// serve implements handler.
func (e *endpoint) serve(call *exchange, request any) {
	asked, ok := request.(endpointRequest)
	if !ok {
		return
	}
	if asked.Expected != "" && asked.Expected != e.id {
		call.finish(endpointHead{Status: http.StatusMisdirectedRequest})
		return
	}
	f := e.process.machine.fleet
	number := f.history.run(run{ID: asked.ID, Endpoint: e.id, Service: e.service, Body: asked.Body, At: f.loop.now})
	if e.stuck {
		return
	}
	gone := false
	call.onCallerGone = func() { gone = true }
	events := eventsOf(asked.ID, asked.Most)
	e.next(call, asked.ID, number, 1, events, &gone)
}

// next makes one event after the other.
func (e *endpoint) next(call *exchange, id string, number, event, events int, gone *bool) {
	e.process.after(eventPace, func() {
		if *gone {
			return
		}
		piece := endpointEvent{Data: eventData(id, event), Run: number, Last: event == events}
		if piece.Last {
			call.finish(piece)
			return
		}
		call.send(piece)
		e.next(call, id, number, event+1, events, gone)
	})
}

// eventsOf is the number of events of a request's answer.
func eventsOf(id string, most int64) int {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return 1 + int(hash.Sum32()%uint32(max(1, most/tokensPerEvent)))
}

// listRequest asks the platform for its list, a []model.Endpoint.
type listRequest struct{}

// platform answers with the list as it was some time ago.
type platform struct{ process *process }

func (*platform) notice(string, any)   {}
func (*platform) datagram(string, any) {}
func (p *platform) serve(call *exchange, request any) {
	if _, ok := request.(listRequest); ok {
		call.finish(p.process.machine.fleet.listed)
	}
}

// listLater puts an incarnation on the list in place of the one that had its address before.
func (f *Fleet) listLater(e *endpoint) {
	entry := model.Endpoint{ID: e.id, Service: e.service, Address: e.process.address, Zone: e.process.machine.zone, Capacity: 64, State: model.Ready}
	f.loop.after(listDelay, func() {
		var list []model.Endpoint
		for _, listed := range f.listed {
			if listed.Address != entry.Address {
				list = append(list, listed)
			}
		}
		f.listed = append(list, entry)
	})
}

// eventData is what one event of a request's answer holds.
func eventData(id string, event int) []byte { return fmt.Appendf(nil, "%s/%d", id, event) }
