package proxy

import (
	"context"
	"time"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/upstream"
)

// Views provides the state that the control plane distributes. Its methods are called for every request and must not block.
type Views interface {
	// Routes returns the routes of the newest configuration, or nil until there is one.
	Routes() *Routes
	// Ready reports whether the proxy can serve: it has a configuration, endpoints and a connection to the leaders of programs.
	Ready() bool
}

// Programs stores the turns and budgets of programs. The key selects the shard and is the same for all turns of a program.
type Programs interface {
	// Begin reserves the maximum number of tokens that a turn may generate and returns its chain, the inputs and outputs of the turns
	// before it. After an error the reservation may or may not have been made.
	Begin(ctx context.Context, key string, turn program.BeginTurn) (program.Result, error)
	// End commits the usage of a turn, which is durable once End returns Accepted. After an error the usage may or may not have been
	// committed.
	End(ctx context.Context, key string, turn program.EndTurn) (program.Result, error)
}

// RequestInfo describes a request to the Selector.
type RequestInfo struct {
	Route           *model.Route
	Service         *model.Service
	AttemptID       string
	Subject         string // X-Subject cookie
	Program         string
	Session         string
	PreviousTurn    string
	Model           string
	PromptPrefix    string // X-Prompt-Prefix
	PromptTokens    int64
	MaxOutputTokens int64
	SentTokens      int64         // that the client was sent by earlier attempts, and that the next one doesn't generate again
	ProgramTimeLeft time.Duration // from ArrivedAt until the program should end; 0: unknown
	BodyBytes       int           // size of the body that endpoints get
	ArrivedAt       time.Time
	Deadline        time.Time
	AttemptsUsed    int      // attempts that an endpoint may have run
	MayHaveRun      bool     // AttemptsUsed > 0
	AfterTimeout    bool     // the last attempt exceeded its selection's timeout
	Excluded        []string // IDs of the endpoints that the request has been sent to
	RejectedBy      []string // those in Excluded that did not run the request or had no free connection: used again if no other accepts it
}

// Selection is the endpoint chosen for an attempt.
type Selection struct {
	ID             string
	Address        string
	MaxConnections int             // limit on this proxy's connections to it; 0: unlimited
	Timeout        time.Duration   // after which the attempt is abandoned; 0: only the deadline applies
	Permit         upstream.Permit // revoked once the endpoint must not get the request any more; nil: never
	Ticket         any             // opaque state of the Selector
}

// RejectionError is returned by Select if the request is not to be sent.
type RejectionError struct {
	Kind       apierror.Kind // a kind that guarantees that the request has not run; None: NoEndpoint
	RetryAfter time.Duration // 0: unknown
}

// Error implements error.
func (*RejectionError) Error() string { return "no endpoint accepts the request now" }

// Selector selects the endpoint of each attempt. Each successful Select is followed by one call of Done. The methods are called
// concurrently.
type Selector interface {
	// Select may wait for capacity. It returns a *RejectionError or the context's error.
	Select(ctx context.Context, info *RequestInfo) (Selection, error)
	// FirstEvent reports that the first event of a stream has arrived. load is the response's X-Server-Load.
	FirstEvent(selection Selection, load string)
	// Done reports the end of an attempt.
	Done(selection Selection, outcome Outcome)
}

// Result is the way an attempt ended.
type Result int

// The results of an attempt.
const (
	Succeeded          Result = iota + 1 // complete response with a 2xx status
	ErrorResponse                        // complete response with a status other than 2xx
	NotRun                               // the endpoint declared that it did not run the request, or all connections to it are in use
	NeverSent                            // no byte was sent
	IncompleteResponse                   // sent, but no complete response was received
	TimedOut                             // abandoned at the selection's timeout
	DeadlineExceeded                     // the request's deadline passed
	ClientClosed                         // the client closed its connection
	OutOfMemory                          // abandoned, since the proxy had no memory for the response
	Cancelled                            // not sent: the endpoint was withdrawn, the deadline passed or the client closed its connection
)

// Outcome is the result of an attempt, with its measurements.
type Outcome struct {
	Result      Result
	Status      int
	Elapsed     time.Duration
	FirstByte   time.Duration // until the first byte of the body, or the first event; 0: none was received
	Events      int64
	Tokens      int64
	Load        string        // X-Server-Load
	Misdirected bool          // with NotRun: the address belongs to another endpoint
	RetryAfter  time.Duration // Retry-After; 0: none
}
