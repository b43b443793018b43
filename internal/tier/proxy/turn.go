package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
)

const (
	// beginTimeoutDivisor gives the fraction of a request's time within which its turn must begin. After that the request is rejected,
	// so that its client has time to retry.
	beginTimeoutDivisor = 4
	// minBeginTimeout is the minimum timeout for beginning a turn, unless the request has less time left.
	minBeginTimeout = 300 * time.Millisecond
)

// turn is a program's turn that the program stores keep.
type turn struct {
	key            string // selects the shard
	id             string
	stateful       bool // its input and output become part of the program's history
	tokensPerEvent int64
	reserved       bool // Begin was called: the stores may hold a reservation
	committed      bool // the commit has been started
}

// newTurn returns the turn of a request and its program's budget in tokens, or nil if the request is not a turn. A request without an
// id is none: endpoints refuse it.
func newTurn(header http.Header, info *RequestInfo) (*turn, int64) {
	if info.Route.Kind != model.Streaming || info.AttemptID == "" {
		return nil, 0
	}
	value := firstValue(header, headerBudget)
	if value == "" && !info.Route.Stateful {
		return nil, 0
	}
	budget, _ := strconv.ParseInt(value, 10, 64)
	return &turn{
		key:            shardKey(info),
		id:             info.AttemptID,
		stateful:       info.Route.Stateful,
		tokensPerEvent: tokensPerEvent(info.Service),
	}, max(budget, 0)
}

// tokensPerEvent returns the number of tokens in one event of a service's streams.
func tokensPerEvent(service *model.Service) int64 {
	if service.Engine == nil {
		return 1
	}
	return max(service.Engine.TokensPerEvent, 1)
}

// shardKey returns the key that selects the shard of a turn: its program, session or id, whichever is set first.
func shardKey(info *RequestInfo) string {
	switch {
	case info.Program != "":
		return info.Program
	case info.Session != "":
		return info.Session
	}
	return info.AttemptID
}

// begin reserves the turn's budget and returns its chain. If the turn must not be sent, it returns the kind of error, and the cause if
// the program stores gave no verdict.
func (t *turn) begin(ctx context.Context, programs Programs, info *RequestInfo, budget int64, input []byte) (apierror.Kind, []byte, error) {
	t.reserved = true
	if !t.stateful {
		input = nil
	}
	result, err := programs.Begin(ctx, t.key, program.BeginTurn{
		Turn:       t.id,
		Program:    info.Program,
		Budget:     budget,
		MaxTokens:  info.MaxOutputTokens,
		Remembered: t.stateful,
		Previous:   info.PreviousTurn,
		KeepForS:   info.Route.RetentionS,
		Input:      input,
		TimeLeftMs: max(time.Until(info.Deadline).Milliseconds(), 1),
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
	case program.StorageFull:
		t.reserved = false
		return apierror.StorageFull, nil, nil
	}
	return apierror.StateUnavailable, nil, nil
}

// endCommand returns the command that commits the turn's usage, and the output of a complete stateful turn.
func (t *turn) endCommand(complete bool, sent *transcript) program.EndTurn {
	end := program.EndTurn{Turn: t.id, Complete: complete, Tokens: sent.count * t.tokensPerEvent}
	if complete && t.stateful {
		end.Output = sent.output
	}
	return end
}

// beginTurn begins the turn at the program stores, if the request is one. It returns false if the request has ended with an error
// response.
func (c *clientRequest) beginTurn() bool {
	var budget int64
	c.turn, budget = newTurn(c.request.Header, &c.info)
	if c.turn == nil {
		return true
	}
	bounded, cancel := context.WithTimeout(c.context, beginTimeout(c.info.Deadline.Sub(c.proxy.options.Now())))
	defer cancel()
	kind, chain, err := c.turn.begin(bounded, c.proxy.options.Programs, &c.info, budget, *c.body)
	if err != nil {
		c.proxy.rejections.recordCause(err)
	}
	if kind == apierror.None && c.reserveChain(len(chain)) != nil {
		kind = apierror.Overloaded
	}
	if kind != apierror.None {
		c.commitUnfinishedTurn()
		c.writeError(kind, 0)
		return false
	}
	c.shrinkToBody(int64(cap(*c.body)))
	if len(chain) > 0 {
		c.upstream.Body = [][]byte{chain, *c.body}
		c.upstream.HasBody = true
		c.info.BodyBytes += len(chain)
	}
	return true
}

// beginTimeout returns the timeout of Begin for a request with so much time left.
func beginTimeout(left time.Duration) time.Duration {
	return min(left, max(left/beginTimeoutDivisor, minBeginTimeout))
}

// commitUnfinishedTurn commits, in the background, the usage of a turn that did not complete.
func (c *clientRequest) commitUnfinishedTurn() {
	if c.turn == nil || !c.turn.reserved || c.turn.committed {
		return
	}
	c.turn.committed = true
	c.proxy.usage.commit(c.turn.key, c.turn.endCommand(false, &c.transcript))
}
