package plugin

import (
	"time"

	"golang.org/x/sys/unix"
)

// niceness is how far a plug-in's threads give way. The lowest class of the scheduler would give way further, but the
// relay then waits for a thread that hardly runs, whenever the collector or a lock of the runtime needs it: measured
// with a module that recurses, the others' p99 was 17 to 77 ms with SCHED_IDLE, 28 with 19, and as without it at 10.
const niceness = 10

// timeSlice is how long such a thread may keep the processor from one of the relay's that wakes up meanwhile; kernels
// before 6.12 have one length for all.
const timeSlice = 100 * time.Microsecond

// yieldToOthers has the calling thread give way to the relay's own. No right is needed for that.
func yieldToOthers() {
	attr := unix.SchedAttr{Size: unix.SizeofSchedAttr, Policy: unix.SCHED_NORMAL, Nice: niceness, Runtime: uint64(timeSlice)}
	if unix.SchedSetAttr(0, &attr, 0) != nil {
		_ = unix.Setpriority(unix.PRIO_PROCESS, 0, niceness)
	}
}

// threadTime is the processor time that the calling thread has taken.
func threadTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
