//go:build race

package replica

// campaignSeeds is the number of random runs; fewer where each memory access is watched.
const campaignSeeds = 120

// raceDepthReduction is how much shallower explorations are.
const raceDepthReduction = 2
