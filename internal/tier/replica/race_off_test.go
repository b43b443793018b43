//go:build !race

package replica

// campaignSeeds is the number of random runs.
const campaignSeeds = 1600

// raceDepthReduction is how much shallower explorations are.
const raceDepthReduction = 0
