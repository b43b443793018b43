package control

import (
	"cmp"
	"math"
)

const (
	// maxShareHealthy is the largest share of the slots that one destination may hold. A larger share makes better use of idle slots, but
	// leaves fewer to others when that destination slows down.
	maxShareHealthy = 0.75
	// maxShareUnhealthy is the same for a destination whose route is not healthy, and for all routes together that only get probes.
	maxShareUnhealthy = 0.5
	// lostAnswerFactor is the multiple of the late age above which the answer to a call is assumed lost if newer calls were answered.
	lostAnswerFactor = 1.5
)

// unhealthySlots returns how many slots may be held by one unhealthy destination, and by all routes together that only get probes.
func (s *Sender) unhealthySlots() int {
	return max(1, int(maxShareUnhealthy*float64(s.settings.Slots)))
}

// maxSlots returns how many slots the destination of route may hold.
func (s *Sender) maxSlots(route *routeState) int {
	if route.health != healthy || route.lateCalls > 0 {
		return s.unhealthySlots()
	}
	return max(1, int(maxShareHealthy*float64(s.settings.Slots)))
}

// hasSlotForProbe reports whether a probe would leave enough slots for healthy routes.
func (s *Sender) hasSlotForProbe() bool {
	return s.slotsInUse < int(maxShareHealthy*float64(s.settings.Slots)) || s.callsToUnhealthy < s.unhealthySlots()
}

// reclaimSlot counts the calls to routes that only get probes. If a message could have been sent but for lack of a slot, it cancels one
// call, the one whose loss costs least: a late call to such a route if they hold more than their share of the slots, or a call that is
// far older than usual while newer ones are answered, so that its answer was probably lost. The drawback: the cancelled call might still
// have been answered.
func (s *Sender) reclaimSlot() {
	overLimit := s.callsToUnhealthy > s.unhealthySlots()
	s.callsToUnhealthy = 0
	var victim *message
	for _, dest := range s.active {
		for _, endpoint := range dest.endpoints {
			probesOnly, maxAge := endpoint.route.probesOnly(), s.maxCallAge(endpoint, overLimit)
			for i, msg := range endpoint.inFlight {
				if probesOnly && (i == 0 || endpoint.inFlight[i-1].call != msg.call) {
					s.callsToUnhealthy++
				}
				lost := (s.now-msg.sentAt).Seconds() > maxAge && (probesOnly || msg.sentAt < endpoint.route.newestDelivered)
				if lost && !msg.cancelled && !msg.ended && (victim == nil || msg.cheaperToCancelThan(victim)) {
					victim = msg
				}
			}
		}
	}
	if s.slotStarved && victim != nil && s.settings.Cancel {
		s.cancelAttempt(victim)
	}
}

// maxCallAge returns the age in seconds above which a call to endpoint may be cancelled to free its slot.
func (s *Sender) maxCallAge(endpoint *endpointState, overLimit bool) float64 {
	if len(endpoint.inFlight) > 0 && !endpoint.route.probesOnly() {
		return lostAnswerFactor * s.lateAge(endpoint)
	}
	if len(endpoint.inFlight) > 0 && overLimit {
		return s.lateAge(endpoint)
	}
	return math.Inf(1) // a call that hangs may still be answered
}

// cheaperToCancelThan reports whether cancelling m's attempt costs less than cancelling other's: first by Effect (Safe costs least), then
// by value.
func (m *message) cheaperToCancelThan(other *message) bool {
	return cmp.Or(cmp.Compare(m.class.Effect, other.class.Effect), cmp.Compare(other.value, m.value)) > 0
}
