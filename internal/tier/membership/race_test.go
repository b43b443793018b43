//go:build race

package membership

// Under the race detector everything is some ten times slower, so campaigns are smaller.
const (
	campaignSeeds = 1
	largestFleet  = 100
)
