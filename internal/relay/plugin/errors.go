package plugin

import (
	"errors"
	"fmt"

	wasys "github.com/tetratelabs/wazero/sys"
)

// Why a call did not do its work.
var (
	ErrBreakerOpen    = errors.New("plugin: its circuit breaker is open")
	ErrCPUShareUsed   = errors.New("plugin: its share of processor time is used up")
	ErrNoInstanceFree = errors.New("plugin: no instance was free in time")
	ErrBudget         = errors.New("plugin: no time is left for it")
	ErrOutOfBounds    = errors.New("plugin: a pointer or length lies outside its memory")
	ErrCopyLimit      = errors.New("plugin: it has had the relay copy more than one call may")
	ErrTimeout        = errors.New("plugin: it ran over its time")
	ErrPluginFailure  = errors.New("plugin: it returned a failure of its own")
	ErrNotStopped     = errors.New("plugin: it did not end in time, and could not be stopped at once")
	ErrAllocFailed    = errors.New("alloc gave no room") // of ABI 1
)

// Why a module is not taken, beside *wasm.ParseError, *wasm.FunctionError, ModuleError and PhaseMaskError.
var (
	ErrNoMessage = errors.New("plugin: a call to the relay before the first message") // its start called an import
	ErrNoPhase   = errors.New("it takes part in none of the phases that the configuration gives it")
)

// UnknownPluginError says that no plug-in of a name runs.
type UnknownPluginError struct{ Name string }

// Error names the plug-in.
func (e *UnknownPluginError) Error() string { return "plugin: none is called " + e.Name }

// PhaseMaskError says what is wrong with the mask of phases that a module of ABI 2 returns.
type PhaseMaskError struct {
	Mask          uint32
	MissingExport string // of a phase in the mask; "": the mask has phases that this relay does not know
}

// Error has the mask, or the export that is missing.
func (e *PhaseMaskError) Error() string {
	if e.MissingExport != "" {
		return fmt.Sprintf("%s: the mask names a phase without its export %s", markerABI2, e.MissingExport)
	}
	return fmt.Sprintf("%s: the mask %#x has phases that this relay does not know", markerABI2, e.Mask)
}

// StatusFileError says that a status file is damaged.
type StatusFileError struct{ File string }

// Error names the file.
func (e *StatusFileError) Error() string { return fmt.Sprintf("plugin: %s can't be read", e.File) }

// EngineError is what the WebAssembly engine says of a module or a call, such as a trap.
type EngineError struct {
	Reason string // one line, without the engine's stack trace
	Err    error  // the engine's own
}

// Error is the reason alone.
func (e *EngineError) Error() string { return e.Reason }

// Unwrap returns the engine's error.
func (e *EngineError) Unwrap() error { return e.Err }

// engineError cuts the engine's stack trace off an error and names a time-out and what the host has stopped.
func engineError(err error) error {
	var exit *wasys.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == wasys.ExitCodeDeadlineExceeded {
		return ErrTimeout
	}
	for _, own := range []error{ErrOutOfBounds, ErrCopyLimit} {
		if errors.Is(err, own) {
			return own
		}
	}
	reason := err.Error()
	for i := range len(reason) {
		if reason[i] == '\n' {
			reason = reason[:i]
			break
		}
	}
	return &EngineError{Reason: reason, Err: err}
}

// startError marks a failure to start an instance, which is no partner's doing.
type startError struct{ err error }

func (e startError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e startError) Unwrap() error { return e.err }
