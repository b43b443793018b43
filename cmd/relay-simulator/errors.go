package main

import (
	"errors"
	"fmt"
)

var (
	// errRulesViolated is returned where a policy violated a rule.
	errRulesViolated = errors.New("rules were broken")
	// errFleetViolation is returned where a fleet broke a rule, or what had to come about did not.
	errFleetViolation = errors.New("a rule was broken, or something did not come about")
	// errNoViolation is returned where a world that is to be shrunk breaks no rule.
	errNoViolation = errors.New("no such rule is broken in this world")
)

// argumentError is a fault of the command line in one argument.
type argumentError struct {
	argument string // a flag, or a command
	reason   string
}

// Error returns the argument and the reason, as in "--rate: want above 0, up to 5,000".
func (e *argumentError) Error() string { return e.argument + ": " + e.reason }

// outcomeError is returned for a message that a relay under load lost, or delivered twice.
type outcomeError struct{ id, outcome string }

// Error returns the message and what became of it.
func (e *outcomeError) Error() string { return fmt.Sprintf("message %s: %s", e.id, e.outcome) }
