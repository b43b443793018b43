//go:build race

package fleettest

// defaultDays is the default number of random days; fewer under the race detector.
const defaultDays = 2

// seedDivisor divides the number of seeds that a scenario runs with.
const seedDivisor = 4
