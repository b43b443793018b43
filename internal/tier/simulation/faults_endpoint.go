package simulation

import (
	"net/http"
	"time"

	"mastusher/internal/tier/standin"
)

// endpointFaults says which fault the endpoints inject, and into which share of the requests.
type endpointFaults struct {
	rate  float64 // share of the requests
	fault standin.Fault
}

// drawEndpointFault decides at random whether an endpoint fails a request, and how.
func (f *Fleet) drawEndpointFault(*http.Request) standin.Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.random.Float64() < f.endpointFaults.rate {
		return f.endpointFaults.fault
	}
	return standin.NoFault
}

// setEndpointFaults sets the fault that the endpoints inject.
func (f *Fleet) setEndpointFaults(faults endpointFaults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.endpointFaults = faults
}

// failRequests makes the endpoints fail some requests for a while.
func (d *day) failRequests(duration time.Duration, fault standin.Fault) {
	d.setEndpointFaults(endpointFaults{rate: faultyRequestRate, fault: fault})
	d.after(duration, func() { d.setEndpointFaults(endpointFaults{}) })
}

func (d *day) setAckLossRate(rate float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ackLossRate = rate
}
