package program

import "math"

// How long things are kept, in milliseconds of the machine's clock.
const (
	clockMarginMs = 30_000      // added to what may not go early: clocks of owners differ and are stepped
	underWayMs    = 2 * 60_000  // a turn that hasn't ended by then was left by its relay
	settledMs     = 60_000      // an ended turn that doesn't count: its commands may be sent again for so long
	programMs     = 10 * 60_000 // budget record after its last use
	maxKeepMs     = 24 * 60 * 60_000
	secondMs      = 1_000
)

// Work that one command does at most on what is due. Both are above what a command can add.
const (
	turnsPerCommand    = 8
	programsPerCommand = 4
)

// fits tells whether a turn that may generate so many tokens fits into the budget.
func fits(p *program, most int64) bool {
	return p.limit == 0 || most <= p.limit-p.committed()
}

// charge gives what a turn costs that handed on tokens and had reserved most.
func charge(tokens, most int64) int64 {
	return min(max(tokens, 0), most)
}

// leastTold gives the limit once a turn has told budget.
func leastTold(limit, budget int64) int64 {
	if budget <= 0 {
		return limit
	}
	if limit == 0 {
		return budget
	}
	return min(limit, budget)
}

// holdMs gives how long a turn is held from its last command on.
func holdMs(t *turn) int64 {
	switch t.state {
	case underWay:
		return underWayMs + clockMarginMs
	case whole:
		return max(t.keepMs, settledMs) + clockMarginMs
	}
	return settledMs
}

// isWhole tells whether others may go on from a turn.
func isWhole(t *turn) bool {
	return t.state == whole || t.state == imported
}

// settledState gives what becomes of a turn under way at its end.
func settledState(t *turn, isWhole bool) state {
	if isWhole && t.remembered {
		return whole
	}
	return settled
}

// addTokens adds two amounts that are not negative, up to the largest number there is.
func addTokens(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// keepMs turns a time in seconds that came with a command into whole milliseconds within bounds.
func keepMs(seconds float64) int64 {
	if !(seconds > 0) {
		return 0
	}
	return int64(math.Ceil(min(seconds*secondMs, maxKeepMs)))
}
