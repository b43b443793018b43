package program

import "math"

// program is the budget record of one program.
type program struct {
	name       string
	limit      int64 // the lowest budget that any of its turns gave, tokens; 0: none
	spent      int64 // tokens charged for ended turns
	reserved   int64 // sum of the reservations of turns that haven't been committed, those abandoned included
	lastUsedMs int64 // time of the last command that named it
	inFlight   int32 // turns in flight; the record never expires before they have ended
	prev       *program
	next       *program
}

// usedTokens is the part of the budget that no new turn may use: what was sent to clients, or still may be.
func (p *program) usedTokens() int64 {
	return addTokens(p.spent, p.reserved)
}

// reserve adds the reservation of a turn that begins.
func (p *program) reserve(tokens int64) {
	p.reserved = addTokens(p.reserved, tokens)
	p.inFlight++
}

// commit releases the reservation of a turn and charges its cost.
func (p *program) commit(reserved, cost int64) {
	p.reserved = max(p.reserved-reserved, 0)
	p.spent = addTokens(p.spent, cost)
	p.inFlight--
}

// fitsBudget reports whether a turn of up to maxTokens fits into the remaining budget.
func fitsBudget(p *program, maxTokens int64) bool {
	return p.limit == 0 || maxTokens <= p.limit-p.usedTokens()
}

// committedTokens is the cost of a turn that had a reservation and sent tokens to its client.
func committedTokens(tokens, reserved int64) int64 {
	return min(max(tokens, 0), reserved)
}

// tighterLimit returns the limit after a turn has given a budget; one that gives none changes nothing.
func tighterLimit(limit, budget int64) int64 {
	if budget <= 0 {
		return limit
	}
	if limit == 0 {
		return budget
	}
	return min(limit, budget)
}

// addTokens adds two amounts, neither negative, and saturates at the largest number.
func addTokens(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}
