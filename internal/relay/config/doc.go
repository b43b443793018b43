// Package config is the one place where the relay's configuration is read, checked and given defaults: one JSON file and a few
// environment variables (see Load). A fault is a policy.KeyError that names the key. A Config never changes once it is read; a reload reads
// another. Limits holds every size, count and time outside the decision module, whether an operator can set it or not.
package config
