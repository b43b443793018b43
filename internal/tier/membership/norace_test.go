//go:build !race

package membership

const (
	campaignSeeds = 10   // number of seeds with which each scenario runs
	largestFleet  = 1000 // members in the largest measured cluster
)
