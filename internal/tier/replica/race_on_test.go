//go:build race

package replica

// campaignSeeds is the number of random runs; fewer because the race detector slows them down.
const campaignSeeds = 120

// raceDepthReduction is subtracted from the depth of explorations.
const raceDepthReduction = 2
