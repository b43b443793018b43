//go:build fleetrig

package peer

import (
	"os"
	"strconv"
	"syscall"
	"time"
)

// simulatedDiskError returns the error of a full disk while the file exists that the test cluster names in MASTUSHER_FULL_DISK.
func simulatedDiskError() error {
	if _, err := os.Stat(os.Getenv("MASTUSHER_FULL_DISK")); err == nil {
		return syscall.ENOSPC
	}
	return nil
}

// clockRate is the speed of the fleet's clock, which the test cluster sets in MASTUSHER_CLOCK_RATE (0.1 to 10) to test clock drift.
var clockRate = func() float64 {
	if r, err := strconv.ParseFloat(os.Getenv("MASTUSHER_CLOCK_RATE"), 64); err == nil && r > 0.1 && r < 10 {
		return r
	}
	return 1
}()

// extraSyncDelay is added to the time of a sync. The test cluster sets it in MASTUSHER_SLOW_DISK to test voters with slow disks.
var extraSyncDelay = func() time.Duration {
	d, _ := time.ParseDuration(os.Getenv("MASTUSHER_SLOW_DISK")) // 0 if it is not set
	return d
}()
