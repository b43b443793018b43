package balancer

import (
	"time"

	"mastusher/internal/tier/model"
)

// endpoint is the state of one endpoint. One that returns after its eviction, or in another service, starts with a new state.
type endpoint struct {
	model         *model.Endpoint
	service       *service
	hash          uint64  // of the ID
	zonePenalty   float64 // in seconds; 0 in the proxy's own zone
	tieBreak      float64 // in [0, 1); differs from proxy to proxy
	shortlistCost float64 // sort key of shortlistBest
	listed        bool
	lastListedAt  time.Duration // when it was last on the list
	ready         bool          // listed, not draining, and its version takes requests
	isTarget      bool          // its version is being rolled out
	warmUpUntil   time.Duration
	stats         [callKinds]*endpointStats
	inFlight      []*Attempt // in the order they were sent
	load          load
	health        health
	pace          tokenPace
}

// accepting reports whether the endpoint may get new attempts: it is ready and not in backoff.
func (e *endpoint) accepting(now time.Duration) bool {
	return e.ready && now >= e.health.backoffUntil
}

// unhealthy reports whether the endpoint should get only probes: it is ejected, or its calls are overdue.
func (e *endpoint) unhealthy() bool { return e.health.ejected || e.health.overdue != [callKinds]bool{} }
