// Package proxy is the HTTP data path of an edge machine: it takes the requests of clients, finds their route, has turns
// of programs kept by the stores, sends each request to an endpoint and passes the answer on as it comes. What it knows
// and decides by comes through the interfaces in this file.
package proxy

import (
	"context"
	"time"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/upstream"
)

// Views tells what the control plane has brought. Its methods are called for every request and must not block.
type Views interface {
	// Routes returns the routes of the newest configuration; nil until one is known.
	Routes() *Routes
	// Ready tells whether the proxy can serve: it has a configuration, endpoints and a way to the owners of programs.
	Ready() bool
}

// Programs keeps the turns and budgets of programs. The key is the same for all turns of a program; it picks the shard.
type Programs interface {
	// Begin reserves the most that a turn may generate and returns its chain. An error means that nothing is known.
	Begin(ctx context.Context, key string, turn program.BeginTurn) (program.Result, error)
	// End settles a turn, which is safe once it returns Taken. An error means that nothing is known.
	End(ctx context.Context, key string, turn program.EndTurn) (program.Result, error)
}

// RequestInfo is what is known of a request when an endpoint is chosen for it.
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
	ProgramTimeLeft time.Duration // until the program should be over, at ArrivedAt; 0: not told
	BodyBytes       int           // that go to the endpoint
	ArrivedAt       time.Time
	Deadline        time.Time
	AttemptsUsed    int      // attempts of which an endpoint may have run one
	MayHaveRun      bool     // an earlier attempt of this request may have run
	AfterTimeout    bool     // the last attempt was given up after its choice's time-out
	Excluded        []string // endpoints that this request has been sent to
	RejectedBy      []string // those of them that promised not to run it, or had no connection free: they may get it where no other does
}

// Selection is the endpoint that an attempt goes to.
type Selection struct {
	ID             string
	Address        string
	MaxConnections int             // that this proxy may have to it; 0: no bound
	Timeout        time.Duration   // after which the attempt is given up; 0: it runs until the deadline
	Permit         upstream.Permit // withdrawn where the endpoint must not get the request any more; nil: never
	Ticket         any             // the chooser's own
}

// Rejection is Select's error when the request isn't to be sent.
type Rejection struct {
	Kind       apierror.Kind // one that promises that the request hasn't run; None: NoEndpoint
	RetryAfter time.Duration
}

// Error describes the refusal.
func (*Rejection) Error() string { return "no endpoint takes the request now" }

// Selector decides which endpoint takes an attempt. Each choice is answered by one call of Done. Its methods are called by
// many goroutines.
type Selector interface {
	// Select may wait for a place. Its error is a *Rejection, or the context's.
	Select(ctx context.Context, facts *RequestInfo) (Selection, error)
	// FirstEvent tells that the first event of a stream has come, and the X-Server-Load told with it.
	FirstEvent(choice Selection, load string)
	Done(choice Selection, outcome Outcome)
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	Succeeded          Result = iota + 1 // a whole answer with success
	ErrorResponse                        // a whole answer with a failure
	NotRun                               // the endpoint said that it didn't run the request, or takes no more connections
	NeverSent                            // no byte was sent
	IncompleteResponse                   // sent, and no whole answer came
	TimedOut                             // given up after the choice's time-out
	DeadlineExceeded                     // the request's deadline passed
	ClientClosed                         // the client closed its connection
	Cancelled                            // not sent, since the endpoint was withdrawn, the deadline passed or the client went
)

// Outcome is what an attempt showed.
type Outcome struct {
	Result      Result
	Status      int
	Took        time.Duration
	FirstByte   time.Duration // until the first byte of the body, or the first event; 0: none came
	Events      int64
	Tokens      int64
	Load        string        // X-Server-Load
	Misdirected bool          // with NotRun: another endpoint answered at the address
	RetryAfter  time.Duration // Retry-After; 0: not told
}
