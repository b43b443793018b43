package testcluster

import (
	"errors"
	"fmt"
)

// ScenarioKeyError is a key of a scenario that is unknown or has an unusable value.
type ScenarioKeyError struct {
	Scenario string // its name, or its file
	Key      string
	Reason   string // empty: the key is not known
}

// Error names the scenario and the key.
func (e *ScenarioKeyError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("scenario %s: key %s is not known", e.Scenario, e.Key)
	}
	return fmt.Sprintf("scenario %s: key %s: %s", e.Scenario, e.Key, e.Reason)
}

// StepTimeoutError is a step that waited for something that did not happen within eventTimeout.
type StepTimeoutError struct{ Reason string }

// Error says what did not happen.
func (e *StepTimeoutError) Error() string { return e.Reason }

// AnswerError is the error with which a relay answered an operator's request.
type AnswerError struct {
	Attempt string // what the request was for
	Relay   string
	Text    string
}

// Error names the relay and its answer.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s: %s answers %q", e.Attempt, e.Relay, e.Text)
}

// errNoPort is returned where no port is left for a relay.
var errNoPort = errors.New("no port is free")

// errNotFormed is returned where not all relays act, or not all voters vote, in time.
var errNotFormed = errors.New("the fleet does not come about")
