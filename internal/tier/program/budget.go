package program

import "math"

// program is the budget record of one program.
type program struct {
	name       string
	limit      int64    // the lowest budget that any of its turns gave, in tokens; 0: no limit
	spent      int64    // tokens charged for ended turns
	reserved   int64    // sum of the reservations of turns that haven't been committed, including abandoned ones
	lastUsedMs int64    // time of the last command that used the record
	inFlight   int32    // turns in flight; the record doesn't expire while there are any
	prev       *program // in programTable's list, the less recently used one
	next       *program // the more recently used one
}

// usedTokens returns the tokens that new turns can't use, since they were sent to clients or still may be.
func (p *program) usedTokens() int64 {
	return addTokens(p.spent, p.reserved)
}

// reserve adds the reservation of a new turn.
func (p *program) reserve(tokens int64) {
	p.reserved = addTokens(p.reserved, tokens)
	p.inFlight++
}

// commit releases the reservation of a turn that ends and charges its cost.
func (p *program) commit(reserved, cost int64) {
	p.reserved = max(p.reserved-reserved, 0)
	p.spent = addTokens(p.spent, cost)
	p.inFlight--
}

// fitsBudget reports whether a turn of up to maxTokens fits into the remaining budget.
func fitsBudget(p *program, maxTokens int64) bool {
	return p.limit == 0 || maxTokens <= p.limit-p.usedTokens()
}

// committedTokens returns the cost of a turn: the tokens sent to its client, at least 0 and at most its reservation.
func committedTokens(tokens, reserved int64) int64 {
	return min(max(tokens, 0), reserved)
}

// tighterLimit returns the lower one of a program's limit and a turn's budget. A limit of 0 and a budget of at most 0 mean none.
func tighterLimit(limit, budget int64) int64 {
	if budget <= 0 {
		return limit
	}
	if limit == 0 {
		return budget
	}
	return min(limit, budget)
}

// addTokens adds two non-negative numbers of tokens; the sum saturates at math.MaxInt64.
func addTokens(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}
