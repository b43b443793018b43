package control

import "slices"

const (
	// initialCalls is how many calls all senders together may have in flight to a new route, until an answer tells of its limit.
	initialCalls = 30
	// initialCallSpacing is the time in seconds for each sender, of more than initialCalls, over which they begin with a new route.
	initialCallSpacing = 0.010
)

// applyList takes over the list, or a change of it. What has left it is only marked at first, since calls to it may be in flight.
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
		if listed.Weight > 0 && endpoint.route.reportedAt == 0 { // known before the first report
			endpoint.route.reportedLimit, endpoint.route.reportedRemaining = listed.Weight, 1
		}
	}
	s.destinationOrder = slices.DeleteFunc(s.destinationOrder, s.retireDestination)
}

// retireDestination retires dest's endpoints, and tells whether it could be forgotten itself.
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

// retireEndpoint recalls what is still on its way to an endpoint that is no longer ready, and tells whether the endpoint could be
// forgotten: it was removed longer ago than any message lives, no call to it is in flight and no wait binds.
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

// recallCalls calls back what is on its way to endpoint: a connection that comes up slowly must not carry a call to an endpoint that has
// meanwhile told to wait, or is to get nothing new.
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
	endpoint := &endpointState{id: listed.ID, zone: listed.Zone, kind: Kind{PerCall: 1}, destination: dest}
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

// newRoute returns a route that begins with endpoint. Where there are more senders than it may get calls at first, each begins at a
// time of its own.
func (s *Sender) newRoute(endpoint *endpointState) *routeState {
	route := &routeState{id: endpoint.id, destination: endpoint.destination, tokens: 1, deliveries: rateMeter{startedAt: s.now}}
	route.sends = route.deliveries
	if route.refilledAt = s.now; s.settings.Peers > initialCalls {
		route.refilledAt += toDuration(s.random() * initialCallSpacing * float64(s.settings.Peers))
	}
	return route
}
