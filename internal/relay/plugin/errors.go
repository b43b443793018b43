package plugin

import "errors"

// Why a call did not do its work.
var (
	ErrBreakerOpen    = errors.New("plugin: its circuit breaker is open")
	ErrCPUShareUsed   = errors.New("plugin: its share of processor time is used up")
	ErrNoInstanceFree = errors.New("plugin: no instance was free in time")
	ErrBudget         = errors.New("plugin: no time is left for it")
	ErrOutOfBounds    = errors.New("plugin: a pointer or length lies outside its memory")
	ErrCopyLimit      = errors.New("plugin: it has had the relay copy more than one call may")
	ErrTimeout        = errors.New("plugin: it ran over its time")
	ErrPluginFailure  = errors.New("plugin: it returned a failure of its own")
	ErrNotStopped     = errors.New("plugin: it did not end in time, and could not be stopped at once")
)
