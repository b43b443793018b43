package standin

import (
	"fmt"
	"net/http"
	"time"
)

// problems collects sentences, each about one broken guarantee.
type problems []string

// addf adds a sentence.
func (p *problems) addf(format string, values ...any) {
	*p = append(*p, fmt.Sprintf(format, values...))
}

// Check compares the responses that a program received with the runs of its requests, and returns a sentence for each broken guarantee.
func (o Outcome) Check(log *RunLog) []string {
	var found problems
	for _, turn := range o.Turns {
		turn.check(log.Runs(turn.Attempt), &found)
	}
	for _, tool := range o.Tools {
		if tool.Problem != "" {
			found.addf("tool %s: %s", tool.Attempt, tool.Problem)
		}
		if runs := log.Runs(tool.Attempt); len(runs) > 1 || guaranteesNotRun(tool.Status) && len(runs) > 0 {
			found.addf("tool %s got status %d and ran %d times", tool.Attempt, tool.Status, len(runs))
		}
	}
	return found
}

// check compares one attempt at a turn with its runs.
func (t Turn) check(runs []Run, found *problems) {
	if t.Problem != "" {
		found.addf("turn %s: %s", t.Attempt, t.Problem)
	}
	if len(runs) > 1 {
		found.addf("turn %s ran %d times", t.Attempt, len(runs))
	}
	if t.Complete && t.Status == http.StatusOK && len(runs) == 0 {
		found.addf("turn %s got a complete response and did not run", t.Attempt)
	}
	if guaranteesNotRun(t.Status) && len(runs) > 0 {
		found.addf("turn %s got status %d and ran", t.Attempt, t.Status)
	}
	for _, run := range runs {
		if string(run.Body) != t.Prompt {
			found.addf("turn %s ran with %q, want %q", t.Attempt, run.Body, t.Prompt)
		}
	}
}

// guaranteesNotRun reports whether a status guarantees that the request has not run and never will.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusPaymentRequired, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// ProgramResult is a program that has ended.
type ProgramResult struct {
	Name    string
	Budget  int64 // in tokens; 0: none
	Outcome Outcome
}

// Guarantees are what the tier guarantees to programs.
type Guarantees struct {
	MaxTokens      int64         // that a program requests for a turn
	TokensPerEvent int64         // that the endpoints generate
	Retention      time.Duration // time after its end for which a turn can be continued
}

// CheckPrograms returns a sentence for each guarantee that was broken for a program. Each begins with its kind: TURN, DENIED,
// LOST, REFUSED or BUDGET. All programs and all runs of the endpoints must have ended.
func CheckPrograms(programs []ProgramResult, log *RunLog, guarantees Guarantees) (violations []string) {
	var found problems
	ended := map[string]Turn{} // by attempt
	for _, p := range programs {
		for _, turn := range p.Outcome.Turns {
			ended[turn.Attempt] = turn
		}
	}
	for _, p := range programs {
		for _, problem := range p.Outcome.Check(log) {
			found.addf("TURN: %s", problem)
		}
		for _, turn := range p.Outcome.Turns {
			guarantees.checkStatus(p, turn, ended, &found)
		}
		for _, tool := range p.Outcome.Tools {
			if tool.Status == http.StatusNotFound {
				found.addf("DENIED: call %s was answered 404", tool.Attempt)
			}
		}
		if received := int64(p.Outcome.Events()) * guarantees.TokensPerEvent; p.Budget > 0 && received > p.Budget {
			found.addf("BUDGET: %s received %d tokens with a budget of %d", p.Name, received, p.Budget)
		}
	}
	return found
}

// checkStatus reports a status that a turn must not get.
func (g Guarantees) checkStatus(p ProgramResult, turn Turn, ended map[string]Turn, found *problems) {
	switch turn.Status {
	case http.StatusNotFound:
		g.checkNotFound(turn, ended, found)
	case http.StatusPaymentRequired:
		g.checkPaymentRequired(p, turn, found)
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden:
		found.addf("DENIED: turn %s was answered %d", turn.Attempt, turn.Status)
	}
}

// checkNotFound reports a 404 for a turn that doesn't continue another, or that continues a complete one within its retention time.
func (g Guarantees) checkNotFound(turn Turn, ended map[string]Turn, found *problems) {
	if turn.Previous == "" {
		found.addf("DENIED: turn %s, which doesn't continue another, was answered 404", turn.Attempt)
		return
	}
	previous := ended[turn.Previous]
	if previous.Complete && previous.Status == http.StatusOK && turn.Ended.Sub(previous.Ended) < g.Retention {
		found.addf("LOST: turn %s was answered 404 %v after the end of %s, which it continues", turn.Attempt, turn.Ended.Sub(previous.Ended), turn.Previous)
	}
}

// checkPaymentRequired reports a 402 where the budget would allow one more turn even if each turn sent before had used
// MaxTokens.
func (g Guarantees) checkPaymentRequired(p ProgramResult, rejected Turn, found *problems) {
	maxSpent := int64(0)
	for _, turn := range p.Outcome.Turns {
		if turn.Attempt != rejected.Attempt && turn.Sent.Before(rejected.Ended) {
			maxSpent += g.MaxTokens
		}
	}
	if p.Budget == 0 || maxSpent+g.MaxTokens <= p.Budget {
		found.addf("REFUSED: turn %s was answered 402 with at most %d tokens used of a budget of %d", rejected.Attempt, maxSpent, p.Budget)
	}
}
