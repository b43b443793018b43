package control

import "slices"

// releaseConnection records that endpoint may have an idle connection. If a connect to an endpoint of the same kind has failed recently,
// it closes the connection instead: idle connections of many senders can fill the connection table of an endpoint that accepts few, and a
// sender that can't connect takes that for an outage. This also covers full connection tables during restarts. The cost is extra
// handshakes after an ordinary crash of an endpoint.
func (s *Sender) releaseConnection(endpoint *endpointState) {
	switch idle := s.settings.ConnIdle.Seconds(); {
	case len(endpoint.inFlight) > 0 || idle == 0:
	case s.kinds[endpoint.kindIndex].connectionsShortUntil > s.now:
		s.emit(Action{Kind: Close, Endpoint: endpoint.id})
		endpoint.idleConnection = false
	case !endpoint.idleConnection:
		endpoint.idleConnection, s.idleEndpoints = true, append(s.idleEndpoints, endpoint)
	}
}

// recordConnectionShortage handles a failed connect: idle connections to endpoints of the same kind are closed now, and each connection
// to that kind is closed after use for the next two idle times. By then, connections that were idle elsewhere have timed out.
func (s *Sender) recordConnectionShortage(endpoint *endpointState) {
	s.kinds[endpoint.kindIndex].connectionsShortUntil = s.now + 2*s.settings.ConnIdle
	s.idleEndpoints = slices.DeleteFunc(s.idleEndpoints, func(idle *endpointState) bool {
		if idle.idleConnection && idle.kindIndex == endpoint.kindIndex {
			s.releaseConnection(idle)
		}
		return !idle.idleConnection
	})
}
