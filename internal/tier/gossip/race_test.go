//go:build race

package gossip

// The race detector makes tests about ten times slower, so fewer seeds and smaller clusters are used.
const (
	campaignSeeds = 2
	largestFleet  = 100
)
