//go:build !race

package gossip

const (
	campaignSeeds = 20   // number of seeds with which each scenario runs
	largestFleet  = 1000 // members in the largest measured cluster
)
