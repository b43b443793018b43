package control

import (
	"cmp"
	"math"
)

const (
	// maxShareHealthy is the share of the slots that one destination holds at most. A larger one uses idle slots better, and leaves less
	// when that destination slows down.
	maxShareHealthy = 0.75
	// maxShareUnhealthy is the same for one whose route is not healthy, and for all routes together that get only probes.
	maxShareUnhealthy = 0.5
	// lostAnswerFactor is the multiple of the late age from which on a call is taken for lost where newer ones were answered.
	lostAnswerFactor = 1.5
)

// unhealthySlots is how many slots one unhealthy destination may hold, and all routes together that get only probes.
func (s *Sender) unhealthySlots() int {
	return max(1, int(maxShareUnhealthy*float64(s.settings.Slots)))
}

// maxSlots is how many slots the destination of route may hold.
func (s *Sender) maxSlots(route *routeState) int {
	if route.health != healthy || route.lateCalls > 0 {
		return s.unhealthySlots()
	}
	return max(1, int(maxShareHealthy*float64(s.settings.Slots)))
}

// hasSlotForProbe tells whether a probe leaves enough slots to healthy routes.
func (s *Sender) hasSlotForProbe() bool {
	return s.slotsInUse < int(maxShareHealthy*float64(s.settings.Slots)) || s.callsToUnhealthy < s.unhealthySlots()
}

// reclaimSlot guards the slots: routes that get only probes together hold at most half. While a message waits for nothing but a slot, one
// call is called off, that which loses least by it: one that is late at such a route when these hold too much, or one that lasts far
// longer than its time where newer ones are answered (an answer lost on the way). It hurts where that call would have been answered yet.
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

// maxCallAge is the age in seconds from which on a call to endpoint may be called off for its slot.
func (s *Sender) maxCallAge(endpoint *endpointState, overLimit bool) float64 {
	if len(endpoint.inFlight) > 0 && !endpoint.route.probesOnly() {
		return lostAnswerFactor * s.lateAge(endpoint)
	}
	if len(endpoint.inFlight) > 0 && overLimit {
		return s.lateAge(endpoint)
	}
	return math.Inf(1) // a call that hangs may be answered at its end
}

// cheaperToCancelThan tells whether calling off m loses less than calling off other: first by what a repeat may do, then by value.
func (m *message) cheaperToCancelThan(other *message) bool {
	return cmp.Or(cmp.Compare(m.class.Effect, other.class.Effect), cmp.Compare(other.value, m.value)) > 0
}
