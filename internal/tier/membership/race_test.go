//go:build race

package membership

// The race detector makes tests about ten times slower, so fewer seeds and smaller clusters are used.
const (
	campaignSeeds = 1
	largestFleet  = 100
)
