package main

import (
	"errors"
	"fmt"
)

// workError is a fault of the work and not of the command line: exit code 1, where that is 2.
type workError struct{ error }

// Unwrap returns the fault.
func (e workError) Unwrap() error { return e.error }

// notYetError is a change that is not over when nobody waits any longer: exit code 3.
type notYetError struct{ error }

// argumentError is a fault of the command line in one argument: exit code 2.
type argumentError struct {
	argument string // a flag, or a command
	reason   string
}

// Error returns the argument and the reason, as in "--calls: want 1 to 1000000".
func (e *argumentError) Error() string { return e.argument + ": " + e.reason }

// unknownCommandError is the fault of asking a command for one that it has not: exit code 2.
type unknownCommandError struct {
	name, parent string
	nearest      string // the one that may be meant; "": none is near
}

// Error returns the command, and the one that may be meant.
func (e *unknownCommandError) Error() string {
	text := fmt.Sprintf("unknown command %q for %q", e.name, e.parent)
	if e.nearest != "" {
		text += fmt.Sprintf("; did you mean %q?", e.nearest)
	}
	return text
}

// moduleFaultsError sums up the faults of a plug-in's module, which have been printed.
type moduleFaultsError struct {
	file   string
	faults int
}

// Error returns the file and the number of faults.
func (e *moduleFaultsError) Error() string { return fmt.Sprintf("%s: %d faults", e.file, e.faults) }

// droppedError is returned for a change of policy that its fleet has dropped.
type droppedError struct {
	version  uint64
	proposed bool // by this command, which knows the change by its ticket and not by its version
	reason   string
}

// Error returns the version and the reason.
func (e *droppedError) Error() string {
	if e.proposed {
		return "dropped: " + e.reason
	}
	return fmt.Sprintf("version %d was dropped: %s", e.version, e.reason)
}

var (
	errNotShared   = errors.New("this relay's fleet counts nothing: is peers.share set?")
	errCasesFailed = errors.New("the module does not do as its cases say")
	errNoPlugins   = errors.New("no plug-ins run here")
)
