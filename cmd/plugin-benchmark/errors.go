package main

import (
	"errors"
	"fmt"
)

var errOneProcessor = errors.New("the benchmark needs at least two CPUs")

// boundError reports a flag whose value is out of bounds.
type boundError struct{ bound }

func (e *boundError) Error() string {
	return fmt.Sprintf("--%s: want %d to %d", e.flag, e.min, e.limit)
}

// modeError reports an unknown mode.
type modeError struct{ mode string }

func (e *modeError) Error() string { return fmt.Sprintf("--mode: there is no %q", e.mode) }

// startError reports that the relay did not start, with its log.
type startError struct{ log []byte }

func (e *startError) Error() string {
	return fmt.Sprintf("the relay does not accept messages; its log: %s", e.log)
}

// deliveryError reports messages that were lost, delivered though rejected, delivered twice or reported with two outcomes.
type deliveryError struct{ messages int }

func (e *deliveryError) Error() string {
	return fmt.Sprintf("%d messages were lost, delivered though rejected, delivered twice or reported with two outcomes", e.messages)
}
