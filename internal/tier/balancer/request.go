package balancer

import (
	"time"

	"mastusher/internal/tier/model"
)

// Route is what the balancer needs to know of a request's route.
type Route struct {
	Name         string // names the statistics of its work
	Priority     int    // 0 is the most urgent
	Kind         model.RouteKind
	MaxAttempts  int  // endpoints that one request may be sent to; below 1: one
	UsesAffinity bool // an endpoint is faster on what it has lately served
}

// Request is one request that needs an endpoint, for its first attempt or for a retry.
type Request struct {
	Service      string
	Route        Route
	Retryable    bool // it may run more than once
	TimeLeft     time.Duration
	AttemptsUsed int // attempts that count against MaxAttempts

	// MayHaveRun says that an earlier attempt may have run: the request is then sent only if it is retryable, and its attempt
	// draws on the retry budget.
	MayHaveRun bool
	// AfterTimeout says that the last attempt was abandoned at its planned timeout.
	AfterTimeout bool
	// AffordableAttempts is how many more attempts its program's budget pays for, this one included; 0: not bounded.
	AffordableAttempts int
	// Excluded holds the IDs of endpoints that it must not be sent to, as it has been sent there before.
	Excluded []string

	AffinityKey  uint64 // hash of its program, session or subject; 0: none
	PrefixTokens int    // prompt tokens that an endpoint which has lately served this affinity has in its cache
	NewTokens    int    // prompt tokens that any endpoint has to read
	OutTokens    int    // to be generated
}

// Decision says where an attempt goes and how long it may last, or why the request is rejected.
type Decision struct {
	Endpoint      *model.Endpoint // nil: rejected; what it points to never changes
	Timeout       time.Duration   // of a stream: until its first event, unless UntilDeadline
	UntilDeadline bool            // the attempt lasts as long as the request may, and Timeout is that time
	Rejection     Rejection
	Attempt       Attempt // to be handed to Sent
}

// RejectionKind says why a request isn't sent.
type RejectionKind uint8

// The kinds of rejection.
const (
	NotRejected       RejectionKind = iota
	DeadlineTooShort                // less time is left than the selected endpoint's median
	NoEndpoint                      // no endpoint may take it
	Saturated                       // all that may take it are at capacity or in backoff
	AttemptsExhausted               // its attempts, its program's budget or the retry budget are used up
)

// rejectionText has the text of each kind, as logs and tests show it.
var rejectionText = [...]string{"not rejected", "deadline too short", "no endpoint", "saturated", "attempts exhausted"}

// String names the kind.
func (k RejectionKind) String() string { return rejectionText[k] }

// Rejection says why a request isn't sent, and after which time a client should come again.
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
	NotRun                         // the endpoint promised that the attempt has not run and never will
	IncompleteResponse             // the connection broke before the response was complete
	TimedOut                       // the decision's timeout fired
	Cancelled                      // the client has gone, or the attempt was cancelled
	ConnectFailure                 // no connection came up: nothing was sent
	Misdirected                    // the address answered that it isn't this endpoint
	NotSent                        // it was cancelled before anything was sent, and says nothing of the endpoint
)

// Load is an endpoint's report of its own load; without a Capacity there was no report.
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

// Attempt is one attempt between Select and Done. The caller must copy it from the Decision to a place of its own, and hand
// the same pointer to Sent, FirstEvent and Done.
type Attempt struct {
	endpoint        *endpoint
	kind            callKind
	route           *routeWork
	routeName       string
	affinityKey     uint64
	promptTokens    float64
	outputTokens    float64
	workScale       float64 // predicted work in units
	expected        time.Duration
	sentAt          time.Duration
	firstEventAt    time.Duration
	sent            bool // between Sent and Done
	answered        bool // its first event has come
	probe           bool
	usesRetryBudget bool
	afterTimeout    bool // it follows an attempt that was abandoned at its planned timeout
}

// callKind selects one of an endpoint's tables.
type callKind uint8

const (
	plainCall callKind = iota
	streamCall
	callKinds
)

// kindOf returns the kind of a route's calls.
func kindOf(k model.RouteKind) callKind {
	if k == model.Streaming {
		return streamCall
	}
	return plainCall
}
