//go:build !fleetrig

package peer

// clockRate is how fast the fleet's clock runs against the machine's; only builds for the rig have another.
const clockRate = 1.0

// fullDisk tells why the disk takes nothing; only builds for the rig have such.
func fullDisk() error { return nil }

// slowDisk is by how much longer a sync takes; only builds for the rig have any.
const slowDisk = 0
