package control

import "time"

// endpointState is one endpoint of a destination.
type endpointState struct {
	id          uint32
	zone        int
	kind        Kind
	kindIndex   int // index into Sender.kinds
	destination *destinationState
	route       *routeState
	state       State
	removedAt   time.Duration // when it left the list; 0: it is on the list

	own      latencyTable // calls to this endpoint
	pooled   latencyTable // own, supplemented with calls to other endpoints; see poolLatencies
	inFlight []*message   // oldest first

	callStep       uint64 // the Step in which call was started
	call           *call
	idleConnection bool // in Sender.idleEndpoints: there may be an idle connection
}

// call is a call in flight, which takes one slot. It carries messages sent to an endpoint in the same Step.
type call struct {
	pending  int // messages without an outcome
	capacity int // messages that may still be added in this Step
}

// routeState is the unit of one rate limit, one wait and one state of health: a destination, or one of its endpoints.
type routeState struct {
	id          uint32 // id of the route's first endpoint
	destination *destinationState

	// Health; see outlier.go.
	health           health
	healthSince      time.Duration
	failedAt         time.Duration // time of the last failure
	failureStreak    int           // consecutive failures
	refusalStreak    int           // consecutive refusals
	resetStreak      int           // consecutive connection resets
	neverRan         bool          // the last failure proved that the call had no effect
	inFlight         int           // messages in flight
	lateCalls        int           // messages in flight for longer than lateAge and sent no earlier than newestDelivered
	newestDelivered  time.Duration // sending time of the newest delivered message
	deliveries       rateMeter
	sends            rateMeter // messages sent
	rateBeforeOutage float64   // deliveries a second

	// Rate limit and backoff; see rate_limit.go and backoff.go.
	tokens     float64
	refilledAt time.Duration // when tokens were last refilled; if in the future, nothing is sent before
	rateLimit  float64       // calls a second that this sender allows itself; 0: no limit known
	waitUntil  time.Duration // the route asked for nothing to be sent before
	lastWait   time.Duration // length of the last wait that the route asked for
	retryAt    time.Duration // no attempt before this, after a refusal
	refusedAt  time.Duration // the last refusal that was counted; see backOff

	// Limits that apply to all senders together; see shared_limits.go.
	reportedLimit     float64 // calls a second, as last reported; 0: none
	reportedRemaining float64 // share of the limit that remained at that report
	reportedAt        time.Duration
	extraShare        float64 // share of the limit beyond the guaranteed share
	unhealthyAtPeers  bool    // other senders found the route down
	isProbeTurn       bool    // it is this sender's turn to probe the route
	ejectedByPeers    bool    // ejected only on the evidence of other senders
}

// destinationState is a destination with its endpoints, its routes and its queued messages.
type destinationState struct {
	id            int
	endpoints     []*endpointState
	routes        []*routeState // a single one, or one for each endpoint
	queue         []*message    // messages without an attempt in flight, in the order in which they were queued
	callsInFlight int           // slots in use
	active        bool          // it is in Sender.active
	demand        rateMeter     // arrived messages
	maxRate       float64       // the operator's bound on calls a second from all senders together; 0: none

	latencies  latencyTable // calls to all endpoints of the destination
	plan       restartPlan
	poolStale  bool          // outcomes have been recorded since the endpoints' pooled tables were computed
	pooledAt   time.Duration // when the pooled tables were computed
	solvedStep uint64        // the Step in which plan was solved
}

// destinationOf returns the destination with this number, and creates it if necessary.
func (s *Sender) destinationOf(id int) *destinationState {
	dest := s.destinations[id]
	if dest == nil {
		dest = &destinationState{id: id}
		s.destinations[id] = dest
		s.destinationOrder = append(s.destinationOrder, dest)
	}
	return dest
}
