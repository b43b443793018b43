package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// ProgramOptions are the options of a program: a session of turns with tool calls between them, and sessions of subagents.
type ProgramOptions struct {
	Name           string // prefix of the IDs of all its attempts; must be unique
	Address        string // of the proxy
	Host           string // Host header of its requests
	TurnPath       string
	ToolPath       string
	Model          string        // default "": no X-Model header
	Turns          int           // of the main session
	Tools          int           // concurrent calls after each turn
	Subagents      int           // sessions that continue the first turn, concurrently
	SubagentTurns  int           // turns of each subagent
	MaxTokens      int64         // that a turn may generate
	Budget         int64         // in tokens, of all turns; default 0: none
	Timeout        time.Duration // of the program, sent as Finish-Ms; default 0: none
	RequestTimeout time.Duration // of each request, sent as X-Time-Left-Ms; default 0: none
	// Stateful: a turn sends its new input and the attempt of the turn before it. Otherwise it sends the complete prompt.
	Stateful bool
	// Unbounded: sessions have maxUnboundedTurns turns, and a 402 is retried like other failures.
	Unbounded bool
	// ContinueFrom is a turn of an earlier program that this program's first turn continues; without an Attempt: none.
	ContinueFrom Turn
	// Dial opens connections; default nil: net.Dialer, to Address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Backoff waits before each retry; an error ends the retries. Default nil: no wait.
	Backoff func(ctx context.Context) error
}

// maxRetries bounds the retries of a failed turn or tool call.
const maxRetries = 2

// maxUnboundedTurns bounds the sessions of an unbounded program that nothing stops.
const maxUnboundedTurns = 10_000

// State is how a program, a session or a request ended.
type State string

// The states.
const (
	Finished    State = "finished"
	BudgetSpent State = "budget_spent" // a 402
	UnknownTurn State = "not_known"    // a 404
	Failed      State = "failed"
)

// Turn is one attempt at a turn.
type Turn struct {
	Session  string
	Attempt  string // X-Attempt-Id
	Previous string // attempt of the turn that it continues
	Status   int    // 0: no response
	Prompt   string // that the endpoint must receive
	Output   string // data of the events received, each followed by a line feed
	Events   int    // received
	Complete bool
	Problem  string // error in the response itself; empty: none
	Sent     time.Time
	Ended    time.Time
}

// Tool is one attempt at a tool call. Its fields have the same meaning as in Turn.
type Tool struct {
	Attempt  string
	Status   int
	Complete bool
	Problem  string
}

// Outcome is how a program ended, with all its attempts.
type Outcome struct {
	State State
	Turns []Turn // in the order in which they ended
	Tools []Tool // likewise
}

// Events returns the number of events received, including those of incomplete responses.
func (o Outcome) Events() int {
	sum := 0
	for _, turn := range o.Turns {
		sum += turn.Events
	}
	return sum
}

// Program is an agent program that runs once against a proxy.
type Program struct {
	options ProgramOptions
	client  *http.Client

	mutex       sync.Mutex // guards all fields below
	lastAttempt int        // number of the newest attempt
	outcome     Outcome
}

// NewProgram returns a program that has not started.
func NewProgram(options ProgramOptions) *Program {
	return &Program{
		options: options,
		client: &http.Client{
			// A connection serves one request: http.Transport itself retries some requests when a connection that was
			// idle turns out to be closed, but each attempt must be sent at most once.
			Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: options.Dial},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run runs the program until it ends by itself, by its Timeout or by ctx.
func (p *Program) Run(ctx context.Context) Outcome {
	if p.options.Timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, p.options.Timeout)
		defer cancel()
		ctx = bounded
	}
	from := p.options.ContinueFrom
	state := p.runSession(ctx, sessionStart{
		session:   "0",
		turns:     p.options.Turns,
		subagents: p.options.Subagents,
		previous:  from.Attempt,
		history:   from.Prompt + from.Output,
	})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outcome.State = state
	return p.outcome
}

// nextAttempt returns a new X-Attempt-Id.
func (p *Program) nextAttempt() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastAttempt++
	return fmt.Sprintf("%s-%d", p.options.Name, p.lastAttempt)
}

// recordTurn adds an ended turn to the outcome.
func (p *Program) recordTurn(turn Turn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outcome.Turns = append(p.outcome.Turns, turn)
}

// recordTool adds an ended tool call to the outcome.
func (p *Program) recordTool(tool Tool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outcome.Tools = append(p.outcome.Tools, tool)
}
