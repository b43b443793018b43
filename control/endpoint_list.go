package control

import "slices"

const (
	// initialCalls is how many calls all senders together may have in flight to a new route before any answer tells its limit.
	initialCalls = 30
	// initialCallSpacing is the time in seconds for each sender over which the first calls to a new route are spread, if there are more
	// than initialCalls senders.
	initialCallSpacing = 0.010
)

// applyList applies a complete endpoint list or a change of it. An endpoint that has left the list is only marked Removed at first, since
// calls to it may be in flight.
func (s *Sender) applyList(event *Event) {
	s.subscribeAt, s.subscribeBackoff = 0, 0
	if event.Complete {
		for _, dest := range s.destinationOrder {
			for _, endpoint := range dest.endpoints {
				endpoint.state = Removed
			}
		}
	}
	for _, listed := range event.Endpoints {
		endpoint := s.endpoints[listed.ID]
		if endpoint == nil {
			endpoint = s.addEndpoint(listed)
		}
		endpoint.state, endpoint.destination.poolStale, endpoint.destination.maxRate = listed.State, true, listed.MaxRate
		if listed.ListedLimit > 0 && endpoint.route.reportedAt == 0 { // the weight counts until the first report
			endpoint.route.reportedLimit, endpoint.route.reportedRemaining = listed.ListedLimit, 1
		}
	}
	s.destinationOrder = slices.DeleteFunc(s.destinationOrder, s.retireDestination)
}

// retireDestination retires dest's endpoints, and reports whether dest itself has been deleted.
func (s *Sender) retireDestination(dest *destinationState) bool {
	dest.endpoints = slices.DeleteFunc(dest.endpoints, s.retireEndpoint)
	dest.routes = slices.DeleteFunc(dest.routes, func(route *routeState) bool {
		return !slices.ContainsFunc(dest.endpoints, func(e *endpointState) bool { return e.route == route })
	})
	if len(dest.endpoints) > 0 || len(dest.queue) > 0 || dest.active {
		return false
	}
	delete(s.destinations, dest.id)
	return true
}

// retireEndpoint recalls the unwritten attempts to an endpoint that is no longer ready, and reports whether the endpoint has been
// deleted. That happens once it was removed longer ago than any message lives, no call to it is in flight and its route's wait is over.
func (s *Sender) retireEndpoint(endpoint *endpointState) bool {
	if endpoint.state != Ready {
		s.recallCalls(endpoint)
	}
	switch {
	case endpoint.state != Removed:
		endpoint.removedAt = 0
	case endpoint.removedAt == 0:
		endpoint.removedAt = s.now
	case s.now-endpoint.removedAt > s.longestDeadline && len(endpoint.inFlight) == 0 && endpoint.route.waitUntil <= s.now:
		delete(s.endpoints, endpoint.id)
		s.idleEndpoints = slices.DeleteFunc(s.idleEndpoints, func(idle *endpointState) bool { return idle == endpoint })
		return true
	}
	return false
}

// recallCalls recalls the attempts in flight to endpoint that have not been written yet. Otherwise a connection that is slow to open
// could carry a call to an endpoint that has meanwhile asked for a wait or must not get new calls.
func (s *Sender) recallCalls(endpoint *endpointState) {
	for _, msg := range endpoint.inFlight {
		s.emit(Action{Kind: Recall, ID: msg.id})
	}
}

func (s *Sender) addEndpoint(listed Endpoint) *endpointState {
	dest := s.destinationOf(listed.Destination)
	if len(dest.endpoints) == 0 {
		dest.demand.startedAt = s.now
		dest.latencies.counts = make([]float64, len(s.bounds))
	}
	endpoint := &endpointState{id: listed.ID, zone: listed.Zone, kind: Kind{MaxMessagesPerCall: 1}, destination: dest}
	if listed.Kind >= 0 && listed.Kind < len(s.settings.Kinds) {
		endpoint.kind, endpoint.kindIndex = s.settings.Kinds[listed.Kind], listed.Kind
	}
	endpoint.own = latencyTable{counts: make([]float64, len(s.bounds)), decayedAt: s.now}
	if endpoint.kind.SeparateRoutes || len(dest.endpoints) == 0 {
		endpoint.route = s.newRoute(endpoint)
		dest.routes = append(dest.routes, endpoint.route)
	} else {
		endpoint.route = dest.endpoints[0].route
	}
	dest.endpoints = append(dest.endpoints, endpoint)
	s.endpoints[listed.ID] = endpoint
	return endpoint
}

// newRoute returns a route whose first endpoint is endpoint. If there are more senders than the route may get calls at first, each sender
// starts after a random delay.
func (s *Sender) newRoute(endpoint *endpointState) *routeState {
	route := &routeState{id: endpoint.id, destination: endpoint.destination, tokens: 1, deliveries: rateMeter{startedAt: s.now}}
	route.sends = route.deliveries
	if route.refilledAt = s.now; s.settings.Peers > initialCalls {
		route.refilledAt += toDuration(s.random() * initialCallSpacing * float64(s.settings.Peers))
	}
	return route
}
