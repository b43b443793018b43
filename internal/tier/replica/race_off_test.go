//go:build !race

package replica

// campaignSeeds is the number of random runs.
const campaignSeeds = 1600

// raceShallower is how much shallower explorations are.
const raceShallower = 0
