package main

import (
	"errors"
	"fmt"
)

// errNoCompiler is returned for a build that never called the C compiler, so that there is no trace.
var errNoCompiler = errors.New("the build ran no compiler")

// missingKeyError is returned for a deploy file without a key that the check needs.
type missingKeyError struct{ Key string }

func (e *missingKeyError) Error() string { return e.Key + " is missing" }

// outputFlagError is returned for a build line whose programs can't be sent elsewhere: it must have the flag -o once.
type outputFlagError struct{ Line string }

func (e *outputFlagError) Error() string {
	return "the build line has no -o, or several: " + e.Line
}

// notInstalledError is returned for a listed package that isn't installed, so that the build proves nothing about it.
type notInstalledError struct{ Package string }

func (e *notInstalledError) Error() string {
	return e.Package + " is listed and not installed here"
}

// unlistedError is returned for a file that the build opens and no listed package brings.
type unlistedError struct {
	File   string
	Owners []string // the packages that own it; empty if none does
}

func (e *unlistedError) Error() string {
	return fmt.Sprintf("the build opens %s of %v, which isn't listed", e.File, e.Owners)
}
