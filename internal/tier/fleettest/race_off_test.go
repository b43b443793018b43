//go:build !race

package fleettest

// defaultDays is the default number of random days.
const defaultDays = 10

// seedDivisor divides the number of seeds that a scenario runs with.
const seedDivisor = 1
