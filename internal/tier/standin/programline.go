package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lineStart is what a line of turns begins with.
type lineStart struct {
	session   string
	turns     int
	subAgents int
	previous  string // turn that the first one goes on from
	history   string // everything up to there
}

// line plays one line of turns.
func (p *Program) line(ctx context.Context, start lineStart) State {
	previous, history := start.previous, start.history
	turns := start.turns
	if p.options.Endless {
		turns = maxEndlessTurns
	}
	for number := range turns {
		input := fmt.Sprintf("%s session %s turn %d\n", p.options.Name, start.session, number)
		turn, state := p.turn(ctx, start.session, previous, history, input)
		if state != Finished {
			return state
		}
		previous, history = turn.Attempt, turn.Prompt+turn.Output
		if state := p.tools(ctx, start.session); state != Finished {
			return state
		}
		if number == 0 {
			if state := p.subAgents(ctx, start, previous, history); state != Finished {
				return state
			}
		}
	}
	return Finished
}

// subAgents plays lines that go on from the same turn, alongside one another.
func (p *Program) subAgents(ctx context.Context, start lineStart, previous, history string) State {
	return together(start.subAgents, func(i int) State {
		return p.line(ctx, lineStart{
			session:  fmt.Sprintf("%s.%d", start.session, i),
			turns:    p.options.SubTurns,
			previous: previous,
			history:  history,
		})
	})
}

// tools calls the tools of one turn, all at once.
func (p *Program) tools(ctx context.Context, session string) State {
	return together(p.options.Tools, func(int) State {
		return p.tool(ctx, session)
	})
}

// together gives the first state, by number, that is not Finished.
func together(count int, play func(i int) State) State {
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

// turn sends a turn until it succeeds, as often as a program does.
func (p *Program) turn(ctx context.Context, session, previous, history, input string) (Turn, State) {
	for resends := 0; ; resends++ {
		turn := Turn{Session: session, Attempt: p.attempt(), Previous: previous, Prompt: history + input}
		turn.Sent = time.Now()
		p.sendTurn(ctx, &turn, input)
		turn.Ended = time.Now()
		p.noteTurn(turn)
		state := stateOf(turn.Status, turn.Whole)
		if !p.again(turn.Status, state) || resends == maxResends || ctx.Err() != nil {
			return turn, state
		}
		if p.options.Pause != nil && p.options.Pause(ctx) != nil {
			return turn, state
		}
	}
}

// again says whether a program sends a turn again after such an end.
func (p *Program) again(status int, state State) bool {
	switch status {
	case http.StatusPaymentRequired:
		return p.options.Endless
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
		return NotKnown
	default:
		return Failed
	}
}

// tool calls a tool; a call that surely did not run is made again.
func (p *Program) tool(ctx context.Context, session string) State {
	for resends := 0; ; resends++ {
		tool := Tool{Attempt: p.attempt()}
		p.sendTool(ctx, &tool, session)
		p.noteTool(tool)
		if !promise(tool.Status) || resends == maxResends || ctx.Err() != nil {
			return stateOf(tool.Status, tool.Whole)
		}
		if p.options.Pause != nil && p.options.Pause(ctx) != nil {
			return Failed
		}
	}
}
