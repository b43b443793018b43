package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/standin"
	"mastusher/internal/tier/wait"
)

// describe lists the responses that a program got.
func describe(outcome standin.Outcome) string {
	var responses []string
	for _, turn := range outcome.Turns {
		responses = append(responses, fmt.Sprintf("turn %s: %d complete=%t %s", turn.Attempt, turn.Status, turn.Complete, turn.Problem))
	}
	for _, tool := range outcome.Tools {
		responses = append(responses, fmt.Sprintf("call %s: %d complete=%t %s", tool.Attempt, tool.Status, tool.Complete, tool.Problem))
	}
	return strings.Join(responses, "; ")
}

// checkPrograms continues turns that were completed before, and checks what all programs saw against the run log.
func (r *run) checkPrograms(ctx context.Context) {
	r.continueTurns(ctx)
	r.environment.Close() // ends all runs, so that the log no longer changes
	r.clients.mutex.Lock()
	results := r.clients.results
	r.clients.mutex.Unlock()
	r.result.Programs, r.result.Orders = len(results), int(r.operator.acknowledged)
	for _, p := range results {
		r.result.Turns += len(p.Outcome.Turns)
		for _, turn := range p.Outcome.Turns {
			if turn.Status == http.StatusGone {
				r.recordViolation("LOST", "turn %s was answered 410", turn.Attempt)
			}
		}
	}
	guarantees := standin.Guarantees{MaxTokens: maxTokens, TokensPerEvent: localtier.TokensPerEvent, Retention: retention}
	for _, violation := range standin.CheckPrograms(results, r.environment.RunLog, guarantees) {
		kind, text, _ := strings.Cut(violation, ": ")
		r.recordViolation(kind, "%s", text)
	}
	for _, attempt := range r.environment.RunLog.Duplicates() {
		r.recordViolation("TWICE", "attempt %s ran twice", attempt)
	}
	r.report("checked: %v", r.result.Text())
}

// continueTurns continues up to maxContinued complete turns, chosen at random.
func (r *run) continueTurns(ctx context.Context) {
	turns := r.clients.completeTurns()
	r.mutex.Lock()
	r.result.Served = len(turns)
	r.random.Shuffle(len(turns), func(a, b int) { turns[a], turns[b] = turns[b], turns[a] })
	r.mutex.Unlock()
	turns = turns[:min(len(turns), maxContinued)]
	var workers sync.WaitGroup
	for worker := range continueWorkers {
		workers.Go(func() {
			for index := worker; index < len(turns); index += continueWorkers {
				r.continueTurn(ctx, turns[index])
			}
		})
	}
	workers.Wait()
	r.result.Continued = len(turns)
}

// continueTurn runs a turn that continues another, which must succeed within continueAttempts programs.
func (r *run) continueTurn(ctx context.Context, from standin.Turn) {
	var last standin.Outcome
	for range continueAttempts {
		last = r.clients.runProgram(ctx, standin.ProgramOptions{Address: r.clients.proxies[r.intN(len(r.clients.proxies))], Turns: 1, ContinueFrom: from,
			Backoff: func(ctx context.Context) error { return wait.Sleep(ctx, retryBackoff) }})
		if last.State == standin.Finished {
			return
		}
	}
	r.recordViolation("LOST", "turn %s can't be continued, completed %v ago: %s", from.Attempt, time.Since(from.Ended).Round(time.Second), describe(last))
}
