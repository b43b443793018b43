package fleettest

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

// Properties of endpoints and of the platform's list.
const (
	tokensPerEvent  = 3
	eventInterval   = 12 * time.Millisecond
	platformAddress = "platform:80"
	listDelay       = 800 * time.Millisecond // until the platform's list shows a change
)

// endpointRequest is a request as it reaches an endpoint.
type endpointRequest struct {
	ID        string
	Expected  string // id of the endpoint that must run it; empty: any
	Body      []byte
	MaxTokens int64
}

// endpointRejection is an answer that says that the request hasn't run.
type endpointRejection struct{ Status int }

// endpointEvent is one event of an answer.
type endpointEvent struct {
	Data []byte
	Run  int // number of the run that produced it
	Last bool
}

// endpoint is one incarnation of an endpoint, with its own id.
type endpoint struct {
	process      *process
	id           string
	service      string
	neverAnswers bool // it runs requests, but never answers
}

// openEndpoint returns a function that starts an incarnation with a new id, which belongs to the service.
func openEndpoint(service *string) func(p *process) (handler, error) {
	return func(p *process) (handler, error) {
		f := p.machine.fleet
		f.incarnations++
		e := &endpoint{process: p, id: fmt.Sprintf("i-%d", f.incarnations), service: *service}
		f.listLater(e)
		return e, nil
	}
}

func (e *endpoint) handleMessage(string, any) {}

func (e *endpoint) handleDatagram(string, any) {}

// serve implements handler.
func (e *endpoint) serve(call *exchange, request any) {
	asked, ok := request.(endpointRequest)
	if !ok {
		return
	}
	if asked.Expected != "" && asked.Expected != e.id {
		call.finish(endpointRejection{Status: http.StatusMisdirectedRequest})
		return
	}
	f := e.process.machine.fleet
	number := f.history.addRun(run{ID: asked.ID, Endpoint: e.id, Service: e.service, Body: asked.Body, At: f.loop.Now()})
	if e.neverAnswers {
		return
	}
	canceled := false
	call.onCallerCanceled = func() { canceled = true }
	events := eventsOf(asked.ID, asked.MaxTokens)
	e.next(call, asked.ID, number, 1, events, &canceled)
}

// next sends the remaining events, from the given one on, at intervals.
func (e *endpoint) next(call *exchange, id string, number, event, events int, canceled *bool) {
	e.process.after(eventInterval, func() {
		if *canceled {
			return
		}
		answer := endpointEvent{Data: eventData(id, event), Run: number, Last: event == events}
		if answer.Last {
			call.finish(answer)
			return
		}
		call.send(answer)
		e.next(call, id, number, event+1, events, canceled)
	})
}

// eventsOf returns the number of events in a request's answer.
func eventsOf(id string, maxTokens int64) int {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return 1 + int(hash.Sum32()%uint32(max(1, maxTokens/tokensPerEvent)))
}

// eventData returns the data of one event of a request's answer.
func eventData(id string, event int) []byte { return fmt.Appendf(nil, "%s/%d", id, event) }
