package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// sessionStart describes a session, which is a sequence of turns, at its start.
type sessionStart struct {
	session   string
	turns     int
	subagents int
	previous  string // turn that the first one continues
	history   string // prompt and output of that turn
}

// runSession runs a session until its last turn, or the first failure.
func (p *Program) runSession(ctx context.Context, start sessionStart) State {
	previous, history := start.previous, start.history
	turns := start.turns
	if p.options.Unbounded {
		turns = maxUnboundedTurns
	}
	for number := range turns {
		input := fmt.Sprintf("%s session %s turn %d\n", p.options.Name, start.session, number)
		turn, state := p.takeTurn(ctx, start.session, previous, history, input)
		if state != Finished {
			return state
		}
		previous, history = turn.Attempt, turn.Prompt+turn.Output
		if state = p.callTools(ctx, start.session); state != Finished {
			return state
		}
		if number == 0 {
			if state = p.runSubagents(ctx, start, previous, history); state != Finished {
				return state
			}
		}
	}
	return Finished
}

// runSubagents runs sessions that all continue the same turn, concurrently.
func (p *Program) runSubagents(ctx context.Context, start sessionStart, previous, history string) State {
	return runConcurrently(start.subagents, func(i int) State {
		return p.runSession(ctx, sessionStart{
			session:  fmt.Sprintf("%s.%d", start.session, i),
			turns:    p.options.SubagentTurns,
			previous: previous,
			history:  history,
		})
	})
}

// callTools makes the tool calls that follow a turn, concurrently.
func (p *Program) callTools(ctx context.Context, session string) State {
	return runConcurrently(p.options.Tools, func(int) State {
		return p.callTool(ctx, session)
	})
}

// runConcurrently calls run with each number below count, waits for all calls and returns the first state, by number, that isn't
// Finished.
func runConcurrently(count int, run func(i int) State) State {
	states := make([]State, count)
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() { states[i] = run(i) })
	}
	running.Wait()
	for _, state := range states {
		if state != Finished {
			return state
		}
	}
	return Finished
}

// takeTurn sends a turn, with retries, and returns its last attempt.
func (p *Program) takeTurn(ctx context.Context, session, previous, history, input string) (Turn, State) {
	for retries := 0; ; retries++ {
		turn := Turn{Session: session, Attempt: p.nextAttempt(), Previous: previous, Prompt: history + input}
		turn.Sent = time.Now()
		p.sendTurn(ctx, &turn, input)
		turn.Ended = time.Now()
		p.recordTurn(turn)
		state := stateOf(turn.Status, turn.Complete)
		if !p.shouldRetry(turn.Status, state) || retries == maxRetries || ctx.Err() != nil {
			return turn, state
		}
		if p.options.Backoff != nil && p.options.Backoff(ctx) != nil {
			return turn, state
		}
	}
}

// shouldRetry reports whether a program retries a turn with this status and state, under a new attempt ID. It also retries turns that
// may have run.
func (p *Program) shouldRetry(status int, state State) bool {
	switch status {
	case http.StatusPaymentRequired:
		return p.options.Unbounded
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge:
		return false
	default:
		return state != Finished
	}
}

// stateOf returns the state of a request after a response with this status.
func stateOf(status int, complete bool) State {
	switch {
	case status == http.StatusOK && complete:
		return Finished
	case status == http.StatusPaymentRequired:
		return BudgetSpent
	case status == http.StatusNotFound:
		return UnknownTurn
	default:
		return Failed
	}
}

// callTool calls a tool. A call must run at most once, so it is retried only if its status guarantees that it has not run.
func (p *Program) callTool(ctx context.Context, session string) State {
	for retries := 0; ; retries++ {
		tool := Tool{Attempt: p.nextAttempt()}
		p.sendTool(ctx, &tool, session)
		p.recordTool(tool)
		if !guaranteesNotRun(tool.Status) || retries == maxRetries || ctx.Err() != nil {
			return stateOf(tool.Status, tool.Complete)
		}
		if p.options.Backoff != nil && p.options.Backoff(ctx) != nil {
			return Failed
		}
	}
}
