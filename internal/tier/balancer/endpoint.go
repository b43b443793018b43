package balancer

import (
	"time"

	"mastusher/internal/tier/model"
)

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	model         *model.Endpoint
	service       *service
	hash          uint64  // of its ID
	zonePenalty   float64 // s; 0 in the proxy's own zone
	tieBreak      float64 // [0, 1), differs from proxy to proxy
	shortlistCost float64 // by which it was shortlisted
	listed        bool
	lastListedAt  time.Duration // when the list last named it
	ready         bool          // listed, not draining, and of a version that takes requests
	ofTarget      bool          // of the version being rolled out
	warmUpUntil   time.Duration
	stats         [callKinds]*endpointStats
	inFlight      []*Attempt // in the order of Sent
	load          load
	health        health
	pace          tokenPace
}

// accepting reports whether new attempts may go there: it is ready and not in backoff.
func (e *endpoint) accepting(now time.Duration) bool {
	return e.ready && now >= e.health.backoffUntil
}

// unhealthy reports whether only probes should go there: it is ejected, or its calls are overdue.
func (e *endpoint) unhealthy() bool { return e.health.ejected || e.health.overdue != [callKinds]bool{} }
