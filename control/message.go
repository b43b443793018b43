package control

import (
	"math"
	"slices"
	"time"
)

// minTimeLeft is the time before its deadline from which on a message is not sent any more: no call takes less.
const minTimeLeft = 60 * time.Millisecond

// message is one message that has not had its final answer, or has an attempt in flight.
type message struct {
	id, seq     uint64 // seq: in the order of arrival
	key         uint64 // 0: none
	class       *Class
	destination *destinationState
	deadline    time.Duration
	targetAt    time.Duration // its value is complete until then
	value       float64
	rank        float64 // scratch: of shedLowestValue and dispatch

	attempts int
	ranAt    time.Duration  // when the first attempt that may have run was sent
	ranOn    *endpointState // and where; nil: none may have run

	// The attempt in flight.
	inFlightOn  *endpointState // nil: none is
	sentAt      time.Duration
	call        *call
	plannedTime float64 // seconds that the plan expected of it, if it is a retry after a time-out of the plan's; 0: it is not

	ended        bool // it has its final answer
	isRetry      bool // the next attempt draws on the retry budget
	wasThrottled bool // the last attempt was
	cancelled    bool // the attempt in flight has been called off
	planTimeout  bool // the attempt in flight has the restart plan's time-out
}

// keyQueue is the messages of one key, in the order of their arrival.
type keyQueue struct {
	messages     []*message
	blockedUntil time.Duration // an attempt in doubt may be running until then
}

// valueAt is what a message earns if it is delivered at that time; with halves it falls as Settings.ValueHalves says.
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

// outOfTime tells whether a queued message has less time left, until its deadline or the end of its window, than the median call of its
// fastest endpoint.
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
		limit = min(limit, msg.ranAt+msg.class.Memory)
	}
	return limit-s.now < need
}

// finish gives a message that has no attempt in flight its one final answer: a refusal where it may be handed in again, with the time
// after which that is worth while, else a failure.
func (s *Sender) finish(msg *message) {
	if msg.ranOn == nil || msg.class.Effect == Safe || msg.class.Effect == Keyed && msg.class.Group == GroupAll {
		retryAfter := s.drainTime(msg.destination)
		for _, route := range msg.destination.routes {
			retryAfter = max(retryAfter, route.waitUntil-s.now)
		}
		s.emit(Action{Kind: Refuse, ID: msg.id, For: min(retryAfter, s.settings.MaxRetryAfter)})
	} else {
		s.emit(Action{Kind: Fail, ID: msg.id})
	}
	s.closeMessage(msg)
}

// closeMessage notes that msg has its final answer, and forgets it once no attempt is in flight.
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

// cancelAttempt asks for the end of the attempt that msg has in flight.
func (s *Sender) cancelAttempt(msg *message) {
	msg.cancelled = true
	s.emit(Action{Kind: Cancel, ID: msg.id, Attempt: msg.attempts - 1})
}

func (s *Sender) dequeue(msg *message) {
	msg.destination.queue = removeMessage(msg.destination.queue, msg)
}

// removeMessage takes msg out of list, in place.
func removeMessage(list []*message, msg *message) []*message {
	if i := slices.Index(list, msg); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
