package simulation

import (
	"net/http"
	"time"

	"mastusher/internal/tier/standin"
)

// endpointFaults is the fault that endpoints inject into some requests.
type endpointFaults struct {
	rate  float64 // of requests
	fault standin.Fault
}

// drawEndpointFault draws the fault of one request.
func (f *Fleet) drawEndpointFault(*http.Request) standin.Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.random.Float64() < f.endpointFaults.rate {
		return f.endpointFaults.fault
	}
	return standin.NoFault
}

// setEndpointFaults sets which fault endpoints inject, and how often.
func (f *Fleet) setEndpointFaults(faults endpointFaults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.endpointFaults = faults
}

// failRequests has the endpoints inject a fault into some requests.
func (d *day) failRequests(lasts time.Duration, fault standin.Fault) {
	d.setEndpointFaults(endpointFaults{rate: faultyRequestRate, fault: fault})
	d.after(lasts, func() { d.setEndpointFaults(endpointFaults{}) })
}

func (d *day) setAckLossRate(share float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ackLossRate = share
}
