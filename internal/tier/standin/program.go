package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// ProgramOptions describes a program: lines of turns with calls of tools between them.
type ProgramOptions struct {
	Name           string
	Address        string // of the proxy
	Host           string
	TurnPath       string
	ToolPath       string
	Model          string
	Turns          int // of the main line; a program without end: as many as it gets
	Tools          int // calls after each turn, all at once
	Subagents      int // lines that begin after the first turn
	SubagentTurns  int // turns of each of them
	MaxTokens      int64
	Budget         int64 // 0: none
	Timeout        time.Duration
	RequestTimeout time.Duration // that a request waits
	// Stateful: a turn brings its new input and the name of the turn before; otherwise it brings everything.
	Stateful  bool
	Unbounded bool
	// ContinueFrom is a turn of an earlier program that the first one goes on from; without an Attempt: none.
	ContinueFrom Turn
	// Dial opens a program's connections; nil: those of the system, to Address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Backoff waits before a failed turn is sent again; nil: it doesn't wait.
	Backoff func(ctx context.Context) error
}

// resends of a failed turn.
const maxRetries = 2

// maxUnboundedTurns bounds a program without end that nobody stops.
const maxUnboundedTurns = 10_000

// State is how a program or a request ended.
type State string

// The states.
const (
	Finished    State = "finished"
	BudgetSpent State = "budget_spent" // a 402
	UnknownTurn State = "not_known"    // a 404
	Failed      State = "failed"
)

// Turn is one try of a turn.
type Turn struct {
	Session  string
	Attempt  string
	Previous string // the turn that it goes on from
	Status   int    // 0: no answer
	Prompt   string // that an endpoint is to get
	Output   string // data of the events that came, each with a line feed behind
	Events   int
	Complete bool
	Problem  string // what is wrong with the answer itself
	Sent     time.Time
	Ended    time.Time
}

// Tool is one call of a tool.
type Tool struct {
	Attempt  string
	Status   int
	Complete bool
	Problem  string
}

// Outcome is what became of a program.
type Outcome struct {
	State State
	Turns []Turn // in the order of their ends
	Tools []Tool
}

// Events gives the events that came, also of answers that broke off.
func (o Outcome) Events() int {
	sum := 0
	for _, turn := range o.Turns {
		sum += turn.Events
	}
	return sum
}

// Program plays one program against a proxy.
type Program struct {
	options ProgramOptions
	client  *http.Client

	mutex   sync.Mutex
	next    int // number of the next attempt
	outcome Outcome
}

// NewProgram gives one that has not begun.
func NewProgram(options ProgramOptions) *Program {
	return &Program{
		options: options,
		client: &http.Client{
			// A connection serves one request: a transport sends some requests again by itself when a connection that
			// has rested turns out to be closed, and each attempt is to be sent once.
			Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: options.Dial},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run runs the program to its end.
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

// nextAttempt gives a new X-Attempt-Id.
func (p *Program) nextAttempt() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.next++
	return fmt.Sprintf("%s-%d", p.options.Name, p.next)
}

func (p *Program) recordTurn(turn Turn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outcome.Turns = append(p.outcome.Turns, turn)
}

func (p *Program) recordTool(tool Tool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outcome.Tools = append(p.outcome.Tools, tool)
}

// Check compares what a program saw with what ran, and gives a sentence for each thing that breaks a rule.
func (o Outcome) Check(ledger *RunLog) []string {
	var problems []string
	note := func(format string, values ...any) { problems = append(problems, fmt.Sprintf(format, values...)) }
	for _, turn := range o.Turns {
		runs := ledger.Runs(turn.Attempt)
		if turn.Problem != "" {
			note("turn %s: %s", turn.Attempt, turn.Problem)
		}
		if len(runs) > 1 {
			note("turn %s ran %d times", turn.Attempt, len(runs))
		}
		if turn.Complete && turn.Status == http.StatusOK && len(runs) == 0 {
			note("turn %s was answered and did not run", turn.Attempt)
		}
		if guaranteesNotRun(turn.Status) && len(runs) > 0 {
			note("turn %s got %d and ran", turn.Attempt, turn.Status)
		}
		for _, run := range runs {
			if string(run.Body) != turn.Prompt {
				note("turn %s ran with %q, not with %q", turn.Attempt, run.Body, turn.Prompt)
			}
		}
	}
	for _, tool := range o.Tools {
		if tool.Problem != "" {
			note("tool %s: %s", tool.Attempt, tool.Problem)
		}
		if runs := ledger.Runs(tool.Attempt); len(runs) > 1 || guaranteesNotRun(tool.Status) && len(runs) > 0 {
			note("tool %s got %d and ran %d times", tool.Attempt, tool.Status, len(runs))
		}
	}
	return problems
}

// guaranteesNotRun says whether a status promises that the request has not run and never will.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusPaymentRequired, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
