package control

import (
	"math"
	"slices"
	"time"
)

// minTimeLeft is the time before its deadline at which a message is no longer sent: no call is faster.
const minTimeLeft = 60 * time.Millisecond

// message is a message that has no final answer yet, or still has an attempt in flight.
type message struct {
	id, seq     uint64 // seq numbers messages in order of arrival
	key         uint64 // 0: none
	class       *Class
	destination *destinationState
	deadline    time.Duration
	targetAt    time.Duration // the message has its full value until then
	value       float64
	rank        float64 // scratch space of shedLowestValue and dispatch

	attempts int
	ranAt    time.Duration  // when the first attempt that may have run was sent
	ranOn    *endpointState // the endpoint of that attempt; nil: no attempt may have run

	// The attempt in flight.
	inFlightOn  *endpointState // nil: no attempt in flight
	sentAt      time.Duration
	call        *call
	plannedTime float64 // seconds that the plan expected of a retry after the plan's own time-out; 0: not such a retry

	ended        bool // it has its final answer
	isRetry      bool // the next attempt uses the retry budget
	wasThrottled bool // the last attempt was throttled
	cancelled    bool // the attempt in flight has been cancelled
	planTimeout  bool // the attempt in flight has a time-out set by the restart plan
}

// keyQueue holds the messages of one key, in order of arrival.
type keyQueue struct {
	messages     []*message
	blockedUntil time.Duration // until then an attempt with unknown outcome may still be running
}

// valueAt returns what the message earns if delivered at the given time. With halves, the value of a late message decays as described at
// Settings.ValueHalves.
func (m *message) valueAt(at time.Duration, halves bool) float64 {
	class := m.class
	late := at - m.targetAt
	switch {
	case at > m.deadline:
		return 0
	case late <= 0 || class.Deadline <= class.LatencyTarget:
		return m.value
	case halves && class.LatencyTarget > 0:
		return m.value * max(math.Exp2(-float64(late)/float64(class.LatencyTarget)), class.LateValue)
	}
	return m.value * (1 - (1-class.LateValue)*float64(late)/float64(class.Deadline-class.LatencyTarget))
}

// outOfTime reports whether a queued message has less time left than the median call of its fastest endpoint. Time ends at the deadline
// or, for a keyed message that may have run, when endpoints no longer drop its repeat.
func (s *Sender) outOfTime(msg *message) bool {
	fastest := 0.0
	for _, endpoint := range msg.destination.endpoints {
		median := endpoint.pooled.quantile(s.bounds, 0.5)
		if endpoint.state == Ready && endpoint.known() && (fastest == 0 || median < fastest) {
			fastest = median
		}
	}
	need, limit := max(minTimeLeft, toDuration(fastest)), msg.deadline
	if msg.ranOn != nil && msg.class.Effect == Keyed {
		limit = min(limit, msg.ranAt+msg.class.DedupWindow)
	}
	return limit-s.now < need
}

// finish gives a message without an attempt in flight its one final answer: Refuse, with the time after which to submit it again, if that
// is safe; otherwise Fail.
func (s *Sender) finish(msg *message) {
	if msg.ranOn == nil || msg.class.Effect == Safe || msg.class.Effect == Keyed && msg.class.DedupScope == DedupPerDestination {
		retryAfter := s.drainTime(msg.destination)
		for _, route := range msg.destination.routes {
			retryAfter = max(retryAfter, route.waitUntil-s.now)
		}
		s.emit(Action{Kind: Refuse, ID: msg.id, Duration: min(retryAfter, s.settings.MaxRetryAfter)})
	} else {
		s.emit(Action{Kind: Fail, ID: msg.id})
	}
	s.closeMessage(msg)
}

// closeMessage marks msg as finally answered, and deletes it once no attempt is in flight.
func (s *Sender) closeMessage(msg *message) {
	if !msg.ended {
		msg.ended = true
		s.openMessages--
	}
	if msg.inFlightOn != nil {
		return
	}
	delete(s.messages, msg.id)
	if queue := s.keyQueues[msg.key]; queue != nil && msg.class.InOrder && msg.key != 0 {
		if queue.messages = removeMessage(queue.messages, msg); len(queue.messages) == 0 && queue.blockedUntil <= s.now {
			delete(s.keyQueues, msg.key)
		}
	}
}

func (s *Sender) applyWithdrawal(event *Event) {
	msg := s.messages[event.ID]
	if msg == nil || msg.ended {
		return
	}
	s.dequeue(msg)
	if msg.inFlightOn != nil && s.settings.Cancel {
		s.cancelAttempt(msg)
	}
	s.closeMessage(msg)
}

// cancelAttempt asks the caller to cancel msg's attempt in flight.
func (s *Sender) cancelAttempt(msg *message) {
	msg.cancelled = true
	s.emit(Action{Kind: Cancel, ID: msg.id, Attempt: msg.attempts - 1})
}

func (s *Sender) dequeue(msg *message) {
	msg.destination.queue = removeMessage(msg.destination.queue, msg)
}

// removeMessage removes msg from list in place.
func removeMessage(list []*message, msg *message) []*message {
	if i := slices.Index(list, msg); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
