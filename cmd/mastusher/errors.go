package main

import (
	"errors"
	"fmt"
)

// operationError is a failure to execute a valid command line: exit code 1.
type operationError struct{ error }

// Unwrap returns the cause.
func (e operationError) Unwrap() error { return e.error }

// changePendingError reports that a change was not over when the wait for it timed out: exit code 3.
type changePendingError struct{ error }

// argumentError reports an invalid argument of the command line: exit code 2.
type argumentError struct {
	argument string // flag or command
	reason   string
}

// Error returns the argument and the reason, as in "--calls: want 1 to 1000000".
func (e *argumentError) Error() string { return e.argument + ": " + e.reason }

// unknownCommandError reports a subcommand that does not exist: exit code 2.
type unknownCommandError struct {
	name, parent string
	nearest      string // existing subcommand with the most similar name; empty: none is similar
}

// Error returns the unknown command and, if there is one, the similar command.
func (e *unknownCommandError) Error() string {
	text := fmt.Sprintf("unknown command %q for %q", e.name, e.parent)
	if e.nearest != "" {
		text += fmt.Sprintf("; did you mean %q?", e.nearest)
	}
	return text
}

// moduleFaultsError reports the number of faults of a plug-in's module. The faults have been printed before.
type moduleFaultsError struct {
	file   string
	faults int
}

// Error returns the file and the number of faults.
func (e *moduleFaultsError) Error() string { return fmt.Sprintf("%s: %d faults", e.file, e.faults) }

// droppedError reports that the fleet dropped a change of policy.
type droppedError struct {
	version  uint64
	proposed bool // the command proposed the change itself, so the user does not know its version
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
	errCasesFailed = errors.New("a test case of the module failed, or the file holds none: want at least one case, and all passed")
	errNoPlugins   = errors.New("no plug-ins run here")
)
