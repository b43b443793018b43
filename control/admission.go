package control

import "time"

const (
	// initialQuotaTokens is what a tenant's token bucket starts with; the first refill cuts it to the bucket's capacity.
	initialQuotaTokens = 1e18
	// minDrainRate is the least rate, in deliveries a second, that estimates of waiting times assume of a destination.
	minDrainRate = 0.5
)

// tenantQuota is the token bucket of one tenant at this sender. It holds one second's worth of messages, but at least one.
type tenantQuota struct {
	rate       float64 // messages a second through this sender
	tokens     float64
	refilledAt time.Duration
	total      float64   // messages a second through all senders
	extraShare float64   // share of total granted beyond the guaranteed share, where quotas are shared
	demand     rateMeter // arrived messages
}

// allow counts a message sent at the given time, and reports whether it is within the quota.
func (q *tenantQuota) allow(at time.Duration) bool {
	at = max(at, q.refilledAt)
	q.demand.add(at)
	q.tokens, q.refilledAt = min(max(1, q.rate), q.tokens+q.rate*(at-q.refilledAt).Seconds()), at
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// applyArrival queues a new message. It ignores a message whose id is already known or whose class is not configured.
func (s *Sender) applyArrival(event *Event) {
	if s.messages[event.ID] != nil || event.Class < 0 || event.Class >= len(s.settings.Classes) {
		return
	}
	dest := s.destinationOf(event.Destination)
	msg := s.newMessage(event, dest)
	s.messages[msg.id] = msg
	s.openMessages++
	if msg.class.InOrder && msg.key != 0 {
		queue := s.keyQueues[msg.key]
		if queue == nil {
			queue = &keyQueue{}
			s.keyQueues[msg.key] = queue
		}
		queue.messages = append(queue.messages, msg)
	}
	dest.queue = append(dest.queue, msg)
	dest.demand.add(s.now)
	if !dest.active {
		dest.active, s.active = true, append(s.active, dest)
	}
	// Shed a thirty-second of MaxOpen early, so that the caller's store never has to turn a message away itself.
	if s.settings.MaxOpen > 0 && s.openMessages > s.settings.MaxOpen-1-s.settings.MaxOpen/32 {
		s.shedLowestValue()
	}
}

// newMessage returns the message of an Arrived event. Its value is reduced if its tenant is over quota.
func (s *Sender) newMessage(event *Event, dest *destinationState) *message {
	s.lastSeq++
	class := &s.settings.Classes[event.Class]
	msg := &message{id: event.ID, seq: s.lastSeq, class: class, key: event.Key,
		destination: dest, deadline: event.Deadline, value: class.Value, attempts: event.Attempt}
	msg.targetAt = msg.deadline - class.Deadline + class.LatencyTarget
	if s.settings.MarksResubmitted && !event.Resubmitted { // new: a deadline shorter than its class's doesn't make its latency target earlier
		msg.targetAt = max(msg.targetAt, min(s.now+class.LatencyTarget, msg.deadline))
	}
	sent := min(s.now, msg.deadline-class.Deadline) // the sending time; messages restored after a restart were sent earlier
	if event.Tenant >= 0 && event.Tenant < len(s.quotas) && !s.quotas[event.Tenant].allow(sent) {
		msg.value *= s.settings.OverQuotaValue
	}
	if event.MayHaveRun {
		if msg.ranAt, msg.ranOn, msg.isRetry = event.RanAt, s.endpoints[event.Endpoint], true; msg.ranOn == nil {
			msg.ranOn = &endpointState{id: event.Endpoint, zone: -1, destination: dest}
		}
	}
	return msg
}

// shedLowestValue refuses the queued message of least value, so that the caller's store never turns away a more valuable one. Value is
// taken at the expected time of sending, but at the deadline at the latest: beyond it every message would be worth 0. A message that may
// have run is never shed.
func (s *Sender) shedLowestValue() {
	var lowest *message
	for _, dest := range s.active {
		drainTime := s.drainTime(dest)
		for _, msg := range dest.queue {
			msg.rank = msg.valueAt(min(s.now+drainTime, msg.deadline), s.settings.ValueHalves)
			if msg.ranOn == nil && (lowest == nil || msg.rank < lowest.rank) {
				lowest = msg
			}
		}
	}
	if lowest != nil {
		s.dequeue(lowest)
		s.finish(lowest)
	}
}

// drainTime estimates how long it takes to send all messages queued for dest.
func (s *Sender) drainTime(dest *destinationState) time.Duration {
	rate := 0.0
	for _, route := range dest.routes {
		rate += max(route.deliveries.rate(s.now), route.rateBeforeOutage)
	}
	return toDuration(float64(len(dest.queue)+1) / max(rate, minDrainRate))
}
