package control

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// inFlightCostFactor is the share of the expected time that each message in flight to an endpoint adds to the cost of choosing it;
	// inFlightCostSeconds is a constant that each adds as well. Larger values spread messages over endpoints, smaller ones prefer the
	// fastest endpoint.
	inFlightCostFactor  = 0.5
	inFlightCostSeconds = 0.1
	// minLateLoss is the least share of its value that a late message is assumed to lose, when prices are converted to seconds.
	minLateLoss = 0.1
)

// dispatch finishes the queued messages that have too little time left, and sends as many of the others as possible, first those that
// would lose the most value by going last.
func (s *Sender) dispatch() {
	s.candidates, s.slotStarved = s.candidates[:0], false
	for _, dest := range s.active {
		drainTime, perSlot := s.drainTime(dest), s.messagesPerSlotSecond(dest)
		dest.queue = slices.DeleteFunc(dest.queue, func(msg *message) bool {
			if s.outOfTime(msg) || msg.attempts >= s.settings.MaxAttempts {
				s.finish(msg)
				return true
			}
			now, later := msg.valueAt(s.now, s.settings.ValueHalves), msg.valueAt(s.now+drainTime, s.settings.ValueHalves)
			msg.rank = (now - later) * perSlot
			s.candidates = append(s.candidates, msg)
			return false
		})
	}
	slices.SortFunc(s.candidates, func(a, b *message) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.seq, b.seq))
	})
	for _, msg := range s.candidates {
		s.sendToBest(msg)
	}
}

// messagesPerSlotSecond estimates how many messages for dest one slot delivers in a second; value is weighted by it, so that scarce slots
// go where they earn most. If no newer call has been answered, the oldest call in flight takes at least its age so far: a destination
// that has just slowed down, whatever the cause, doesn't keep the slots from the others. The drawback: messages to a destination that is
// always slow are sent later.
func (s *Sender) messagesPerSlotSecond(dest *destinationState) float64 {
	took, perCall := 1.0, 1
	if len(dest.plan.expected) > 1 && !math.IsInf(dest.plan.expected[1], 1) {
		took = dest.plan.expected[1]
	} else if s.allLatencies.total >= minTableCalls {
		took = s.allLatencies.quantile(s.bounds, 0.5)
	}
	for _, endpoint := range dest.endpoints {
		if len(endpoint.inFlight) > 0 && endpoint.inFlight[0].sentAt >= endpoint.route.newestDelivered {
			took = max(took, (s.now - endpoint.inFlight[0].sentAt).Seconds())
		}
		perCall = endpoint.kind.MaxMessagesPerCall
	}
	return float64(max(1, min(perCall, len(dest.queue)))) / took
}

// maySend reports whether msg may be sent to endpoint now. It is checked before every send and enforces the package's invariants,
// whatever the health and load. The order of the conditions matters: the last ones refill tokens and record that slots are short.
func (s *Sender) maySend(msg *message, endpoint *endpointState) bool {
	if !s.isPermitted(msg, endpoint) || !s.isNextOfKey(msg) || !s.canCall(endpoint) {
		return false
	}
	route := endpoint.route
	return !route.probesOnly() || s.hasSlotForProbe() && s.mayProbe(msg, route)
}

// isPermitted reports whether endpoint accepts messages, and whether msg can be sent to it without a second final answer, a repeated
// effect or a send after the deadline.
func (s *Sender) isPermitted(msg *message, endpoint *endpointState) bool {
	switch class := msg.class; {
	case msg.ended || msg.inFlightOn != nil || msg.attempts >= s.settings.MaxAttempts || msg.deadline <= s.now,
		endpoint.state != Ready, endpoint.route.waitUntil > s.now:
		return false
	case msg.ranOn == nil:
		return true
	case class.Effect == Unsafe, msg.isRetry && !s.hasRetryBudget(),
		class.Effect == Keyed && (s.now >= msg.ranAt+class.DedupWindow || class.DedupScope == DedupPerZone && endpoint.zone != msg.ranOn.zone ||
			class.DedupScope == DedupPerEndpoint && endpoint != msg.ranOn):
		return false
	}
	return true
}

// isNextOfKey reports whether the order of msg's key allows sending it: it must be the first message of the key, and for its first
// attempt, no attempt of another message of the key may still be running. Messages without a key or an order always pass.
func (s *Sender) isNextOfKey(msg *message) bool {
	if !msg.class.InOrder || msg.key == 0 {
		return true
	}
	queue := s.keyQueues[msg.key]
	return queue.messages[0] == msg && (msg.attempts != 0 || queue.blockedUntil <= s.now)
}

// canJoin reports whether a call to endpoint that was started in this Step has room for another message.
func (s *Sender) canJoin(endpoint *endpointState) bool {
	return endpoint.callStep == s.steps && endpoint.call != nil && endpoint.call.capacity > 0
}

// canCall reports whether a message can be sent to endpoint in a call started in this Step, or in a new call.
func (s *Sender) canCall(endpoint *endpointState) bool {
	if s.canJoin(endpoint) {
		return true
	}
	route := endpoint.route
	s.slotStarved = s.slotStarved || s.slotsInUse >= s.settings.Slots && !route.probesOnly()
	return s.slotsInUse < s.settings.Slots && endpoint.destination.callsInFlight < s.maxSlots(route) && s.paceAllows(route)
}

// sendToBest sends msg to the endpoint of least cost for which maySend holds, if there is one.
func (s *Sender) sendToBest(msg *message) {
	dest := msg.destination
	var best *endpointState
	lowest, bestStop := math.Inf(1), -1
	for _, endpoint := range dest.endpoints {
		if !s.maySend(msg, endpoint) {
			continue
		}
		s.refreshPlan(dest)
		if cost, stop := s.cost(msg, endpoint); cost < lowest {
			best, lowest, bestStop = endpoint, cost, stop
		}
	}
	if best != nil {
		s.send(msg, best, bestStop)
	}
}

// cost returns the expected time of msg in seconds if its next attempt goes to endpoint, including load and prices, and the bucket at
// whose bound the plan restarts the attempt; -1 if the endpoint's call times are not known. A random term, which shrinks with the number
// of calls made, keeps senders that know nothing yet from all starting with the same endpoint.
func (s *Sender) cost(msg *message, endpoint *endpointState) (float64, int) {
	cost, stop := 0.0, -1
	if endpoint.known() {
		attemptsLeft := s.settings.MaxAttempts - msg.attempts
		if msg.class.Effect == Unsafe {
			attemptsLeft = 1
		}
		cost, stop = endpoint.pooled.bestRestart(s.bounds, s.retryPenalty()*endpoint.destination.plan.expected[attemptsLeft-1])
	}
	cost = cost*(1+inFlightCostFactor*float64(len(endpoint.inFlight))) + s.routingPrice(msg, endpoint) +
		inFlightCostSeconds*(float64(len(endpoint.inFlight))+s.random()/(1+endpoint.own.total))
	return cost, stop
}

// routingPrice returns the price of sending msg to endpoint as the delay in seconds that would lose as much value, at most one second.
func (s *Sender) routingPrice(msg *message, endpoint *endpointState) float64 {
	price := 0.0
	if endpoint.zone != s.settings.Zone {
		price += s.settings.CrossZonePrice
	}
	if endpoint.kind.SeparateRoutes && endpoint.zone >= 0 && endpoint.zone < len(s.settings.ZoneFee) {
		price += s.settings.ZoneFee[endpoint.zone]
	}
	class := msg.class
	return min(1, price*(class.Deadline-class.LatencyTarget).Seconds()/max(1-class.LateValue, minLateLoss))
}

// send starts the next attempt of msg at endpoint; stop is the bucket at whose bound the plan restarts it.
func (s *Sender) send(msg *message, endpoint *endpointState, stop int) {
	route, timeout := endpoint.route, s.attemptTimeout(msg, endpoint, stop)
	afterPlan := msg.planTimeout // set only at a healthy route: elsewhere a retry doesn't show whether restarts help
	msg.plannedTime, msg.cancelled, msg.planTimeout = 0, false, timeout < msg.deadline-s.now && route.health == healthy
	if msg.isRetry {
		s.retryBudget--
		if expected := endpoint.destination.plan.expected; afterPlan && len(expected) > 0 && !math.IsInf(expected[len(expected)-1], 1) {
			msg.plannedTime = expected[len(expected)-1]
		}
	}
	s.dequeue(msg)
	s.joinCall(endpoint)
	msg.call, msg.inFlightOn, msg.sentAt = endpoint.call, endpoint, s.now
	msg.attempts++
	endpoint.inFlight = append(endpoint.inFlight, msg)
	route.inFlight++
	route.sends.add(s.now)
	s.emit(Action{Kind: Send, ID: msg.id, Endpoint: endpoint.id, Duration: timeout})
}

// attemptTimeout returns the time-out of an attempt of msg at endpoint: the time until the deadline, or less if the plan restarts the
// attempt at the bound of bucket stop, or if the route is ejected.
func (s *Sender) attemptTimeout(msg *message, endpoint *endpointState, stop int) time.Duration {
	timeout := msg.deadline - s.now
	window := msg.deadline // a keyed message is cut off only if a second call of the same length fits before this
	if msg.class.Effect == Keyed && msg.ranOn != nil {
		window = min(window, msg.ranAt+msg.class.DedupWindow)
	} else if msg.class.Effect == Keyed {
		window = min(window, s.now+msg.class.DedupWindow)
	}
	if msg.class.Effect != Unsafe && stop >= 0 && stop < len(s.bounds)-1 && s.hasRetryBudget() &&
		s.now+2*toDuration(s.bounds[stop]) < window {
		timeout = min(timeout, toDuration(s.bounds[stop]))
	}
	if msg.class.Effect == Safe && endpoint.route.health == ejected {
		timeout = min(timeout, toDuration(2*s.lateAge(endpoint)))
	}
	return timeout
}

// joinCall adds a message to the call to endpoint that was started in this Step, or starts a new call.
func (s *Sender) joinCall(endpoint *endpointState) {
	if s.canJoin(endpoint) {
		endpoint.call.capacity--
		endpoint.call.pending++
		if endpoint.route.health == recovering {
			endpoint.route.tokens -= batchedMessageCost
		}
		return
	}
	endpoint.callStep, endpoint.call = s.steps, &call{pending: 1, capacity: endpoint.kind.MaxMessagesPerCall - 1}
	s.slotsInUse++
	endpoint.destination.callsInFlight++
	endpoint.route.tokens--
}
