//go:build !linux

package plugin

import "time"

var started = time.Now()

func lowerThreadPriority() {}

// threadCPUTime uses the clock instead of the thread's processor time, so that a call's CPU time includes its waiting time.
func threadCPUTime() time.Duration { return time.Since(started) }
