//go:build !race

package gossip

const (
	campaignSeeds = 20   // with which each scenario is run
	largestFleet  = 1000 // members that figures are taken with
)
