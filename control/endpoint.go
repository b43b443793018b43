package control

import "time"

// endpointState is one endpoint of a destination.
type endpointState struct {
	id          uint32
	zone        int
	kind        Kind
	kindIndex   int // of Sender.kinds
	destination *destinationState
	route       *routeState
	state       State
	removedAt   time.Duration // when it left the list; 0: it is on it

	own      latencyTable // its own calls
	pooled   latencyTable // the same, filled up from farther evidence; see poolLatencies
	inFlight []*message   // the oldest first

	callStep       uint64 // the Step in which call was opened
	call           *call
	idleConnection bool // it is in Sender.idleEndpoints: it may hold an idle connection
}

// call is one slot: the messages sent to an endpoint in one Step, as far as one call carries them.
type call struct {
	pending  int // messages without an outcome
	capacity int // messages that may still join it in this Step
}

// routeState is what has one limit, one wait and one state of health.
type routeState struct {
	id          uint32 // of its endpoint, or of the first of them
	destination *destinationState

	// Health; see outlier.go.
	health           health
	healthSince      time.Duration
	failedAt         time.Duration // the last failure
	failureStreak    int           // failures in a row, and so on
	refusalStreak    int
	resetStreak      int
	neverRan         bool          // the last failure proved that the call never ran
	inFlight         int           // messages
	lateCalls        int           // those of them that are late
	newestDelivered  time.Duration // when the newest call that was delivered had been sent
	deliveries       rateMeter
	sends            rateMeter // messages
	rateBeforeOutage float64   // deliveries a second

	// Pace; see rate_limit.go and backoff.go.
	tokens     float64
	refilledAt time.Duration // of tokens; may lie ahead
	rateLimit  float64       // calls a second that this sender allows itself; 0: none is known
	waitUntil  time.Duration // nothing may be sent before, as the destination asked for
	lastWait   time.Duration // the wait that it asked for last
	retryAt    time.Duration // no attempt before, after a refusal
	refusedAt  time.Duration // the last refusal that counted

	// Limits over all senders; see shared_limits.go.
	reportedLimit     float64 // calls a second, as reported last; 0: none
	reportedRemaining float64 // share of the allowance that was left then
	reportedAt        time.Duration
	extraShare        float64 // of the limit beyond the guaranteed share
	unhealthyAtPeers  bool    // other senders have found it down
	isProbeTurn       bool    // it is this sender's turn to probe it
	ejectedByPeers    bool    // it is ejected on the word of others alone
}

// destinationState is a destination of messages: its endpoints, its routes and the messages that wait for them.
type destinationState struct {
	id            int
	endpoints     []*endpointState
	routes        []*routeState // one, or one for each endpoint
	queue         []*message    // without an attempt in flight, in the order in which they came or came back
	callsInFlight int           // slots in use
	active        bool          // it is in Sender.active
	demand        rateMeter     // messages that arrived
	maxRate       float64       // an operator's bound on calls a second from all senders; 0: none

	latencies  latencyTable // calls to all of its endpoints
	plan       restartPlan
	poolStale  bool          // there are outcomes that the endpoints' pooled tables lack
	pooledAt   time.Duration // when those were made
	solvedStep uint64        // the Step in which plan was solved
}

// destinationOf returns the destination of that number, which it makes at need.
func (s *Sender) destinationOf(id int) *destinationState {
	dest := s.destinations[id]
	if dest == nil {
		dest = &destinationState{id: id}
		s.destinations[id] = dest
		s.destinationOrder = append(s.destinationOrder, dest)
	}
	return dest
}
