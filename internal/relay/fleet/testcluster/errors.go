package testcluster

import (
	"errors"
	"fmt"
)

// ScenarioKeyError is returned for a key of a scenario that is unknown or has an invalid value.
type ScenarioKeyError struct {
	Scenario string // its name or file
	Key      string
	Reason   string // empty: the key is unknown
}

// Error names the scenario and the key.
func (e *ScenarioKeyError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("scenario %s: key %s is not known", e.Scenario, e.Key)
	}
	return fmt.Sprintf("scenario %s: key %s: %s", e.Scenario, e.Key, e.Reason)
}

// StepTimeoutError is returned for a step whose awaited event did not happen within eventTimeout.
type StepTimeoutError struct{ Reason string }

// Error describes the event that did not happen.
func (e *StepTimeoutError) Error() string { return e.Reason }

// AnswerError is returned for an operator's request that a relay refused.
type AnswerError struct {
	Attempt string // purpose of the request
	Relay   string
	Text    string
}

// Error has the relay and its reason.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s: relay %s refused: %s", e.Attempt, e.Relay, e.Text)
}

// errNoPort is returned if no port is free for a relay.
var errNoPort = errors.New("no port from 10000 to 29999 is free on 127.0.0.1")

// errNotFormed is returned if not all relays act and all voters vote within eventTimeout.
var errNotFormed = errors.New("not all relays act, or not all voters vote, after the bootstrap")
