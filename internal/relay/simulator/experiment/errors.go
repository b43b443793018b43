package experiment

import (
	"errors"
	"fmt"
)

// Errors of an experiment file whose keys do not fit together.
var (
	errNoRuns    = errors.New("keys policies and seeds: want at least one of each")
	errHalfSweep = errors.New("keys sweep.key and sweep.values: want both or neither")
)

// UnknownPolicyError is returned for a name that is not in policy.ByName.
type UnknownPolicyError struct{ Name string }

// Error names the policy.
func (e *UnknownPolicyError) Error() string { return fmt.Sprintf("there is no policy %q", e.Name) }

// VersionError is returned for a file of results of a version other than Version.
type VersionError struct {
	File    string
	Version int // of the file
}

// Error names the file and both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("results file %s has version %d, want version %d", e.File, e.Version, Version)
}
