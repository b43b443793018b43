package standin

import (
	"fmt"
	"net/http"
	"time"
)

// Played is a program that has ended.
type Played struct {
	Name    string
	Budget  int64 // 0: none
	Outcome Outcome
}

// Terms are what the tier owes to programs.
type Terms struct {
	MostTokens     int64         // of one turn, as programs ask for them
	TokensPerEvent int64         // as endpoints generate them
	KeepFor        time.Duration // that a turn is kept after its end
}

// CheckPlayed reports what must not have happened to programs. All of them have ended, and so have the endpoints' runs.
func CheckPlayed(programs []Played, ledger *Ledger, terms Terms) (violations []string) {
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
func (t Terms) checkAbsent(turn Turn, ended map[string]Turn, note func(format string, values ...any)) {
	if turn.Previous == "" {
		note("DENIED: turn %s, which goes on from none, was answered 404", turn.Attempt)
		return
	}
	previous := ended[turn.Previous]
	if previous.Whole && previous.Status == http.StatusOK && turn.Ended.Sub(previous.Ended) < t.KeepFor {
		note("LOST: turn %s was answered 404 %v after the end of %s, which it goes on from", turn.Attempt, turn.Ended.Sub(previous.Ended), turn.Previous)
	}
}

// checkSpent reports a 402 where the budget holds one more turn even if all turns sent before cost their most.
func (t Terms) checkSpent(p Played, refused Turn, note func(format string, values ...any)) {
	most := t.MostTokens
	for _, turn := range p.Outcome.Turns {
		if turn.Attempt != refused.Attempt && turn.Sent.Before(refused.Ended) {
			most += t.MostTokens
		}
	}
	if p.Budget == 0 || most <= p.Budget {
		note("REFUSED: turn %s was answered 402 with at most %d of %d spent", refused.Attempt, most-t.MostTokens, p.Budget)
	}
}
