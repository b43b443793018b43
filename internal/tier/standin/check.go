package standin

import (
	"fmt"
	"net/http"
	"time"
)

// ProgramResult is a program that has ended.
type ProgramResult struct {
	Name    string
	Budget  int64 // 0: none
	Outcome Outcome
}

// Guarantees are what the tier owes to programs.
type Guarantees struct {
	MaxTokens      int64         // of one turn, as programs ask for them
	TokensPerEvent int64         // as endpoints generate them
	Retention      time.Duration // that a turn is kept after its end
}

// CheckPrograms reports what must not have happened to programs. All of them have ended, and so have the endpoints' runs.
func CheckPrograms(programs []ProgramResult, ledger *RunLog, terms Guarantees) (violations []string) {
	note := func(format string, values ...any) { violations = append(violations, fmt.Sprintf(format, values...)) }
	ended := map[string]Turn{}
	for _, p := range programs {
		for _, turn := range p.Outcome.Turns {
			ended[turn.Attempt] = turn
		}
	}
	for _, p := range programs {
		for _, problem := range p.Outcome.Check(ledger) {
			note("TURN: %s", problem)
		}
		for _, turn := range p.Outcome.Turns {
			switch turn.Status {
			case http.StatusNotFound:
				terms.checkAbsent(turn, ended, note)
			case http.StatusPaymentRequired:
				terms.checkSpent(p, turn, note)
			case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden:
				note("DENIED: turn %s was answered %d", turn.Attempt, turn.Status)
			}
		}
		for _, tool := range p.Outcome.Tools {
			if tool.Status == http.StatusNotFound {
				note("DENIED: call %s was answered 404", tool.Attempt)
			}
		}
		if handed := int64(p.Outcome.Events()) * terms.TokensPerEvent; p.Budget > 0 && handed > p.Budget {
			note("BUDGET: %s was handed %d tokens of %d", p.Name, handed, p.Budget)
		}
	}
	return violations
}

// checkAbsent reports a 404 to a turn that goes on from none, or from one that is kept.
func (t Guarantees) checkAbsent(turn Turn, ended map[string]Turn, note func(format string, values ...any)) {
	if turn.Previous == "" {
		note("DENIED: turn %s, which goes on from none, was answered 404", turn.Attempt)
		return
	}
	previous := ended[turn.Previous]
	if previous.Complete && previous.Status == http.StatusOK && turn.Ended.Sub(previous.Ended) < t.Retention {
		note("LOST: turn %s was answered 404 %v after the end of %s, which it goes on from", turn.Attempt, turn.Ended.Sub(previous.Ended), turn.Previous)
	}
}

// checkSpent reports a 402 where the budget holds one more turn even if all turns sent before cost their most.
func (t Guarantees) checkSpent(p ProgramResult, refused Turn, note func(format string, values ...any)) {
	most := t.MaxTokens
	for _, turn := range p.Outcome.Turns {
		if turn.Attempt != refused.Attempt && turn.Sent.Before(refused.Ended) {
			most += t.MaxTokens
		}
	}
	if p.Budget == 0 || most <= p.Budget {
		note("REFUSED: turn %s was answered 402 with at most %d of %d spent", refused.Attempt, most-t.MaxTokens, p.Budget)
	}
}
