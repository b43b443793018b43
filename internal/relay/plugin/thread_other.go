//go:build !linux

package plugin

import "time"

var started = time.Now()

func yieldToOthers() {}

// threadTime falls back on the clock: a call is then charged for what it waited too.
func threadTime() time.Duration { return time.Since(started) }
