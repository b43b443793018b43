package balancer

import (
	"time"

	"mastusher/internal/tier/model"
)

// Route is what the scheduler needs to know of a request's route.
type Route struct {
	Name         string
	Priority     int // 0 is the most urgent
	Kind         model.RouteKind
	MaxAttempts  int  // endpoints that one request may be sent to
	UsesAffinity bool // an endpoint works faster on what it has lately seen
}

// Request is one request that needs an endpoint, for its first attempt or for another one.
type Request struct {
	Service      string
	Route        Route
	Retryable    bool // it may run more than once
	TimeLeft     time.Duration
	AttemptsUsed int // attempts that count against the route's tries

	// MayHaveRun tells that an earlier attempt may have run: only a retryable request is sent then, and its attempt
	// draws on the retry budget.
	MayHaveRun bool
	// AfterTimeout tells that the last attempt was cut by a planned time-out.
	AfterTimeout bool
	// AffordableAttempts is how many more attempts its program's share of the budget pays for, this one included; 0: not bounded.
	AffordableAttempts int
	// Excluded holds the IDs of endpoints that it must not be sent to, as it has been sent there before.
	Excluded []string

	AffinityKey  uint64 // hash of its program, session or subject; 0: none
	PrefixTokens int    // that an endpoint which has lately served this affinity needn't read again
	NewTokens    int    // to be read in any case
	OutTokens    int    // to be generated
}

// Decision says where an attempt goes and how long it may last, or why it doesn't go out.
type Decision struct {
	Endpoint      *model.Endpoint // nil: refused; what it points to never changes
	Timeout       time.Duration   // of a stream: until its first event, unless UntilDeadline
	UntilDeadline bool            // the attempt lasts as long as the request may, and Timeout is that time
	Rejection     Rejection
	Attempt       Attempt // to be handed to Sent
}

// RejectionKind says why a request isn't sent.
type RejectionKind uint8

// The kinds of refusal.
const (
	NotRejected       RejectionKind = iota
	DeadlineTooShort                // less time is left than the chosen endpoint's median
	NoEndpoint                      // no endpoint may take it
	Saturated                       // all that may take it are full, or refuse for now
	AttemptsExhausted               // its tries, its program's budget or the retry budget are used up
)

var refusalText = [...]string{"not refused", "hopeless", "no endpoint", "full", "spent"}

// String names the kind.
func (k RejectionKind) String() string { return refusalText[k] }

// Rejection says why a request isn't sent, and after which time it is worth coming again.
type Rejection struct {
	Kind       RejectionKind
	RetryAfter time.Duration
}

// OutcomeKind says how an attempt ended.
type OutcomeKind uint8

// The kinds of outcome.
const (
	Success            OutcomeKind = iota
	ErrorStatus                    // the endpoint answered with a failure of its own
	NotRun                         // it proved that the attempt has not run and never will
	IncompleteResponse             // the connection broke
	TimedOut                       // the decision's time-out fired
	Cancelled                      // the client has gone, or the attempt was called off
	ConnectFailure                 // no connection came up: nothing was sent
	Misdirected                    // the address answered that it isn't this endpoint
	NotSent                        // it was called off before anything was sent, and says nothing of the endpoint
)

// Load is what an endpoint tells of itself; without MaxInFlight nothing was told.
type Load struct {
	Running, Queued, Capacity int
}

// Outcome is the end of an attempt.
type Outcome struct {
	Kind    OutcomeKind
	Elapsed time.Duration // from Sent to the end
	Load    Load
	Tokens  int // generated
}

// Attempt is one attempt between Select and Done. The caller takes it from the Decision to a place of its own, and hands
// the same pointer to Sent, FirstEvent and Done.
type Attempt struct {
	endpoint *endpoint
	kind     callKind
	route    *routeWork
	affinity uint64
	tokens   float64 // to be read
	out      float64 // to be generated
	scale    float64 // predicted work in units
	expected time.Duration
	sentAt   time.Duration
	firstAt  time.Duration
	sent     bool
	answered bool // its first event has come
	probe    bool
	resend   bool // it draws on the retry budget
	restart  bool // it follows a planned time-out
}

// callKind tells the tables of an endpoint apart.
type callKind uint8

const (
	plainCall callKind = iota
	streamCall
	callKinds
)

func kindOf(k model.RouteKind) callKind {
	if k == model.Streaming {
		return streamCall
	}
	return plainCall
}
