package main

import (
	"errors"
	"fmt"
)

var errOneProcessor = errors.New("one processor is too few")

// boundError says that a flag is out of its bounds.
type boundError struct{ bound }

func (e *boundError) Error() string {
	return fmt.Sprintf("--%s: want %d to %d", e.flag, e.min, e.limit)
}

// modeError says that there is no such mode.
type modeError struct{ mode string }

func (e *modeError) Error() string { return fmt.Sprintf("--mode: there is no %q", e.mode) }

// startError says that the relay takes no messages, and why.
type startError struct{ log []byte }

func (e *startError) Error() string {
	return fmt.Sprintf("the relay does not come up; its log: %s", e.log)
}

// lostError says that messages had no end or two.
type lostError struct{ messages int }

func (e *lostError) Error() string {
	return fmt.Sprintf("%d messages without their one end, or delivered twice", e.messages)
}
