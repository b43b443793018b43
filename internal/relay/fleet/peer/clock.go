//go:build !fleetrig

package peer

// clockRate is the speed of the fleet's clock relative to the machine's. Only builds for the test cluster (tag fleetrig) have another.
const clockRate = 1.0

// simulatedDiskError returns the error of a simulated full disk. Only builds for the test cluster return one.
func simulatedDiskError() error { return nil }

// extraSyncDelay is added to the time of a sync. Only builds for the test cluster have a delay.
const extraSyncDelay = 0
