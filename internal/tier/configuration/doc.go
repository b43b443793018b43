// Package configuration is the state machine of the operator's configuration: a compare-and-swap register. A proposal names
// the version that it builds on; of all proposals on one version, at most one is ever accepted.
//
// Accepting must be idempotent, since an operator sends a proposal again until it is acknowledged and copies may arrive late or
// in any order: a duplicate of an accepted proposal is acknowledged again, and a duplicate of a rejected one stays rejected.
// The machine therefore keeps fingerprints of a bounded history.
//
// Package controller applies the committed entries of the configuration group's log to it. It is pure: the same entries give the
// same state and results on each replica. It is not safe for concurrent use.
package configuration
