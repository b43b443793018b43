package plugin

import (
	"time"

	"golang.org/x/sys/unix"
)

// niceness is the nice value of the threads that run plug-ins. With a lower priority such a thread hardly runs, and the whole relay
// waits for it whenever the garbage collector or a lock of the Go runtime depends on it. Measured with a module that recurses, the p99
// of the other messages was 17 to 77 ms with SCHED_IDLE, 28 ms with a nice value of 19, and not affected with 10.
const niceness = 10

// timeSlice is how long a thread that runs plug-ins may keep the processor when a thread of the relay becomes runnable. Kernels
// before 6.12 use the same time slice for all threads.
const timeSlice = 100 * time.Microsecond

// lowerThreadPriority lowers the priority of the calling thread below that of the relay's other threads. It needs no privileges.
func lowerThreadPriority() {
	attr := unix.SchedAttr{Size: unix.SizeofSchedAttr, Policy: unix.SCHED_NORMAL, Nice: niceness, Runtime: uint64(timeSlice)}
	if unix.SchedSetAttr(0, &attr, 0) != nil {
		_ = unix.Setpriority(unix.PRIO_PROCESS, 0, niceness)
	}
}

// threadCPUTime returns the processor time that the calling thread has used.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
