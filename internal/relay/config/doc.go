// Package config reads and checks the relay's configuration, one JSON file and a few environment variables (see Load), and fills in the
// defaults. An invalid value is a policy.KeyError that names its key. A Config never changes once it is read; a reload reads a new one.
// Limits holds every limit on sizes, counts and times outside the decision module, including those that operators can't set.
package config
