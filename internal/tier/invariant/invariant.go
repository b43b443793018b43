// Package invariant counts violations of conditions that must always hold in a running process. A violation is logged and counted, and the
// process continues. Tests and operators search for the log line, whose msg is Message.
package invariant

import (
	"maps"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Message is the msg of a violation's log line.
const Message = "invariant broken"

// Name is the name of an invariant in the log.
type Name string

// Invariants.
const (
	// Recovery: no outage of a proxy lasts longer than the setting bounds.recoveryS. During an outage, the proxy rejects more than three
	// quarters of its requests, because it has no view or the stores don't respond.
	Recovery Name = "recovery"
	// SurplusReplica: a store stops a replica that has certainly been removed from its group.
	SurplusReplica Name = "excess"
)

// Counter counts the violations in one process. A nil Counter ignores them. It is safe for concurrent use.
type Counter struct {
	logger log.Logger

	mutex  sync.Mutex
	counts map[Name]int
}

// New returns a counter that logs violations to logger.
func New(logger log.Logger) *Counter { return &Counter{logger: logger, counts: map[Name]int{}} }

// Violated counts a violation and logs it at level error. The details are alternating keys and values.
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

// Counts returns the number of violations so far by invariant, or nil for a nil Counter.
func (c *Counter) Counts() map[Name]int {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.counts)
}
