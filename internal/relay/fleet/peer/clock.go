//go:build !fleetrig

package peer

// clockRate is how fast the fleet's clock runs against the machine's; only builds for the test cluster (tag fleetrig) have another.
const clockRate = 1.0

// fullDisk is the error of a disk that is made to be full; only builds for the test cluster have one.
func fullDisk() error { return nil }

// slowDisk is added to the time that a sync takes; only builds for the test cluster have any.
const slowDisk = 0
