package program

// Bounds on what a command's time of day may do to the machine's clock, in milliseconds.
const (
	maxAdvanceMs  = 10_000  // most that one command moves the clock ahead
	maxBackstepMs = 60_000  // owner's clocks differ by less; one that is further behind has been set back
	maxTimeMs     = 1 << 52 // later times of day are nonsense
)

// clock is the machine's time, made of the times of day that commands carry. It never goes back. One command moves it by
// maxAdvanceMs at most, so that an owner whose clock jumps far ahead doesn't end what is kept; a shard without commands
// for longer than that keeps its contents for longer.
type clock struct {
	nowMs   int64
	heardMs int64 // time of day that the next one is compared with
}

// hear takes a command's time of day in.
func (c *clock) hear(atMs int64) {
	if atMs <= 0 || atMs > maxTimeMs {
		return
	}
	if c.heardMs == 0 {
		c.nowMs = atMs
		c.heardMs = atMs
		return
	}
	ahead := atMs - c.heardMs
	if ahead > 0 {
		c.nowMs += min(ahead, maxAdvanceMs)
	}
	if ahead > 0 || ahead < -maxBackstepMs {
		c.heardMs = atMs
	}
}
