package main

import (
	"errors"
	"fmt"
)

// errNoCompiler is returned for a build that did not call the C compiler and so left no trace.
var errNoCompiler = errors.New("the build ran no compiler")

// missingKeyError is returned for a deploy file without a key that the check needs.
type missingKeyError struct{ Key string }

func (e *missingKeyError) Error() string { return e.Key + " is missing" }

// outputFlagError is returned for a build line without exactly one flag -o, whose output folder can't be replaced.
type outputFlagError struct{ Line string }

func (e *outputFlagError) Error() string {
	return "the build line does not have exactly one flag -o: " + e.Line
}

// notInstalledError is returned for a listed package that isn't installed, so that the build can't show whether it suffices.
type notInstalledError struct{ Package string }

func (e *notInstalledError) Error() string {
	return e.Package + " is listed but not installed on this machine"
}

// unlistedError is returned for a file that the build opens and that neither a listed package nor a dependency of one owns.
type unlistedError struct {
	File   string
	Owners []string // the packages that own it; empty if none does
}

func (e *unlistedError) Error() string {
	return fmt.Sprintf("the build opens %s of %v, which the list doesn't cover", e.File, e.Owners)
}
