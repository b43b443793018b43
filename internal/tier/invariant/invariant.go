// Package invariant counts violations of what must always hold in a running process. A violation is logged and counted, and the
// process goes on. Tests and operators look for the log line, whose message is Message.
package invariant

import (
	"maps"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Message is the msg of a violation's log line.
const Message = "invariant broken"

// Name is an invariant's name in the log.
type Name string

// The invariants.
const (
	// Recovery: no outage of a proxy lasts longer than the setting bounds.recoveryS. An outage is a time in which it rejects more
	// than three quarters of its requests, because it lacks a view or the stores don't answer.
	Recovery Name = "recovery"
	// SurplusReplica: a store doesn't keep running a replica that its group has certainly removed.
	SurplusReplica Name = "excess"
)

// Counter counts the violations of one process. A nil Counter counts nothing. It is safe for concurrent use.
type Counter struct {
	logger log.Logger

	mutex  sync.Mutex
	counts map[Name]int
}

// New returns a counter that logs each violation to logger.
func New(logger log.Logger) *Counter { return &Counter{logger: logger, counts: map[Name]int{}} }

// Violated counts a violation and logs it at level error with its details, which are alternating keys and values.
func (c *Counter) Violated(name Name, details ...any) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	c.counts[name]++
	count := c.counts[name]
	c.mutex.Unlock()
	level.Error(c.logger).Log(append([]any{"msg", Message, "invariant", name, "count", count}, details...)...)
}

// Counts returns the number of violations so far by invariant; nil for a nil Counter.
func (c *Counter) Counts() map[Name]int {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.counts)
}
