package balancer

import (
	"time"

	"mastusher/internal/tier/model"
)

// Route holds the settings of a request's route that the balancer uses.
type Route struct {
	Name         string // key of the route's statistics
	Priority     int    // 0 is the most urgent
	Kind         model.RouteKind
	MaxAttempts  int  // attempts that one request may make; below 1: one
	UsesAffinity bool // endpoints are faster on an AffinityKey that they have recently served
}

// Request is a request that needs an endpoint, for its first attempt or for a retry.
type Request struct {
	Service      string
	Route        Route
	Retryable    bool // the request may run more than once
	TimeLeft     time.Duration
	AttemptsUsed int // attempts that count against MaxAttempts

	// MayHaveRun says that an earlier attempt may have run. The request is then sent only if it is retryable, and the attempt is
	// charged to the retry budget.
	MayHaveRun bool
	// AfterTimeout says that the last attempt was abandoned at its planned timeout.
	AfterTimeout bool
	// AffordableAttempts is how many more attempts the budget of the request's program pays for, including this one; 0: no limit.
	AffordableAttempts int
	// Excluded holds the IDs of endpoints that the request must not be sent to, as it has been sent there before.
	Excluded []string

	AffinityKey    uint64 // hash of the request's program, session or subject; 0: none
	PrefixTokens   int    // prompt tokens cached by an endpoint that has recently served this AffinityKey
	UncachedTokens int    // prompt tokens that no endpoint has cached
	OutputTokens   int    // tokens to be generated
}

// Decision says to which endpoint an attempt is sent and how long it may last, or why the request is rejected.
type Decision struct {
	Endpoint      *model.Endpoint // nil if rejected; must not be modified
	Timeout       time.Duration   // of a stream: until its first event, unless UntilDeadline is set
	UntilDeadline bool            // the attempt may last until the request's deadline; Timeout is the time left until then
	Rejection     Rejection
	Attempt       Attempt // to be copied and passed to Sent
}

// RejectionKind is the reason for a rejection.
type RejectionKind uint8

// The kinds of rejection.
const (
	NotRejected       RejectionKind = iota
	DeadlineTooShort                // less time is left than the selected endpoint's median
	NoEndpoint                      // no endpoint may take the request
	Saturated                       // all endpoints that may take the request are at capacity or in backoff, or MaxInFlight is reached
	AttemptsExhausted               // the request's time or attempts, its program's budget or the retry budget are used up
)

// rejectionText holds the name of each kind, by kind.
var rejectionText = [...]string{"not rejected", "deadline too short", "no endpoint", "saturated", "attempts exhausted"}

// String returns the name of the kind.
func (k RejectionKind) String() string { return rejectionText[k] }

// Rejection says why a request isn't sent, and after which time the client should retry.
type Rejection struct {
	Kind       RejectionKind
	RetryAfter time.Duration
}

// OutcomeKind is the way in which an attempt ended.
type OutcomeKind uint8

// The kinds of outcome.
const (
	Success            OutcomeKind = iota
	ErrorStatus                    // the endpoint answered that it failed
	NotRun                         // the endpoint answered that the attempt has not run and never will
	IncompleteResponse             // the connection broke before the response was complete
	TimedOut                       // the attempt reached the Timeout of its Decision
	Cancelled                      // the client has gone, or the attempt was cancelled after it was sent
	ConnectFailure                 // no connection could be established, so nothing was sent
	Misdirected                    // the server at the address answered that it isn't this endpoint
	NotSent                        // the attempt was cancelled before anything was sent, which says nothing about the endpoint
	Discarded                      // the caller dropped the response for a reason of its own, which says nothing about the endpoint either
)

// Load is an endpoint's report of its own load. Capacity 0 means that there was no report.
type Load struct {
	Running, Queued, Capacity int
}

// Outcome describes the end of an attempt.
type Outcome struct {
	Kind         OutcomeKind
	Elapsed      time.Duration // from Sent to the end
	Load         Load
	OutputTokens int // generated tokens
}

// Attempt is the balancer's record of an attempt. The caller must copy it from the Decision, and pass a pointer to the same copy to
// Sent, FirstEvent and Done.
type Attempt struct {
	endpoint        *endpoint
	kind            callKind
	route           *routeWork
	routeName       string
	affinityKey     uint64
	promptTokens    float64
	outputTokens    float64
	workScale       float64       // predicted work as a multiple of workUnit
	expected        time.Duration // expected time by the plan, in units of work
	deadline        time.Duration // of the request
	sentAt          time.Duration
	firstEventAt    time.Duration
	sent            bool // between Sent and Done
	firstEventSeen  bool // its first event has arrived
	probe           bool
	refresh         bool // sent though less time is left than the endpoint's median
	usesRetryBudget bool
	afterTimeout    bool // the previous attempt was abandoned at its planned timeout
}

// callKind distinguishes plain calls from streams; an endpoint has a table for each.
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
