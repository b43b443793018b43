package experiment

import (
	"errors"
	"fmt"
)

// An experiment's file is rejected for keys that lack each other.
var (
	errNoRuns    = errors.New("keys policies and seeds: want one of each at least")
	errHalfSweep = errors.New("keys sweep.key and sweep.values: want both or neither")
)

// UnknownPolicyError is returned for a name that no policy has.
type UnknownPolicyError struct{ Name string }

// Error names the policy.
func (e *UnknownPolicyError) Error() string { return fmt.Sprintf("there is no policy %q", e.Name) }

// VersionError is returned for a file of results of another version.
type VersionError struct {
	File    string
	Version int // of the file
}

// Error names the file, and both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s is of version %d, this program reads %d", e.File, e.Version, Version)
}
