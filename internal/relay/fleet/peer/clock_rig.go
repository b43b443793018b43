//go:build fleetrig

package peer

import (
	"os"
	"strconv"
	"syscall"
	"time"
)

// fullDisk fails as a full disk does while the file exists that the test cluster names in MASTUSHER_FULL_DISK.
func fullDisk() error {
	if _, err := os.Stat(os.Getenv("MASTUSHER_FULL_DISK")); err == nil {
		return syscall.ENOSPC
	}
	return nil
}

// clockRate is set by the test cluster in MASTUSHER_CLOCK_RATE, between 0.1 and 10, to test clocks that drift apart.
var clockRate = func() float64 {
	if r, err := strconv.ParseFloat(os.Getenv("MASTUSHER_CLOCK_RATE"), 64); err == nil && r > 0.1 && r < 10 {
		return r
	}
	return 1
}()

// slowDisk is set by the test cluster in MASTUSHER_SLOW_DISK, to test voters whose disks are slow.
var slowDisk = func() time.Duration {
	d, _ := time.ParseDuration(os.Getenv("MASTUSHER_SLOW_DISK")) // 0 where it is not set
	return d
}()
