package simulation

import (
	"net/http"

	"mastusher/internal/tier/standin"
)

// endpointTrouble is what goes wrong at the endpoints.
type endpointTrouble struct {
	share float64 // of requests
	fault standin.Fault
}

// endpointFault draws what goes wrong with a request.
func (f *Fleet) endpointFault(*http.Request) standin.Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.random.Float64() < f.endpoints.share {
		return f.endpoints.fault
	}
	return standin.NoFault
}

// troubleEndpoints sets what goes wrong at the endpoints.
func (f *Fleet) troubleEndpoints(trouble endpointTrouble) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.endpoints = trouble
}
