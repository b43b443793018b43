//go:build fleetrig

package peer

import (
	"os"
	"strconv"
	"syscall"
	"time"
)

// fullDisk has the rig fill the disk of the fleet's folder: for as long as a file stands where it says.
func fullDisk() error {
	if _, err := os.Stat(os.Getenv("MASTUSHER_FULL_DISK")); err == nil {
		return syscall.ENOSPC
	}
	return nil
}

// clockRate is set by the rig, to try clocks that run apart.
var clockRate = func() float64 {
	if r, err := strconv.ParseFloat(os.Getenv("MASTUSHER_CLOCK_RATE"), 64); err == nil && r > 0.1 && r < 10 {
		return r
	}
	return 1
}()

// slowDisk is set by the rig, to try voters whose disks lag.
var slowDisk = func() time.Duration {
	d, _ := time.ParseDuration(os.Getenv("MASTUSHER_SLOW_DISK")) // none is none
	return d
}()
