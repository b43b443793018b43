package mutation

import (
	"fmt"
	"time"
)

// OutdatedError says that a change doesn't fit the source: its old text isn't there once, or is the new one.
type OutdatedError struct {
	Change Change
	Count  int // how often the old text occurs
}

func (e *OutdatedError) Error() string {
	if e.Change.Old == e.Change.New {
		return fmt.Sprintf("%s: the change changes nothing: %q", e.Change.File, e.Change.Old)
	}
	return fmt.Sprintf("%s holds the old text %d times and not once: %q", e.Change.File, e.Count, e.Change.Old)
}

// BuildError says that a mutant doesn't compile.
type BuildError struct {
	Output string // of the compiler
	Cause  error
}

func (e *BuildError) Error() string {
	return fmt.Sprintf("the mutant does not compile: %v\n%s", e.Cause, e.Output)
}

func (e *BuildError) Unwrap() error { return e.Cause }

// SurvivorError says that the tests pass with a mutant.
type SurvivorError struct {
	Run    string // pattern of the tests
	Output string // the end of what they wrote
}

func (e *SurvivorError) Error() string {
	return fmt.Sprintf("the tests %q do not notice the mutant:\n%s", e.Run, e.Output)
}

// UndecidedError says that a trial ended without a verdict: the tests took too long, or could not be run.
type UndecidedError struct {
	Run    string
	After  time.Duration
	Output string
	Cause  error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("the tests %q give no verdict in %v: %v\n%s", e.Run, e.After.Round(time.Millisecond), e.Cause, e.Output)
}

func (e *UndecidedError) Unwrap() error { return e.Cause }
