package balancer

import (
	"time"

	"mastusher/internal/tier/model"
)

// endpoint is all that the scheduler knows of one incarnation of an endpoint.
type endpoint struct {
	model      *model.Endpoint
	service    *service
	hash       uint64  // of its ID
	zoneCharge float64 // s
	tieBreak   float64 // [0, 1), differs from proxy to proxy
	rank       float64 // by which it came on the shortlist
	listed     bool
	listedAt   time.Duration // when the list last held it
	ready      bool          // it may take requests
	target     bool          // it is of the version being rolled out
	coldUntil  time.Duration
	tracks     [callKinds]*track
	out        []*Attempt // in the order in which they went out
	load       load
	health     health
	pace       pace
}

// takes tells whether something new may be sent to it.
func (e *endpoint) takes(now time.Duration) bool {
	return e.ready && now >= e.health.waitUntil
}

// suspect tells whether only probes should go to it.
func (e *endpoint) suspect() bool { return e.health.failing || e.health.late != [callKinds]bool{} }
