package program

// Bounds on the effect of a command's time of day on the machine's clock, in milliseconds.
const (
	maxAdvanceMs  = 10_000  // upper bound of what one command advances the clock by
	maxBackstepMs = 60_000  // clocks of leaders differ by less; one that is further behind has been set back
	maxTimeMs     = 1 << 52 // later times of day are invalid
)

// clock is the machine's time, derived from the times of day that commands carry. It never goes back. One command advances
// it by at most maxAdvanceMs, so that a leader whose clock jumps far ahead doesn't expire what is stored; a shard without
// commands for longer than that retains its contents for longer.
type clock struct {
	nowMs         int64
	lastCommandMs int64 // time of day that the next command's is compared with; 0: no command yet
}

// observe advances the clock by a command's time of day.
func (c *clock) observe(atMs int64) {
	if atMs <= 0 || atMs > maxTimeMs {
		return
	}
	if c.lastCommandMs == 0 {
		c.nowMs = atMs
		c.lastCommandMs = atMs
		return
	}
	ahead := atMs - c.lastCommandMs
	if ahead > 0 {
		c.nowMs += min(ahead, maxAdvanceMs)
	}
	if ahead > 0 || ahead < -maxBackstepMs {
		c.lastCommandMs = atMs
	}
}
