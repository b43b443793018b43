package mutation

import (
	"fmt"
	"time"
)

// OutdatedError is returned for a change that doesn't fit the source: its old text doesn't occur exactly once, or equals the
// new text.
type OutdatedError struct {
	Change Change
	Count  int // how often the old text occurs
}

func (e *OutdatedError) Error() string {
	if e.Change.Old == e.Change.New {
		return fmt.Sprintf("%s: old and new text of the change are equal: %q", e.Change.File, e.Change.Old)
	}
	return fmt.Sprintf("%s contains the old text %d times, want once: %q", e.Change.File, e.Count, e.Change.Old)
}

// BuildError is returned for a mutant that doesn't compile.
type BuildError struct {
	Output string // of the compiler
	Cause  error
}

func (e *BuildError) Error() string {
	return fmt.Sprintf("the mutant does not compile: %v\n%s", e.Cause, e.Output)
}

func (e *BuildError) Unwrap() error { return e.Cause }

// SurvivorError is returned for a mutant with which the tests pass.
type SurvivorError struct {
	Run    string // pattern of the tests
	Output string // the last bytes of what they wrote, at most maxErrorOutput
}

func (e *SurvivorError) Error() string {
	return fmt.Sprintf("the tests %q do not detect the mutant:\n%s", e.Run, e.Output)
}

// UndecidedError is returned for a trial without a verdict: the tests timed out, could not be started, or none ran.
type UndecidedError struct {
	Run     string        // pattern of the tests
	Elapsed time.Duration // since the tests were started
	Output  string        // the last bytes of what the tests wrote, at most maxErrorOutput
	Cause   error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("the tests %q give no verdict in %v: %v\n%s", e.Run, e.Elapsed.Round(time.Millisecond), e.Cause, e.Output)
}

func (e *UndecidedError) Unwrap() error { return e.Cause }
