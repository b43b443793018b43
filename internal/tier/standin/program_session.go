package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// sessionStart is what a line of turns begins with.
type sessionStart struct {
	session   string
	turns     int
	subagents int
	previous  string // turn that the first one continues
	history   string // everything up to there
}

// runSession plays one line of turns.
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
		if state := p.callTools(ctx, start.session); state != Finished {
			return state
		}
		if number == 0 {
			if state := p.runSubagents(ctx, start, previous, history); state != Finished {
				return state
			}
		}
	}
	return Finished
}

// runSubagents plays lines that go on from the same turn, alongside one another.
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

// callTools calls the tools of one turn, all at once.
func (p *Program) callTools(ctx context.Context, session string) State {
	return runConcurrently(p.options.Tools, func(int) State {
		return p.callTool(ctx, session)
	})
}

// runConcurrently gives the first state, by number, that is not Finished.
func runConcurrently(count int, play func(i int) State) State {
	states := make([]State, count)
	var playing sync.WaitGroup
	for i := range count {
		playing.Go(func() { states[i] = play(i) })
	}
	playing.Wait()
	for _, state := range states {
		if state != Finished {
			return state
		}
	}
	return Finished
}

// takeTurn sends a turn until it succeeds, as often as a program does.
func (p *Program) takeTurn(ctx context.Context, session, previous, history, input string) (Turn, State) {
	for resends := 0; ; resends++ {
		turn := Turn{Session: session, Attempt: p.nextAttempt(), Previous: previous, Prompt: history + input}
		turn.Sent = time.Now()
		p.sendTurn(ctx, &turn, input)
		turn.Ended = time.Now()
		p.recordTurn(turn)
		state := stateOf(turn.Status, turn.Complete)
		if !p.shouldRetry(turn.Status, state) || resends == maxRetries || ctx.Err() != nil {
			return turn, state
		}
		if p.options.Backoff != nil && p.options.Backoff(ctx) != nil {
			return turn, state
		}
	}
}

// shouldRetry says whether a program sends a turn again after such an end.
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

func stateOf(status int, whole bool) State {
	switch {
	case status == http.StatusOK && whole:
		return Finished
	case status == http.StatusPaymentRequired:
		return BudgetSpent
	case status == http.StatusNotFound:
		return UnknownTurn
	default:
		return Failed
	}
}

// callTool calls a tool; a call that surely did not run is made again.
func (p *Program) callTool(ctx context.Context, session string) State {
	for resends := 0; ; resends++ {
		tool := Tool{Attempt: p.nextAttempt()}
		p.sendTool(ctx, &tool, session)
		p.recordTool(tool)
		if !guaranteesNotRun(tool.Status) || resends == maxRetries || ctx.Err() != nil {
			return stateOf(tool.Status, tool.Complete)
		}
		if p.options.Backoff != nil && p.options.Backoff(ctx) != nil {
			return Failed
		}
	}
}
