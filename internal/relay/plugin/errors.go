package plugin

import (
	"errors"
	"fmt"

	wasys "github.com/tetratelabs/wazero/sys"
)

// Errors of a call that failed or was not made.
var (
	ErrBreakerOpen    = errors.New("plugin: the circuit breaker is open")
	ErrCPUShareUsed   = errors.New("plugin: the share of processor time is used up")
	ErrNoInstanceFree = errors.New("plugin: no instance became free before the deadline")
	ErrBudget         = errors.New("plugin: no time is left for the call")
	ErrOutOfBounds    = errors.New("plugin: a pointer or length is outside the module's memory")
	ErrCopyLimit      = errors.New("plugin: the call passed more bytes to the relay than the limit allows")
	ErrTimeout        = errors.New("plugin: the call timed out")
	ErrPluginFailure  = errors.New("plugin: the module returned a failure status")
	ErrNotStopped     = errors.New("plugin: the call is still running after its deadline")
	ErrAllocFailed    = errors.New("alloc returned no usable buffer") // ABI 1 only
)

// Errors of loading a module, beside *wasm.ParseError, *wasm.FunctionError, ModuleError and PhaseMaskError.
var (
	ErrNoMessage = errors.New("plugin: the module called the relay before the first message") // while the instance started
	ErrNoPhase   = errors.New("the module handles none of the configured phases")
)

// UnknownPluginError is returned for the name of a plug-in that is not running.
type UnknownPluginError struct{ Name string }

// Error names the plug-in.
func (e *UnknownPluginError) Error() string { return "plugin: unknown plug-in " + e.Name }

// PhaseMaskError is returned for an invalid mask of phases of an ABI 2 module.
type PhaseMaskError struct {
	Mask          uint32
	MissingExport string // function of a phase in the mask; "": the mask has phases that this relay does not know
}

// Error names the mask, or the missing export.
func (e *PhaseMaskError) Error() string {
	if e.MissingExport != "" {
		return fmt.Sprintf("%s: the mask has a phase whose export %s is missing", markerABI2, e.MissingExport)
	}
	return fmt.Sprintf("%s: the mask %#x has unknown phases", markerABI2, e.Mask)
}

// StatusFileError is returned for a status file that is not valid JSON.
type StatusFileError struct{ File string }

// Error names the file.
func (e *StatusFileError) Error() string { return fmt.Sprintf("plugin: %s is not valid JSON", e.File) }

// EngineError is an error of the WebAssembly engine for a module or a call, such as a trap.
type EngineError struct {
	Reason string // one line, without the engine's stack trace
	Err    error  // the engine's error
}

// Error returns the reason alone.
func (e *EngineError) Error() string { return e.Reason }

// Unwrap returns the engine's error.
func (e *EngineError) Unwrap() error { return e.Err }

// engineError converts an error of the engine: to ErrTimeout, ErrOutOfBounds or ErrCopyLimit where one of these is the cause,
// else to an *EngineError without the engine's stack trace.
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

// startError marks a failure to start an instance, which the gate must not count against a partner.
type startError struct{ err error }

func (e startError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e startError) Unwrap() error { return e.err }
