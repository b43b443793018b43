package main

import (
	"errors"
	"fmt"
)

var (
	// errRulesViolated is returned if a policy violated a rule.
	errRulesViolated = errors.New("rules were broken")
	// errFleetViolation is returned if a fleet violated a rule, or a scenario's expected outcome did not occur.
	errFleetViolation = errors.New("a rule was broken, or something did not come about")
	// errNoViolation is returned if the world to shrink violates no rule.
	errNoViolation = errors.New("no such rule is broken in this world")
)

// argumentError reports an invalid argument of the command line.
type argumentError struct {
	argument string // flag or command
	reason   string
}

// Error returns the argument and the reason, as in "--rate: want above 0, up to 5,000".
func (e *argumentError) Error() string { return e.argument + ": " + e.reason }

// outcomeError reports a message that a relay under load lost or delivered twice.
type outcomeError struct{ id, outcome string }

// Error returns the message's ID and its outcome.
func (e *outcomeError) Error() string { return fmt.Sprintf("message %s: %s", e.id, e.outcome) }
