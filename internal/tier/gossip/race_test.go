//go:build race

package gossip

// Under the race detector everything is some ten times slower, so campaigns are smaller.
const (
	campaignSeeds = 2
	largestFleet  = 100
)
