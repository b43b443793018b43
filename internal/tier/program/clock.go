package program

// Bounds on the effect that a command's wall-clock time has on the machine's clock, in milliseconds.
const (
	maxAdvanceMs  = 10_000  // the most by which one command advances the clock
	maxBackstepMs = 60_000  // the clocks of two leaders differ by less, so one that is further behind was set back
	maxTimeMs     = 1 << 52 // later times are invalid
)

// clock is the machine's time, derived from the wall-clock times that commands carry. It never goes back. One command advances
// it by at most maxAdvanceMs, so that turns don't all expire when a leader's clock jumps far ahead. As a consequence, a shard
// that gets no command for longer than that retains its turns for longer.
type clock struct {
	nowMs         int64
	lastCommandMs int64 // wall-clock time that the next command's is compared with; 0: no command yet
}

// observe advances the clock according to a command's wall-clock time.
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
