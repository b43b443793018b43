package control

import "slices"

// releaseConnection notes that endpoint has a connection that may be idle, and closes it where a connect to an endpoint of that kind has
// failed of late: the idle connections of many senders fill an endpoint that takes few, and whoever is refused one takes it for an
// outage. It covers full tables of connections at restarts too; the cost is handshakes after a plain crash.
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

// recordConnectionShortage takes a failed connect: what is idle at endpoints of the same kind is closed at once, and all such connections
// for two idle times from now on. By then what was idle has closed by itself.
func (s *Sender) recordConnectionShortage(endpoint *endpointState) {
	s.kinds[endpoint.kindIndex].connectionsShortUntil = s.now + 2*s.settings.ConnIdle
	s.idleEndpoints = slices.DeleteFunc(s.idleEndpoints, func(idle *endpointState) bool {
		if idle.idleConnection && idle.kindIndex == endpoint.kindIndex {
			s.releaseConnection(idle)
		}
		return !idle.idleConnection
	})
}
