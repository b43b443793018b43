package proxy

import (
	"context"
	"time"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/upstream"
)

// Views gives access to what the control plane has distributed. Its methods are called for every request and must not block.
type Views interface {
	// Routes returns the routes of the newest configuration; nil until one is known.
	Routes() *Routes
	// Ready reports whether the proxy can serve: it has a configuration, endpoints and a connection to the leaders of programs.
	Ready() bool
}

// Programs keeps the turns and budgets of programs. The key is the same for all turns of a program; it selects the shard.
type Programs interface {
	// Begin reserves the most tokens that a turn may generate and returns its chain. After an error the reservation may or may not
	// have been made.
	Begin(ctx context.Context, key string, turn program.BeginTurn) (program.Result, error)
	// End commits the usage of a turn, which is durable once it returns Accepted. After an error it may or may not have been.
	End(ctx context.Context, key string, turn program.EndTurn) (program.Result, error)
}

// RequestInfo is what is known of a request when an endpoint is selected for it.
type RequestInfo struct {
	Route           *model.Route
	Service         *model.Service
	AttemptID       string
	Subject         string // X-Subject
	Program         string
	Session         string
	Previous        string
	Model           string
	Prefix          string // X-Prompt-Prefix
	PromptTokens    int64
	MaxOutputTokens int64
	ProgramTimeLeft time.Duration // at ArrivedAt, until the program should end; 0: unknown
	BodyBytes       int           // that go to the endpoint
	ArrivedAt       time.Time
	Deadline        time.Time
	AttemptsUsed    int      // attempts that an endpoint may have run
	MayHaveRun      bool     // AttemptsUsed isn't 0
	AfterTimeout    bool     // the last attempt was abandoned at its selection's timeout
	Excluded        []string // IDs of the endpoints that this request has been sent to
	RejectedBy      []string // those of them that promised not to run it, or had no connection free: they may get it where no other does
}

// Selection is the endpoint that an attempt goes to.
type Selection struct {
	ID             string
	Address        string
	MaxConnections int             // that this proxy may have to it; 0: no bound
	Timeout        time.Duration   // after which the attempt is abandoned; 0: it lasts until the deadline
	Permit         upstream.Permit // revoked where the endpoint must not get the request any more; nil: never
	Ticket         any             // the Selector's own
}

// RejectionError is Select's error when the request isn't to be sent.
type RejectionError struct {
	Kind       apierror.Kind // one that promises that the request hasn't run; None: NoEndpoint
	RetryAfter time.Duration // 0: unknown
}

// Error describes the rejection.
func (*RejectionError) Error() string { return "no endpoint takes the request now" }

// Selector selects the endpoint of each attempt. Each selection is followed by one call of Done. Its methods are called by many
// goroutines.
type Selector interface {
	// Select may wait for capacity. Its error is a *RejectionError, or the context's.
	Select(ctx context.Context, info *RequestInfo) (Selection, error)
	// FirstEvent reports that the first event of a stream has come, with its X-Server-Load.
	FirstEvent(selection Selection, load string)
	// Done reports the end of an attempt.
	Done(selection Selection, outcome Outcome)
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	Succeeded          Result = iota + 1 // a complete response with success
	ErrorResponse                        // a complete response with a failure
	NotRun                               // the endpoint promised that it didn't run the request, or takes no more connections
	NeverSent                            // no byte was sent
	IncompleteResponse                   // sent, and no complete response came
	TimedOut                             // abandoned at the selection's timeout
	DeadlineExceeded                     // the request's deadline passed
	ClientClosed                         // the client closed its connection
	Cancelled                            // not sent, since the endpoint was withdrawn, the deadline passed or the client closed
)

// Outcome is what an attempt showed of its endpoint.
type Outcome struct {
	Result      Result
	Status      int
	Took        time.Duration
	FirstByte   time.Duration // until the first byte of the body, or the first event; 0: none came
	Events      int64
	Tokens      int64
	Load        string        // X-Server-Load
	Misdirected bool          // with NotRun: another endpoint answered at the address
	RetryAfter  time.Duration // Retry-After; 0: none
}
