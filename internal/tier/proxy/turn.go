package proxy

import (
	"context"
	"net/http"
	"strconv"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
)

// turn is a program's turn that the stores know of.
type turn struct {
	key            string // of the shard that keeps it
	id             string
	stateful       bool
	tokensPerEvent int64
	reserved       bool   // Begin was called: the stores may hold a reservation
	committed      bool   // the end was given over
	bytesForwarded int64  // bytes of the answer passed on
	withheld       []byte // the last byte of the answer, held back until the stores have its end
}

// newTurn returns the turn that a request is; nil if it is none. Endpoints refuse a request without an id.
func newTurn(header http.Header, route *model.Route, facts *RequestInfo) (*turn, int64) {
	if route.Kind != model.Streaming || facts.AttemptID == "" {
		return nil, 0
	}
	told := first(header, headerBudget)
	if told == "" && !route.Stateful {
		return nil, 0
	}
	budget, _ := strconv.ParseInt(told, 10, 64)
	return &turn{
		key:            shardKey(facts),
		id:             facts.AttemptID,
		stateful:       route.Stateful,
		tokensPerEvent: tokensPerEvent(facts.Service),
	}, max(budget, 0)
}

// tokensPerEvent returns how many tokens one event of a service's streams holds.
func tokensPerEvent(service *model.Service) int64 {
	if service.Engine == nil {
		return 1
	}
	return max(service.Engine.TokensPerEvent, 1)
}

// shardKey returns what picks the shard of a turn: its program, or else its line of turns.
func shardKey(facts *RequestInfo) string {
	switch {
	case facts.Program != "":
		return facts.Program
	case facts.Session != "":
		return facts.Session
	}
	return facts.AttemptID
}

// begin has the turn's budget reserved and returns its chain, or why it isn't to be sent, with the error if the
// stores gave no verdict.
func (t *turn) begin(ctx context.Context, programs Programs, facts *RequestInfo, budget int64, input []byte) (apierror.Kind, []byte, error) {
	t.reserved = true
	result, err := programs.Begin(ctx, t.key, program.BeginTurn{
		Turn:       t.id,
		Program:    facts.Program,
		Budget:     budget,
		MaxTokens:  facts.MaxOutputTokens,
		Remembered: t.stateful,
		Previous:   facts.Previous,
		KeepForS:   facts.Route.RetentionS,
		Input:      input,
	})
	if err != nil {
		return apierror.StateUnavailable, nil, err
	}
	switch result.Verdict {
	case program.Accepted:
		return apierror.None, result.Chain, nil
	case program.BudgetExceeded:
		t.reserved = false
		return apierror.BudgetExhausted, nil, nil
	case program.TurnNotFound:
		t.reserved = false
		return apierror.TurnNotFound, nil, nil
	}
	return apierror.StateUnavailable, nil, nil
}

// end returns what the stores are told at the end of the turn.
func (t *turn) end(whole bool, scanner *eventScanner) program.EndTurn {
	end := program.EndTurn{Turn: t.id, Complete: whole, Tokens: scanner.count * t.tokensPerEvent}
	if whole && t.stateful {
		end.Output = scanner.output
	}
	return end
}
