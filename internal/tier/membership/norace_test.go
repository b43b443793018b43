//go:build !race

package membership

const (
	campaignSeeds = 10   // with which each scenario is run
	largestFleet  = 1000 // members that figures are taken with
)
