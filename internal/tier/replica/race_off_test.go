//go:build !race

package replica

// campaignSeeds is the number of random runs.
const campaignSeeds = 1600

// raceDepthReduction is subtracted from the depth of explorations.
const raceDepthReduction = 0
