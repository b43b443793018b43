//go:build race

package fleettest

// usualDays is the number of days of an ordinary run of the tests; fewer under the race detector.
const usualDays = 2

// seedShare divides the seeds of stories.
const seedShare = 4
